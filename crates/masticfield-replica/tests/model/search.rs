//! Breadth-first search through the states of a world.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use pathfinding::prelude::bfs;

use crate::world::World;

/// Result of a search.
#[derive(Debug)]
pub struct SearchResult {
    /// Number of states visited.
    pub states: usize,
    /// Shortest sequence of steps that violates an invariant, and which one; `None` if no visited
    /// state does.
    pub counterexample: Option<Vec<String>>,
}

/// Visits up to `max_states` states in breadth-first order until one violates an invariant.
pub fn search(name: &str, start: &World, max_states: usize) -> SearchResult {
    let depths = RefCell::new(HashMap::from([(hash_of(start), 0)]));
    let states = RefCell::new(0);
    let budget = start.budget();
    let successors = |world: &World| {
        *states.borrow_mut() += 1;
        if *states.borrow() > max_states {
            return Vec::new();
        }
        let next = world.successors();
        let mut depths = depths.borrow_mut();
        let depth = depths[&hash_of(world)] + 1;
        for world in &next {
            depths.entry(hash_of(world)).or_insert(depth);
        }
        next
    };
    let path = bfs(start, successors, |world| world.violation().is_some());
    let states = (*states.borrow()).min(max_states);
    let depth = depths.borrow().values().copied().max().unwrap_or(0);
    let end = match &path {
        Some(_) => "to a violation",
        None if states < max_states => "all",
        None => "bounded",
    };
    println!("{name}: {states} states ({end}), depth {depth}, {budget:?}");
    let counterexample = path.map(|path| {
        let violation = path.last().and_then(World::violation);
        let steps = path.iter().filter_map(|world| world.step.as_ref());
        let steps = steps.map(|step| format!("{step:?}"));
        steps.chain(violation).collect()
    });
    SearchResult {
        states,
        counterexample,
    }
}

fn hash_of(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}
