//! Fake platform: workers that run tasks under leases, drain and reboot.
//!
//! [`FakePlatform`] is a model without I/O whose clock is set by its caller, for simulations.
//! [`PlatformServer`] serves it over HTTP by the system's clock, as does the subcommand
//! `masticfield-fake platform`.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use masticfield_core::note::ReleaseNote;
//! use masticfield_fake::platform::{FakePlatform, Timings};
//!
//! let note = ReleaseNote::from_toml(
//!     r#"
//!     number = 1
//!     builds_on = 0
//!     [added]
//!     hosts = [{ name = "h", region = "r", zone = "z", rack = "k", cores = 1, memory_gb = 1 }]
//!     "#,
//! )?;
//! let mut platform = FakePlatform::new(Timings::default(), note.added.hosts);
//! platform.advance(Duration::from_secs(1));
//! assert_eq!(platform.reports(0).workers.len(), 1);
//! # Ok::<(), masticfield_core::note::ParseNoteError>(())
//! ```

mod args;
mod fake_platform;
mod server;
mod task;
mod timings;
mod worker;

pub use args::{PlatformArgs, main};
pub use fake_platform::{FakePlatform, OrderOutcome};
pub use server::{PlatformServer, StartPlatformError};
pub use task::{JobProfile, TaskId};
pub use timings::Timings;
