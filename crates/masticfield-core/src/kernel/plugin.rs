//! Plug-ins and the kernel that starts them.

use std::pin::Pin;

use super::{KernelContext, KernelError};

/// Future that completes once a plug-in has started.
pub type StartFuture<'a> = Pin<Box<dyn Future<Output = Result<(), KernelError>> + Send + 'a>>;

/// A program that consists of plug-ins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Program {
    /// The entry process.
    Entry,
    /// The control process.
    Control,
    /// The stand-ins for upstreams, the platform and callers, used in tests and trials.
    Fake,
}

/// A part of a program that registers itself with the kernel.
#[derive(Debug, Clone, Copy)]
pub struct Plugin {
    name: &'static str,
    program: Program,
    stage: u8,
    start: for<'a> fn(&'a mut KernelContext) -> StartFuture<'a>,
}

/// The started plug-ins of a program.
#[derive(Debug)]
pub struct Kernel {
    cx: KernelContext,
}

inventory::collect!(Plugin);

impl Plugin {
    /// Creates a plug-in that is started in stage `stage`; lower stages start first.
    pub const fn new(
        name: &'static str,
        program: Program,
        stage: u8,
        start: for<'a> fn(&'a mut KernelContext) -> StartFuture<'a>,
    ) -> Self {
        Self {
            name,
            program,
            stage,
            start,
        }
    }

    /// Returns the name of the plug-in.
    pub const fn name(&self) -> &'static str {
        self.name
    }
}

impl Kernel {
    /// Starts every registered plug-in of `program`.
    ///
    /// # Errors
    ///
    /// Fails with the error of the first plug-in that cannot start. The handles that earlier
    /// plug-ins provided are dropped, which ends their tasks.
    pub async fn start(program: Program, mut cx: KernelContext) -> Result<Self, KernelError> {
        for plugin in Self::plugins(program) {
            (plugin.start)(&mut cx).await?;
        }
        Ok(Self { cx })
    }

    /// Returns the registered plug-ins of `program` in the order in which they are started.
    pub fn plugins(program: Program) -> Vec<&'static Plugin> {
        let registered = inventory::iter::<Plugin>.into_iter();
        let mut plugins: Vec<_> = registered
            .filter(|plugin| plugin.program == program)
            .collect();
        plugins.sort_by_key(|plugin| (plugin.stage, plugin.name));
        plugins
    }

    /// Returns the context with the handles that the plug-ins provided.
    pub const fn context(&self) -> &KernelContext {
        &self.cx
    }
}
