//! Subcommands of the program `jaycrank`.

use std::ffi::OsString;
use std::fmt;
use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use jaycrank_caller::Client;
use jaycrank_caller::Query;
use serde_json::value::RawValue;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::administer;
use crate::flags;
use crate::flags::Flag;
use crate::flags::Flags;
use crate::fleet;
use crate::local::LocalTier;
use crate::local::TierOptions;
use crate::standins;
use crate::traffic;
use jaycrank_event as events;

/// Flags of `jaycrank local`.
const LOCAL_FLAGS: [Flag; 5] = [
    Flag {
        name: "caller-port",
        value_name: "PORT",
        default: Some("8080"),
        help: "port for callers, 0 for any",
    },
    Flag {
        name: "operator-port",
        value_name: "PORT",
        default: Some("8081"),
        help: "port for operators, 0 for any",
    },
    Flag {
        name: "instances",
        value_name: "N",
        default: Some("3"),
        help: "entry instances, 1 to 9",
    },
    Flag {
        name: "service-ms",
        value_name: "MS",
        default: Some("4"),
        help: "mean service time of the stand-in leafs, 1 to 10000 ms",
    },
    Flag {
        name: "log",
        value_name: "LEVEL",
        default: Some("warn"),
        help: "log level: error, warn, info, debug",
    },
];

/// Flags of `jaycrank query`.
const QUERY_FLAGS: [Flag; 8] = [
    Flag {
        name: "to",
        value_name: "URL",
        default: Some("http://127.0.0.1:8080"),
        help: "address for callers of an instance",
    },
    Flag { name: "token", value_name: "TOKEN", default: None, help: "the member's token" },
    Flag { name: "service", value_name: "NAME", default: None, help: "service to query" },
    Flag {
        name: "rank",
        value_name: "RANK",
        default: Some("middle"),
        help: "urgent, middle or least",
    },
    Flag {
        name: "deadline-ms",
        value_name: "MS",
        default: Some("1000"),
        help: "time for the answer",
    },
    Flag {
        name: "request-id",
        value_name: "ID",
        default: Some(""),
        help: "identifier of a non-idempotent request",
    },
    Flag {
        name: "attempt",
        value_name: "N",
        default: Some("1"),
        help: "number of the attempt, raised when sent again",
    },
    Flag {
        name: "key",
        value_name: "KEY",
        default: Some(""),
        help: "key that chooses the group of a non-idempotent request",
    },
];

/// Error of a command.
#[derive(Debug)]
pub enum Error {
    /// The arguments are wrong; exit code 2.
    Usage(String),
    /// The command failed; exit code 1.
    Failed(String),
}

impl Error {
    /// Returns the exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) => 1,
            Self::Usage(_) => 2,
        }
    }

    /// Prints the error to standard error, with the hint if the arguments are wrong. Returns the
    /// exit code.
    pub fn report(&self, hint: &str) -> ExitCode {
        eprintln!("error: {self}");
        if matches!(self, Self::Usage(_)) {
            eprintln!("Try `{hint}`.");
        }
        ExitCode::from(self.exit_code())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(message) | Self::Failed(message) => f.write_str(message),
        }
    }
}

impl std::error::Error for Error {}

impl From<flags::Error> for Error {
    fn from(error: flags::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

/// Runs the subcommand that the arguments name.
///
/// # Errors
///
/// [`Error::Usage`] for wrong arguments, [`Error::Failed`] if the command fails.
pub async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let mut arguments = arguments.into_iter();
    let name = arguments.next().unwrap_or_default();
    let arguments: Vec<OsString> = arguments.collect();
    match name.to_str().unwrap_or_default() {
        "local" => local(parse_flags(&LOCAL_FLAGS, arguments, "local")?).await,
        "standin" => standins::run(arguments).await,
        "query" => query(parse_flags(&QUERY_FLAGS, arguments, "query BODY")?).await,
        "config" => administer::config(arguments).await,
        "status" => administer::status(arguments).await,
        "dump" => administer::dump(arguments).await,
        "fleet" => fleet::run(arguments).await,
        "traffic" => traffic::run(arguments),
        "fairness" => administer::fairness(arguments).await,
        "help" | "--help" | "-h" => print(&help()),
        "--version" | "-V" => print(&format!("jaycrank {}", env!("CARGO_PKG_VERSION"))),
        "" => Err(Error::Usage("a subcommand is missing".to_owned())),
        other => Err(Error::Usage(format!("unknown subcommand `{other}`"))),
    }
}

/// Prints a text and a newline to standard output. A broken pipe is not an error, because the
/// reader may stop early.
pub(crate) fn print(text: &str) -> Result<(), Error> {
    match writeln!(std::io::stdout(), "{text}") {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(failed(&error)),
        _ => Ok(()),
    }
}

fn help() -> String {
    "jaycrank: a query tier over many shards\n\n\
     Usage: jaycrank SUBCOMMAND [FLAGS]\n\n\
     Subcommands:\n  \
       local     run a whole tier with both sample deployments on loopback\n  \
       standin   run only the stand-in platform and leafs, for `jaycrankd` processes\n  \
       query     send one query and print the answer\n  \
       config    read and edit settings: get, put, remove, log, validate\n  \
       status    print the state of an instance and its peers\n  \
       dump      print the whole state of an instance\n  \
       fleet     print an overview of running gateways\n  \
       traffic   print messages and bytes of a fleet from its logs\n  \
       fairness  print what each member asked for and received\n  \
       help      print this text\n\n\
     `jaycrank SUBCOMMAND --help` lists the flags. Each flag has an environment variable."
        .to_owned()
}

/// Parses the flags of a subcommand. Returns `None` if help was requested and printed.
pub(crate) fn parse_flags(
    table: &[Flag],
    arguments: Vec<OsString>,
    usage: &str,
) -> Result<Option<Flags>, Error> {
    let flags = Flags::parse(table, arguments, |name| std::env::var(name).ok())?;
    if flags.is_help_requested() {
        print(&format!("Usage: jaycrank {usage} [FLAGS]\n\nFlags:\n{}", flags::help(table)))?;
        return Ok(None);
    }
    Ok(Some(flags))
}

async fn local(flags: Option<Flags>) -> Result<(), Error> {
    let Some(flags) = flags else { return Ok(()) };
    let port = "a port, 0 to 65535";
    let level = flags.text("log")?;
    let level = events::level(level).ok_or_else(|| {
        Error::Usage(format!(
            "--log: `{level}` is not accepted; accepted: error, warn, info, debug"
        ))
    })?;
    events::init(level, events::Format::Text).map_err(|error| failed(&error))?;
    let tier_options = TierOptions {
        caller_port: flags.value("caller-port", port, |_| true)?,
        operator_port: flags.value("operator-port", port, |_| true)?,
        instances: flags.value("instances", "1 to 9", |n| (1..=9).contains(n))?,
        service_time: Duration::from_millis(
            flags.value("service-ms", "1 to 10000", |ms| (1..=10_000).contains(ms))?,
        ),
        ..TierOptions::default()
    };
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| failed(&error))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| failed(&error))?;
    let local = LocalTier::start(&tier_options).await.map_err(|error| failed(&error))?;
    println!(
        "ready caller=http://{} operator=http://{} member-token={} operator-token={}",
        local.caller_addresses()[0],
        local.operator_addresses()[0],
        local.member_token(),
        local.operator_token(),
    );
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    local.shutdown().await;
    Ok(())
}

async fn query(flags: Option<Flags>) -> Result<(), Error> {
    let Some(flags) = flags else { return Ok(()) };
    let address = parse_address(flags.text("to")?)?;
    let body = match flags.arguments() {
        [body] => body.clone(),
        _ => return Err(Error::Usage("exactly one BODY (JSON) must be given".to_owned())),
    };
    let body = RawValue::from_string(body)
        .map_err(|error| Error::Usage(format!("BODY is not valid JSON: {error}")))?;
    let optional = |name: &str| flags.text(name).ok().filter(|text| !text.is_empty());
    let query = Query {
        service: flags.text("service")?.into(),
        rank: flags.text("rank")?.into(),
        deadline_ms: flags.value("deadline-ms", "a number of milliseconds", |_| true)?,
        body,
        request_id: optional("request-id").map(Into::into),
        attempt: flags.value("attempt", "1 to 4294967295", |attempt| *attempt > 0)?,
        expires_unix_ms: None,
        key: optional("key").map(Into::into),
    };
    let client = Client::new(address, flags.text("token")?);
    let answer = client.query(&query).await.map_err(|error| failed(&error))?;
    print(&serde_json::to_string_pretty(&answer).map_err(|error| failed(&error))?)
}

/// Parses `http://IP:PORT` or `IP:PORT`.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, Error> {
    let without_scheme = text.strip_prefix("http://").unwrap_or(text).trim_end_matches('/');
    without_scheme.parse().map_err(|_| {
        Error::Usage(format!("address `{text}` is not accepted; accepted: http://IP:PORT"))
    })
}

#[cold]
pub(crate) fn failed(error: &dyn fmt::Display) -> Error {
    Error::Failed(error.to_string())
}
