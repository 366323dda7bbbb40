//! What is printed.

use std::io::{self, Write};
use std::str::FromStr;

use serde::Serialize;
use snafu::Snafu;

/// Tables for people or JSON for programs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// A table.
    #[default]
    Table,
    /// One JSON document.
    Json,
}

/// The text names no output format.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the output is \"table\" or \"json\""))]
pub struct ParseOutputFormatError;

impl OutputFormat {
    /// Prints `value` as JSON, or as the text that `table` makes of it.
    ///
    /// A reader that has closed the output, such as `head`, has seen enough; that is no error.
    ///
    /// # Errors
    ///
    /// Fails if the output cannot be written.
    ///
    /// # Panics
    ///
    /// Panics if `value` cannot be written as JSON, which is a bug of its type.
    pub fn print<T: Serialize>(
        self,
        value: &T,
        table: impl FnOnce(&T) -> String,
    ) -> io::Result<()> {
        let text = match self {
            Self::Table => table(value),
            Self::Json => serde_json::to_string_pretty(value).expect("reports are plain data"),
        };
        match writeln!(io::stdout(), "{text}") {
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
            written => written,
        }
    }
}

impl FromStr for OutputFormat {
    type Err = ParseOutputFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(ParseOutputFormatError),
        }
    }
}
