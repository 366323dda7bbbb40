//! The executable files of the programs.

use std::path::{Path, PathBuf};
use std::process::Command;

use snafu::{ResultExt, ensure};

use crate::SoakError;
use crate::error::{BuildSnafu, StartSnafu};

/// Paths of the executable files of the programs.
#[derive(Debug, Clone)]
pub struct Binaries {
    /// The control program.
    pub control: PathBuf,
    /// The entry program.
    pub entry: PathBuf,
}

impl Binaries {
    /// Uses the given files, and for those that are missing the programs of this package.
    ///
    /// Below `cargo run`, which builds only the soak itself, they are built first.
    ///
    /// # Errors
    ///
    /// Fails if the programs cannot be built.
    pub fn find(control: Option<PathBuf>, entry: Option<PathBuf>) -> Result<Self, SoakError> {
        let path = PathBuf::from("the soak itself");
        let own = std::env::current_exe().context(StartSnafu { path })?;
        if let (Some(cargo), true) = (
            std::env::var_os("CARGO"),
            control.is_none() || entry.is_none(),
        ) {
            build(Path::new(&cargo))?;
        }
        let sibling = |name| own.with_file_name(name);
        Ok(Self {
            control: control.unwrap_or_else(|| sibling("masticfield-soak-control")),
            entry: entry.unwrap_or_else(|| sibling("masticfield-soak-entry")),
        })
    }
}

fn build(cargo: &Path) -> Result<(), SoakError> {
    let mut command = Command::new(cargo);
    command.args(["build", "--locked", "--quiet", "--bins"]);
    command.args([
        "--manifest-path",
        concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"),
    ]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let status = command.status().context(StartSnafu { path: cargo })?;
    ensure!(
        status.success(),
        BuildSnafu {
            code: status.code()
        }
    );
    Ok(())
}
