//! The kernel that starts the plug-ins of a program.
//!
//! Plug-ins register themselves with [`inventory::submit!`]; the kernel starts those of one
//! program in the order of their stages. Plug-ins share handles through the [`KernelContext`].
//! Their tasks end when the kernel's [`Shutdown`] is requested.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::kernel::{
//!     Kernel, KernelContext, KernelError, Plugin, Program, StartFuture,
//! };
//!
//! fn start(cx: &mut KernelContext) -> StartFuture<'_> {
//!     Box::pin(async {
//!         cx.provide(42_u32);
//!         Ok(())
//!     })
//! }
//!
//! inventory::submit! { Plugin::new("example", Program::Fake, 0, start) }
//!
//! # tokio::runtime::Builder::new_current_thread().enable_time().build()?.block_on(async {
//! let kernel = Kernel::start(Program::Fake, KernelContext::new()).await?;
//! assert_eq!(*kernel.context().need::<u32>()?, 42);
//! # Ok::<(), KernelError>(())
//! # })?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod context;
mod error;
mod plugin;
mod shutdown;

pub use context::KernelContext;
pub use error::KernelError;
pub use plugin::{Kernel, Plugin, Program, StartFuture};
pub use shutdown::{Shutdown, ShutdownTrigger};
