//! Settings that are checked as a whole.
//!
//! Programs read every flag and environment variable as text and check them together, so that
//! an operator sees all mistakes at once.
//!
//! # Examples
//!
//! ```
//! use std::net::SocketAddr;
//!
//! use masticfield_core::settings::Checker;
//!
//! let mut checker = Checker::new();
//! let listen: Option<SocketAddr> = checker.parse("--listen", "127.0.0.1:0");
//! let zone = checker.require("--zone", None::<&str>);
//! assert!(listen.is_some() && zone.is_none());
//! assert_eq!(checker.finish().unwrap_err().problems().len(), 1);
//! ```

use std::fmt::{self, Display};
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;

/// Collects the mistakes of all settings of a program.
#[derive(Debug, Default)]
pub struct Checker {
    mistakes: Vec<InvalidSetting>,
}

/// A mistake in one setting.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{flag}: {problem}"))]
pub struct InvalidSetting {
    flag: &'static str,
    problem: SettingProblem,
}

/// What is wrong with a setting.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SettingProblem {
    /// The setting has no value.
    #[snafu(display("a value is required"))]
    Missing,
    /// The value cannot be read.
    #[snafu(display("\"{value}\" is not valid: {cause}"))]
    Unreadable {
        /// The value.
        value: Arc<str>,
        /// What the parser says.
        cause: Arc<str>,
    },
    /// The value is out of its range.
    #[snafu(display("{value} is not between {low} and {high}"))]
    OutOfRange {
        /// The value.
        value: Arc<str>,
        /// The lowest accepted value.
        low: Arc<str>,
        /// The highest accepted value.
        high: Arc<str>,
    },
    /// The value contradicts another setting.
    #[snafu(display("must be {relation} {other}"))]
    Contradiction {
        /// How the two must relate.
        relation: &'static str,
        /// Name of the other flag.
        other: &'static str,
    },
}

/// All mistakes in the settings of a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSettings {
    mistakes: Vec<InvalidSetting>,
}

impl Checker {
    /// Creates a checker that has found nothing yet.
    pub const fn new() -> Self {
        Self {
            mistakes: Vec::new(),
        }
    }

    /// Reads a value, or notes that it cannot be read.
    pub fn parse<T>(&mut self, flag: &'static str, text: impl AsRef<str>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = text.as_ref();
        let value = text
            .parse()
            .map_err(|error: T::Err| SettingProblem::Unreadable {
                value: text.into(),
                cause: error.to_string().into(),
            });
        self.keep(flag, value)
    }

    /// Reads a list of values separated by commas.
    pub fn parse_list<T>(&mut self, flag: &'static str, text: impl AsRef<str>) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let parts = text
            .as_ref()
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        parts.filter_map(|part| self.parse(flag, part)).collect()
    }

    /// Reads a duration such as `250ms`, within `range`.
    pub fn duration(
        &mut self,
        flag: &'static str,
        text: impl AsRef<str>,
        range: RangeInclusive<Duration>,
    ) -> Option<Duration> {
        let value = self.parse::<humantime::Duration>(flag, text)?;
        let inside = range.contains(&value);
        let problem = SettingProblem::OutOfRange {
            value: value.to_string().into(),
            low: humantime::format_duration(*range.start())
                .to_string()
                .into(),
            high: humantime::format_duration(*range.end()).to_string().into(),
        };
        self.keep(flag, if inside { Ok(*value) } else { Err(problem) })
    }

    /// Reads what a file holds, or notes why that cannot be read.
    pub fn load<'p, T, E: Display>(
        &mut self,
        flag: &'static str,
        path: &'p Path,
        read: impl FnOnce(&'p Path) -> Result<T, E>,
    ) -> Option<T> {
        let value = read(path).map_err(|error| SettingProblem::Unreadable {
            value: path.display().to_string().into(),
            cause: error.to_string().into(),
        });
        self.keep(flag, value)
    }

    /// Notes a value that is outside `range`.
    pub fn within<T: PartialOrd + Display>(
        &mut self,
        flag: &'static str,
        value: T,
        range: RangeInclusive<T>,
    ) -> Option<T> {
        let inside = range.contains(&value);
        let problem = SettingProblem::OutOfRange {
            value: value.to_string().into(),
            low: range.start().to_string().into(),
            high: range.end().to_string().into(),
        };
        self.keep(flag, if inside { Ok(value) } else { Err(problem) })
    }

    /// Notes a value that is missing.
    pub fn require<T>(&mut self, flag: &'static str, value: Option<T>) -> Option<T> {
        self.keep(flag, value.ok_or(SettingProblem::Missing))
    }

    /// Notes that a setting contradicts another unless `holds`.
    pub fn relate(
        &mut self,
        flag: &'static str,
        holds: bool,
        relation: &'static str,
        other: &'static str,
    ) {
        if !holds {
            self.report(flag, SettingProblem::Contradiction { relation, other });
        }
    }

    /// Notes a mistake.
    pub fn report(&mut self, flag: &'static str, problem: SettingProblem) {
        self.mistakes.push(InvalidSetting { flag, problem });
    }

    /// Ends the check and hands out the settings that were read.
    ///
    /// # Errors
    ///
    /// Fails with every mistake if there was one.
    ///
    /// # Panics
    ///
    /// Panics if settings are missing although no mistake was found, which is a bug.
    pub fn finish_with<T>(self, settings: Option<T>) -> Result<T, InvalidSettings> {
        self.finish()?;
        Ok(settings.expect("a setting is missing only after a mistake"))
    }

    /// Ends the check.
    ///
    /// # Errors
    ///
    /// Fails with every mistake if there was one.
    pub fn finish(self) -> Result<(), InvalidSettings> {
        if self.mistakes.is_empty() {
            Ok(())
        } else {
            Err(InvalidSettings {
                mistakes: self.mistakes,
            })
        }
    }

    fn keep<T>(&mut self, flag: &'static str, value: Result<T, SettingProblem>) -> Option<T> {
        value.map_err(|problem| self.report(flag, problem)).ok()
    }
}

impl InvalidSetting {
    /// Name of the flag.
    pub const fn flag(&self) -> &'static str {
        self.flag
    }

    /// What is wrong with it.
    pub const fn problem(&self) -> &SettingProblem {
        &self.problem
    }
}

impl InvalidSettings {
    /// Exit code of a program with invalid settings.
    pub const EXIT_CODE: u8 = 2;

    /// The mistakes, in the order in which they were found.
    pub fn problems(&self) -> &[InvalidSetting] {
        &self.mistakes
    }
}

impl Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} invalid settings:", self.mistakes.len())?;
        self.mistakes
            .iter()
            .try_for_each(|mistake| writeln!(f, "  {mistake}"))
    }
}

impl std::error::Error for InvalidSettings {}
