//! Handles that plug-ins share.

use std::any::{Any, TypeId, type_name};
use std::collections::HashMap;
use std::fmt;

use super::{KernelError, Shutdown, ShutdownTrigger};
use crate::timer::Timer;

/// Shared handles by type, the timer service and the shutdown signal of a program.
pub struct KernelContext {
    handles: HashMap<TypeId, Box<dyn Any + Send + Sync>>,
    timer: Timer,
    trigger: ShutdownTrigger,
}

impl KernelContext {
    /// Creates a context without handles and starts its timer service.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime with time enabled.
    #[expect(clippy::new_without_default, reason = "starts a task")]
    pub fn new() -> Self {
        Self {
            handles: HashMap::new(),
            timer: Timer::spawn(),
            trigger: ShutdownTrigger::new(),
        }
    }

    /// Shares a handle under its type, replacing an earlier handle of the same type.
    pub fn provide<T: Any + Send + Sync>(&mut self, handle: T) {
        self.handles.insert(TypeId::of::<T>(), Box::new(handle));
    }

    /// Returns the shared handle of type `T`.
    ///
    /// # Errors
    ///
    /// Fails if no handle of this type has been provided.
    pub fn need<T: Any>(&self) -> Result<&T, KernelError> {
        let handle = self.handles.get(&TypeId::of::<T>());
        handle
            .and_then(|handle| handle.downcast_ref())
            .ok_or(KernelError::MissingHandle {
                handle: type_name::<T>(),
            })
    }

    /// Returns the timer service of the process.
    pub const fn timer(&self) -> &Timer {
        &self.timer
    }

    /// Returns a receiver of the shutdown signal.
    pub fn shutdown(&self) -> Shutdown {
        self.trigger.subscribe()
    }

    /// Returns the trigger that shuts the program down.
    pub const fn trigger(&self) -> &ShutdownTrigger {
        &self.trigger
    }
}

impl fmt::Debug for KernelContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KernelContext")
            .field("handles", &self.handles.len())
            .field("timer", &self.timer)
            .finish_non_exhaustive()
    }
}
