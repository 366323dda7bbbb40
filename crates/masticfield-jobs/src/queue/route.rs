//! Which queue a request is for.

use std::collections::HashMap;
use std::sync::Arc;

use super::{QueueId, QueuesConfig};

/// Queues by authority and path prefix; the longest prefix wins.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// By authority; longest prefixes first.
    prefixes: HashMap<Arc<str>, Vec<(Arc<str>, QueueId)>>,
}

/// A queue and what of the path lies behind its prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route<'a> {
    /// The queue.
    pub queue: QueueId,
    /// The rest of the path.
    pub rest: &'a str,
}

impl RouteTable {
    /// Creates the table of a configuration; `queue` gives the identity of a place.
    pub fn new(
        config: &QueuesConfig,
        queue: impl Fn(&Arc<str>, &Arc<str>) -> Option<QueueId>,
    ) -> Self {
        let mut prefixes: HashMap<Arc<str>, Vec<_>> = HashMap::new();
        for entry in &config.queues {
            let Some(id) = queue(&entry.authority, &entry.prefix) else {
                continue;
            };
            let of_authority = prefixes.entry(Arc::clone(&entry.authority)).or_default();
            of_authority.push((Arc::clone(&entry.prefix), id));
        }
        for of_authority in prefixes.values_mut() {
            of_authority.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        Self { prefixes }
    }

    /// The queue of a request, if there is one.
    pub fn find<'a>(&self, authority: &str, path: &'a str) -> Option<Route<'a>> {
        let of_authority = self.prefixes.get(authority)?;
        of_authority.iter().find_map(|(prefix, queue)| {
            let rest = path.strip_prefix(&**prefix)?;
            Some(Route {
                queue: *queue,
                rest,
            })
        })
    }
}
