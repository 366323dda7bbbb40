//! Losses that the fleet cannot compensate for.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::index::{FleetIndex, Host, Pool};

/// Describes, for operators, the shortages that the fleet has or would have after a loss.
///
/// Names the pools that are short of hosts now, then the racks and availability zones whose loss
/// the reserve does not cover. For each loss it names the pools that would stay short, starting
/// with the lowest promised availability.
pub fn shortfalls(index: &FleetIndex<'_>) -> Vec<Arc<str>> {
    let mut lines = Vec::new();
    for (_, pool) in index.pools() {
        let missing = pool.needed.saturating_sub(pool.expected_hosts());
        if missing > 0 {
            let (name, needed) = (pool.name, pool.needed);
            lines.push(format!("pool \"{name}\" lacks {missing} of {needed} hosts").into());
        }
    }
    lines.extend(uncovered_domains(index, "rack", |host| {
        host.location().map(|location| location.2)
    }));
    lines.extend(uncovered_domains(index, "availability zone", |host| {
        host.location().map(|location| location.1)
    }));
    lines
}

/// Describes each failure domain of a kind whose loss the reserve does not cover.
fn uncovered_domains<'r>(
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

/// Describes the loss of the hosts `inside`; `None` if the reserve covers it.
fn uncovered_loss<'r>(
    index: &'r FleetIndex<'_>,
    lost: &str,
    inside: impl Fn(&'r Host<'r>) -> bool,
) -> Option<Arc<str>> {
    let count_remaining = |pool: &'r Pool<'_>| {
        let remaining = pool.serving.iter().filter(|key| !inside(index.host(**key)));
        u32::try_from(remaining.count()).unwrap_or(u32::MAX)
    };
    let free = index
        .hosts()
        .filter(|(_, host)| host.is_free() && !inside(host));
    let mut reserve = u32::try_from(free.count()).unwrap_or(u32::MAX);
    let mut missing = Vec::new();
    for (_, pool) in index.pools() {
        let remaining = count_remaining(pool);
        if pool.is_spare() {
            reserve += remaining;
        } else {
            reserve += remaining.saturating_sub(pool.needed);
            missing.push((pool, pool.needed.saturating_sub(remaining)));
        }
    }
    missing.sort_by(|a, b| {
        a.0.promised_availability
            .total_cmp(&b.0.promised_availability)
    });
    let total: u32 = missing.iter().map(|(_, count)| count).sum();
    let mut uncovered = total.saturating_sub(reserve);
    if uncovered == 0 {
        return None;
    }
    let head = format!("loss of {lost}: {total} hosts to replace, {uncovered} not covered;");
    let mut yielding = Vec::new();
    for (pool, count) in missing {
        let yields = uncovered.min(count);
        if yields > 0 {
            uncovered -= yields;
            let (name, promise) = (pool.name, pool.promised_availability);
            yielding.push(format!("pool \"{name}\" ({promise}) yields {yields}"));
        }
    }
    Some(format!("{head} {}", yielding.join(", ")).into())
}
