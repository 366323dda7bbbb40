//! Breadth-first exploration of a model's state space.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::bfs;

/// A state machine with a safety property.
pub trait Model {
    type State: Clone + Eq + Hash + Debug;

    /// The states in which an exploration starts.
    fn initial_states(&self) -> Vec<Self::State>;

    /// The states that follow after one step, each with the name of the step.
    fn successors(&self, world: &Self::State) -> Vec<(String, Self::State)>;

    /// Describes how the state violates the safety property; `None` if it does not.
    fn violation(&self, world: &Self::State) -> Option<String>;
}

/// The result of an exploration.
#[derive(Debug)]
pub struct Exploration {
    /// Number of distinct states explored.
    pub states: usize,
    /// Number of steps to the deepest state explored.
    pub depth: usize,
    /// The steps of a shortest path to a violation, and the description of the violation.
    pub counterexample: Option<(Vec<String>, String)>,
}

/// A state with its distance from the start, which is ignored in comparisons.
#[derive(Clone, Debug)]
struct Node<S> {
    state: Option<S>,
    depth: usize,
}

impl<S: PartialEq> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Node<S> {}

impl<S: Hash> Hash for Node<S> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.state.hash(state);
    }
}

/// Explores all reachable states, or stops at the first violation.
pub fn explore<M: Model>(name: &str, model: &M) -> Exploration {
    let (states, max_depth) = (Cell::new(0), Cell::new(0));
    let start = Node {
        state: None,
        depth: 0,
    };
    let successors = |node: &Node<M::State>| {
        let depth = node.depth + 1;
        let next = match &node.state {
            None => model.initial_states(),
            Some(state) => {
                states.set(states.get() + 1);
                max_depth.set(max_depth.get().max(node.depth));
                model
                    .successors(state)
                    .into_iter()
                    .map(|(_, next)| next)
                    .collect()
            }
        };
        next.into_iter().map(move |state| Node {
            state: Some(state),
            depth,
        })
    };
    let is_violated = |node: &Node<M::State>| {
        let state = node.state.as_ref();
        state.is_some_and(|state| model.violation(state).is_some())
    };
    let path = bfs(&start, successors, is_violated);
    let counterexample = path.map(|path| {
        let path: Vec<_> = path.into_iter().filter_map(|node| node.state).collect();
        let steps = path
            .windows(2)
            .map(|pair| step_name(model, &pair[0], &pair[1]));
        let last = path.last().expect("the path ends in the violating state");
        (
            steps.collect(),
            model
                .violation(last)
                .expect("the last state violates the property"),
        )
    });
    let exploration = Exploration {
        states: states.get(),
        depth: max_depth.get(),
        counterexample,
    };
    println!(
        "{name}: {} states explored, depth {}",
        exploration.states, exploration.depth
    );
    if let Some((steps, violation)) = &exploration.counterexample {
        println!("  violated: {violation}\n  {}", steps.join("\n  "));
    }
    exploration
}

/// Name of the step that leads from one state to another.
fn step_name<M: Model>(model: &M, from: &M::State, to: &M::State) -> String {
    let steps = model.successors(from);
    let step = steps.into_iter().find(|(_, next)| next == to);
    step.map_or_else(|| "?".into(), |(name, _)| name)
}
