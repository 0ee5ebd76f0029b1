//! The program `jaycrankd`: one entry instance.

use std::ffi::OsString;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jaycrank_platform::http::Client;
use jaycrank_policy::capacity::Capacity;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::command::Error;
use crate::flags;
use crate::flags::Flag;
use crate::flags::Flags;
use crate::node::Node;
use crate::node::Options;
use crate::node::Platform;
use jaycrank_event as events;

/// Minimum length of the shared key.
const KEY_BYTES_MIN: usize = 16;

/// Bytes in the unit of the memory.
const MEGABYTE: usize = 1_000_000;

/// Flags of `jaycrankd`.
pub const FLAGS: [Flag; 15] = [
    flag("name", "NAME", None, "name of the instance, unique in the fleet and never reused"),
    flag("address", "IP", Some("127.0.0.1"), "address of all listeners"),
    flag("caller-port", "PORT", Some("8080"), "port for callers, 0 for any"),
    flag("operator-port", "PORT", Some("8081"), "port for operators, 0 for any"),
    flag("instance-port", "PORT", Some("8082"), "port for other instances, 0 for any"),
    flag("region", "NAME", Some("local"), "region of the instance"),
    flag("failure-domain", "NAME", Some("local"), "failure domain of the instance"),
    flag("platform", "IP:PORT", None, "address of the platform's store and instance list"),
    flag("seeds", "IP:PORT,...", Some(""), "instances to ask when the platform is down"),
    flag("shared-key", "KEY", None, "key of all instances, at least 16 bytes; prefer the variable"),
    flag("grace-ms", "MS", Some("30000"), "longest graceful shutdown, 0 to 600000 ms"),
    flag("memory-mb", "MB", Some("256"), "memory that the process may use, 64 to 1048576 MB"),
    flag("log", "LEVEL", Some("info"), "log level: error, warn, info, debug"),
    flag("log-format", "FORMAT", Some("json"), "format of the log lines: json, text"),
    flag("instances-max", "N", Some("9"), "instances that share the leafs' connections, 1 to 64"),
];

const fn flag(
    name: &'static str,
    value_name: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> Flag {
    Flag { name, value_name, default, help }
}

/// Runs an instance until SIGTERM or SIGINT.
///
/// # Errors
///
/// [`Error::Usage`] for wrong flags, [`Error::Failed`] if the instance can't start.
pub async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = Flags::parse(&FLAGS, arguments, |name| std::env::var(name).ok())?;
    if flags.is_help_requested() {
        println!("{}", help());
        return Ok(());
    }
    if flags.is_version_requested() {
        println!("jaycrankd {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    if let Some(argument) = flags.arguments().first() {
        return Err(Error::Usage(format!("unexpected argument `{argument}`")));
    }
    let options = options(&flags)?;
    let platform = platform(&flags)?;
    init_logging(&flags)?;
    serve(options, platform).await
}

async fn serve(options: Options, platform: Platform) -> Result<(), Error> {
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| failed(&error))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| failed(&error))?;
    let node = Node::start(options, platform).await.map_err(|error| failed(&error))?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    node.shutdown().await;
    Ok(())
}

fn help() -> String {
    format!(
        "jaycrankd: one entry instance of the jaycrank query tier\n\n\
         Usage: jaycrankd --name NAME --platform IP:PORT --shared-key KEY [FLAGS]\n\n\
         SIGTERM or SIGINT stops it gracefully.\n\nFlags:\n{}",
        flags::help(&FLAGS)
    )
}

/// Initializes logging to standard output from the log flags.
///
/// # Errors
///
/// [`Error::Usage`] for an invalid level or format.
pub fn init_logging(flags: &Flags) -> Result<(), Error> {
    let level = flags.text("log")?;
    let level = events::level(level).ok_or_else(|| {
        let accepted = "error, warn, info, debug";
        Error::Usage(format!("--log: `{level}` is not accepted; accepted: {accepted}"))
    })?;
    let format = flags.value("log-format", "json, text", |_| true)?;
    events::init(level, format).map_err(|error| failed(&error))
}

fn options(flags: &Flags) -> Result<Options, Error> {
    let address: IpAddr = flags.value("address", "an IP address", |_| true)?;
    let port = |name: &str| -> Result<SocketAddr, Error> {
        Ok(SocketAddr::new(address, flags.value(name, "a port, 0 to 65535", |_| true)?))
    };
    let mut seeds = Vec::new();
    for seed in flags.text("seeds")?.split(',').filter(|seed| !seed.is_empty()) {
        seeds.push(seed.parse().map_err(|_| {
            Error::Usage(format!("--seeds: `{seed}` is not accepted; accepted: IP:PORT,..."))
        })?);
    }
    let name_format = "1 to 64 of a-z, 0-9 and -";
    let is_valid_name = |name: &String| {
        let is_allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        (1..=64).contains(&name.len()) && name.bytes().all(is_allowed)
    };
    let name = |flag: &str| flags.value::<String>(flag, name_format, is_valid_name);
    let key_format = "at least 16 bytes";
    let key: String =
        flags.value("shared-key", key_format, |key: &String| key.len() >= KEY_BYTES_MIN)?;
    let memory_mb: usize =
        flags.value("memory-mb", "64 to 1048576", |mb| (64..=1_048_576).contains(mb))?;
    let grace_ms = flags.value("grace-ms", "0 to 600000", |ms| *ms <= 600_000)?;
    Ok(Options {
        name: name("name")?.into(),
        region: name("region")?.into(),
        failure_domain: name("failure-domain")?.into(),
        caller_address: port("caller-port")?,
        operator_address: port("operator-port")?,
        instance_address: port("instance-port")?,
        seeds,
        shared_key: key.into_bytes(),
        instances_max: flags.value("instances-max", "1 to 64", |n| (1..=64).contains(n))?,
        grace: Duration::from_millis(grace_ms),
        capacity: Capacity::default().with_memory(memory_mb * MEGABYTE),
    })
}

fn platform(flags: &Flags) -> Result<Platform, Error> {
    let address: SocketAddr = flags.value("platform", "IP:PORT", |_| true)?;
    let client = Arc::new(Client::new(address));
    Ok(Platform { store: client.clone(), list: client })
}

#[cold]
fn failed(error: &dyn std::fmt::Display) -> Error {
    Error::Failed(error.to_string())
}
