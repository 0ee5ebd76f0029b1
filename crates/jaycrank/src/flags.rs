//! Command-line flags and their environment variables.
//!
//! A program lists its flags in a table of [`Flag`]s, from which help texts, parsing and error
//! messages are derived. Each flag `--some-name` can also be set by the environment variable
//! `JAYCRANK_SOME_NAME`; the flag takes precedence.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt;
use std::str::FromStr;

use lexopt::Arg;
use lexopt::ValueExt;

/// Prefix of all environment variables.
const VARIABLE_PREFIX: &str = "JAYCRANK_";

/// A command-line flag.
#[derive(Clone, Copy, Debug)]
pub struct Flag {
    /// Name without the leading dashes.
    pub name: &'static str,
    /// Placeholder for the value in the help text; empty for a switch.
    pub value_name: &'static str,
    /// Value if neither flag nor variable is given; `None` if the flag is required.
    pub default: Option<&'static str>,
    /// One line of help, with units.
    pub help: &'static str,
}

impl Flag {
    /// Returns the name of the flag's environment variable.
    pub fn variable(&self) -> String {
        format!("{VARIABLE_PREFIX}{}", self.name.replace('-', "_").to_uppercase())
    }
}

/// Invalid arguments or variables. The message names the flag and what is accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A flag or its variable has a value that is not accepted.
    Value {
        /// Name of the flag or variable.
        name: String,
        /// Value that was given.
        value: String,
        /// Description of the accepted values.
        accepted: String,
    },
    /// A required flag is missing.
    Missing(String),
    /// A flag is unknown or lacks its value, or an argument is not valid Unicode.
    Usage(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Value { name, value, accepted } => {
                write!(f, "{name}: `{value}` is not accepted; accepted: {accepted}")
            }
            Self::Missing(name) => write!(f, "--{name} must be given"),
            Self::Usage(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for Error {}

/// Result of parsing flags.
pub type Result<T> = std::result::Result<T, Error>;

/// Values of the flags and the remaining arguments.
#[derive(Clone, Debug, Default)]
pub struct Flags {
    values: BTreeMap<&'static str, Assignment>,
    arguments: Vec<String>,
    help: bool,
    version: bool,
}

/// A value and the name under which it was given, for error messages.
#[derive(Clone, Debug)]
struct Assignment {
    name: String,
    value: String,
}

impl Flags {
    /// Parses the arguments of a program; `variable` reads an environment variable.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] for an unknown flag, a flag without its value or a value that is not
    /// valid Unicode.
    pub fn parse(
        table: &[Flag],
        arguments: impl IntoIterator<Item = OsString>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self> {
        let mut flags = Self::default();
        for flag in table {
            let name = flag.variable();
            if let Some(value) = variable(&name) {
                flags.values.insert(flag.name, Assignment { name, value });
            } else if let Some(value) = flag.default {
                let name = format!("--{}", flag.name);
                flags.values.insert(flag.name, Assignment { name, value: value.to_owned() });
            }
        }
        flags.parse_arguments(table, arguments)?;
        Ok(flags)
    }

    fn parse_arguments(
        &mut self,
        table: &[Flag],
        arguments: impl IntoIterator<Item = OsString>,
    ) -> Result<()> {
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next().map_err(usage)? {
            match argument {
                Arg::Short('h') | Arg::Long("help") => self.help = true,
                Arg::Short('V') | Arg::Long("version") => self.version = true,
                Arg::Value(value) => self.arguments.push(value.string().map_err(usage)?),
                Arg::Short(short) => return Err(usage(format!("unknown flag -{short}"))),
                Arg::Long(long) => {
                    let flag = table.iter().find(|flag| flag.name == long);
                    let flag = flag.ok_or_else(|| usage(format!("unknown flag --{long}")))?;
                    let value = if flag.value_name.is_empty() {
                        "true".to_owned()
                    } else {
                        parser.value().and_then(|value| value.string()).map_err(usage)?
                    };
                    let name = format!("--{}", flag.name);
                    self.values.insert(flag.name, Assignment { name, value });
                }
            }
        }
        Ok(())
    }

    /// Returns whether `--help` was given.
    pub fn is_help_requested(&self) -> bool {
        self.help
    }

    /// Returns whether `--version` was given.
    pub fn is_version_requested(&self) -> bool {
        self.version
    }

    /// Returns the arguments that are not flags.
    pub fn arguments(&self) -> &[String] {
        &self.arguments
    }

    /// Returns the text of a flag's value.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`] if the flag has no default and was not given.
    pub fn text(&self, name: &str) -> Result<&str> {
        let assignment = self.values.get(name);
        assignment
            .map(|assignment| assignment.value.as_str())
            .ok_or_else(|| Error::Missing(name.to_owned()))
    }

    /// Returns whether a switch is on.
    pub fn is_set(&self, name: &str) -> bool {
        self.values.get(name).is_some_and(|assignment| assignment.value == "true")
    }

    /// Parses the value of a flag and checks it with `check`. `accepted` describes the accepted
    /// values for the error message.
    ///
    /// # Errors
    ///
    /// [`Error::Missing`] if the flag is missing, [`Error::Value`] if it can't be parsed or is
    /// not accepted.
    pub fn value<T: FromStr>(
        &self,
        name: &str,
        accepted: &str,
        check: impl Fn(&T) -> bool,
    ) -> Result<T> {
        let assignment = self.values.get(name).ok_or_else(|| Error::Missing(name.to_owned()))?;
        assignment.value.parse().ok().filter(check).ok_or_else(|| Error::Value {
            name: assignment.name.clone(),
            value: assignment.value.clone(),
            accepted: accepted.to_owned(),
        })
    }
}

/// Returns the help lines of a table of flags.
pub fn help(table: &[Flag]) -> String {
    let mut text = String::new();
    for flag in table {
        let name = match flag.value_name {
            "" => format!("--{}", flag.name),
            value_name => format!("--{} {value_name}", flag.name),
        };
        let default = match flag.default {
            _ if flag.value_name.is_empty() => "off".to_owned(),
            None => "required".to_owned(),
            Some("") => "optional".to_owned(),
            Some(default) => format!("default {default}"),
        };
        text.push_str(&format!("  {name:<30} {} ({default}; {})\n", flag.help, flag.variable()));
    }
    text
}

#[cold]
fn usage(error: impl fmt::Display) -> Error {
    Error::Usage(error.to_string())
}
