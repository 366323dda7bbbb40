//! What the fleet cannot make up for.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::index::{FleetIndex, Host, Pool};

/// Promises that the fleet could not keep, and by how much, for people.
///
/// It names pools that lack hosts now, racks and availability zones whose loss the reserve does
/// not make up for, and which pools yield then: the lowest promise first.
pub fn shortfalls(index: &FleetIndex<'_>) -> Vec<Arc<str>> {
    let mut lines = Vec::new();
    for (_, pool) in index.pools() {
        let missing = pool.needed.saturating_sub(pool.expected_hosts());
        if missing > 0 {
            let (name, needed) = (pool.name, pool.needed);
            lines.push(format!("pool \"{name}\" lacks {missing} of {needed} hosts").into());
        }
    }
    lines.extend(uncovered(index, "rack", |host| {
        host.location().map(|at| at.2)
    }));
    lines.extend(uncovered(index, "availability zone", |host| {
        host.location().map(|at| at.1)
    }));
    lines
}

fn uncovered<'r>(
    index: &'r FleetIndex<'_>,
    kind: &str,
    domain: impl Fn(&'r Host<'r>) -> Option<&'r str>,
) -> Vec<Arc<str>> {
    let domains: BTreeSet<_> = index.hosts().filter_map(|(_, host)| domain(host)).collect();
    let lines = domains.into_iter().filter_map(|lost| {
        let inside = |host: &'r Host<'r>| domain(host) == Some(lost);
        uncovered_loss(index, &format!("{kind} \"{lost}\""), inside)
    });
    lines.collect()
}

fn uncovered_loss<'r>(
    index: &'r FleetIndex<'_>,
    lost: &str,
    inside: impl Fn(&'r Host<'r>) -> bool,
) -> Option<Arc<str>> {
    let left = |pool: &'r Pool<'_>| {
        let left = pool.serving.iter().filter(|key| !inside(index.host(**key)));
        u32::try_from(left.count()).unwrap_or(u32::MAX)
    };
    let free = index
        .hosts()
        .filter(|(_, host)| host.is_free() && !inside(host));
    let mut reserve = u32::try_from(free.count()).unwrap_or(u32::MAX);
    let mut missing = Vec::new();
    for (_, pool) in index.pools() {
        let left = left(pool);
        if pool.is_spare() {
            reserve += left;
        } else {
            reserve += left.saturating_sub(pool.needed);
            missing.push((pool, pool.needed.saturating_sub(left)));
        }
    }
    missing.sort_by(|a, b| {
        a.0.promised_availability
            .total_cmp(&b.0.promised_availability)
    });
    let total: u32 = missing.iter().map(|(_, count)| count).sum();
    let mut short = total.saturating_sub(reserve);
    if short == 0 {
        return None;
    }
    let head = format!("loss of {lost}: {total} hosts to replace, {short} not covered;");
    let mut yielding = Vec::new();
    for (pool, count) in missing {
        let yields = short.min(count);
        if yields > 0 {
            short -= yields;
            let (name, promise) = (pool.name, pool.promised_availability);
            yielding.push(format!("pool \"{name}\" ({promise}) yields {yields}"));
        }
    }
    Some(format!("{head} {}", yielding.join(", ")).into())
}
