//! Routing of requests to queues.

use std::collections::HashMap;
use std::sync::Arc;

use super::{QueueId, QueuesConfig};

/// Maps the authority and path of a request to a queue; the longest matching prefix wins.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Path prefixes by authority, longest prefix first.
    prefixes: HashMap<Arc<str>, Vec<(Arc<str>, QueueId)>>,
}

/// The queue of a request, and the part of the path after the queue's prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route<'a> {
    /// Queue that the request is for.
    pub queue: QueueId,
    /// Path without the queue's prefix.
    pub rest: &'a str,
}

impl RouteTable {
    /// Creates the table of a configuration.
    ///
    /// `queue_id` returns the identifier of the queue with an authority and a prefix. Queues
    /// without an identifier get no route.
    pub fn new(
        config: &QueuesConfig,
        queue_id: impl Fn(&Arc<str>, &Arc<str>) -> Option<QueueId>,
    ) -> Self {
        let mut prefixes: HashMap<Arc<str>, Vec<_>> = HashMap::new();
        for queue in &config.queues {
            let Some(id) = queue_id(&queue.authority, &queue.prefix) else {
                continue;
            };
            let of_authority = prefixes.entry(Arc::clone(&queue.authority)).or_default();
            of_authority.push((Arc::clone(&queue.prefix), id));
        }
        for of_authority in prefixes.values_mut() {
            of_authority.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        Self { prefixes }
    }

    /// Returns the route of a request, or `None` if no queue matches.
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
