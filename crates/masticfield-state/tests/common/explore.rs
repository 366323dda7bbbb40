//! Breadth-first exploration of a model.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::bfs;

/// A model: its states, its steps, and what must never hold.
pub trait Model {
    type State: Clone + Eq + Hash + Debug;

    fn starts(&self) -> Vec<Self::State>;

    /// The states after one step, each with the name of the step.
    fn next(&self, world: &Self::State) -> Vec<(String, Self::State)>;

    /// What is wrong with the state.
    fn violation(&self, world: &Self::State) -> Option<String>;
}

/// What an exploration came to.
#[derive(Debug)]
pub struct Explored {
    pub states: usize,
    pub depth: usize,
    /// The steps of the shortest way to a violation, and what is violated.
    pub counterexample: Option<(Vec<String>, String)>,
}

/// A state with its distance from the start, which does not tell states apart.
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

/// Explores every reachable state, or stops at the first violation.
pub fn explore<M: Model>(name: &str, model: &M) -> Explored {
    let (states, deepest) = (Cell::new(0), Cell::new(0));
    let start = Node {
        state: None,
        depth: 0,
    };
    let successors = |node: &Node<M::State>| {
        let depth = node.depth + 1;
        let next = match &node.state {
            None => model.starts(),
            Some(state) => {
                states.set(states.get() + 1);
                deepest.set(deepest.get().max(node.depth));
                model
                    .next(state)
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
    let violated = |node: &Node<M::State>| {
        let state = node.state.as_ref();
        state.is_some_and(|state| model.violation(state).is_some())
    };
    let path = bfs(&start, successors, violated);
    let counterexample = path.map(|path| {
        let path: Vec<_> = path.into_iter().filter_map(|node| node.state).collect();
        let steps = path
            .windows(2)
            .map(|pair| step_name(model, &pair[0], &pair[1]));
        let last = path.last().expect("the violated state");
        (
            steps.collect(),
            model.violation(last).expect("it is violated"),
        )
    });
    let explored = Explored {
        states: states.get(),
        depth: deepest.get(),
        counterexample,
    };
    println!(
        "{name}: {} states explored, depth {}",
        explored.states, explored.depth
    );
    if let Some((steps, what)) = &explored.counterexample {
        println!("  violated: {what}\n  {}", steps.join("\n  "));
    }
    explored
}

fn step_name<M: Model>(model: &M, from: &M::State, to: &M::State) -> String {
    let steps = model.next(from);
    let step = steps.into_iter().find(|(_, next)| next == to);
    step.map_or_else(|| "?".into(), |(name, _)| name)
}
