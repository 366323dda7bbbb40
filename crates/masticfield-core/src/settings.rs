//! Validation of all settings of a program at once.
//!
//! Programs read every flag and environment variable as text and validate them together, so that
//! an operator sees all invalid settings in one run.
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

/// Validates the settings of a program and collects those that are invalid.
#[derive(Debug, Default)]
pub struct Checker {
    problems: Vec<InvalidSetting>,
}

/// A flag and the reason why its value is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{flag}: {problem}"))]
pub struct InvalidSetting {
    flag: &'static str,
    problem: SettingProblem,
}

/// Reason why a setting is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SettingProblem {
    /// The setting has no value.
    #[snafu(display("a value is required"))]
    Missing,
    /// The value cannot be parsed.
    #[snafu(display("\"{value}\" is not valid: {cause}"))]
    Unreadable {
        /// Value as given.
        value: Arc<str>,
        /// Message of the parser.
        cause: Arc<str>,
    },
    /// The value is outside its accepted range.
    #[snafu(display("{value} is not between {low} and {high}"))]
    OutOfRange {
        /// Value as parsed.
        value: Arc<str>,
        /// Lowest accepted value.
        low: Arc<str>,
        /// Highest accepted value.
        high: Arc<str>,
    },
    /// The value contradicts another setting.
    #[snafu(display("must be {relation} {other}"))]
    Contradiction {
        /// Relation that must hold, such as `longer than`.
        relation: &'static str,
        /// Name of the other flag.
        other: &'static str,
    },
}

/// Every invalid setting of a program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSettings {
    problems: Vec<InvalidSetting>,
}

impl Checker {
    /// Creates a checker without problems.
    pub const fn new() -> Self {
        Self {
            problems: Vec::new(),
        }
    }

    /// Parses a value; reports the flag and returns `None` if that fails.
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
        self.accept(flag, value)
    }

    /// Parses a list of values separated by commas; reports and skips those that are invalid.
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

    /// Parses a duration such as `250ms` and reports it if it is outside `range`.
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
        self.accept(flag, if inside { Ok(*value) } else { Err(problem) })
    }

    /// Reads a value from a file; reports the flag and returns `None` if that fails.
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
        self.accept(flag, value)
    }

    /// Reports a value that is outside `range`.
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
        self.accept(flag, if inside { Ok(value) } else { Err(problem) })
    }

    /// Reports a value that is missing.
    pub fn require<T>(&mut self, flag: &'static str, value: Option<T>) -> Option<T> {
        self.accept(flag, value.ok_or(SettingProblem::Missing))
    }

    /// Reports that a setting contradicts another one unless `holds` is true.
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

    /// Records an invalid setting.
    pub fn report(&mut self, flag: &'static str, problem: SettingProblem) {
        self.problems.push(InvalidSetting { flag, problem });
    }

    /// Ends the validation and returns the settings.
    ///
    /// # Errors
    ///
    /// Fails with every invalid setting if there is one.
    ///
    /// # Panics
    ///
    /// Panics if `settings` is `None` although no problem was reported, which is a bug.
    pub fn finish_with<T>(self, settings: Option<T>) -> Result<T, InvalidSettings> {
        self.finish()?;
        Ok(settings.expect("a setting is missing only if a problem was reported"))
    }

    /// Ends the validation.
    ///
    /// # Errors
    ///
    /// Fails with every invalid setting if there is one.
    pub fn finish(self) -> Result<(), InvalidSettings> {
        if self.problems.is_empty() {
            Ok(())
        } else {
            Err(InvalidSettings {
                problems: self.problems,
            })
        }
    }

    /// Returns the value, or records why there is none.
    fn accept<T>(&mut self, flag: &'static str, value: Result<T, SettingProblem>) -> Option<T> {
        value.map_err(|problem| self.report(flag, problem)).ok()
    }
}

impl InvalidSetting {
    /// Returns the name of the flag.
    pub const fn flag(&self) -> &'static str {
        self.flag
    }

    /// Returns why the value is invalid.
    pub const fn problem(&self) -> &SettingProblem {
        &self.problem
    }
}

impl InvalidSettings {
    /// Exit code of a program with invalid settings.
    pub const EXIT_CODE: u8 = 2;

    /// Returns the invalid settings in the order in which they were reported.
    pub fn problems(&self) -> &[InvalidSetting] {
        &self.problems
    }
}

impl Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} invalid settings:", self.problems.len())?;
        self.problems
            .iter()
            .try_for_each(|problem| writeln!(f, "  {problem}"))
    }
}

impl std::error::Error for InvalidSettings {}
