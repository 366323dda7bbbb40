//! Output formats.

use std::io::{self, Write};
use std::str::FromStr;

use serde::Serialize;
use snafu::Snafu;

/// Format of the printed results.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables for people.
    #[default]
    Table,
    /// One JSON document for programs.
    Json,
}

/// The text is not the name of an output format.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the output format is \"table\" or \"json\""))]
pub struct ParseOutputFormatError;

impl OutputFormat {
    /// Prints `value` as JSON, or as the text that `table` formats it to.
    ///
    /// A broken pipe is not an error, as readers such as `head` close their input early.
    ///
    /// # Errors
    ///
    /// Fails if the output cannot be written.
    ///
    /// # Panics
    ///
    /// Panics if `value` cannot be serialized as JSON, which is a bug of its type.
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
            result => result,
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
