//! The subcommand `jaycrank standin`: the platform and the leafs of both sample deployments, for
//! `jaycrankd` processes that are started separately.

use std::ffi::OsString;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::command;
use crate::command::Error;
use crate::command::failed;
use crate::command::parse_flags;
use crate::flags::Flag;
use crate::local::LocalTier;
use crate::local::TierOptions;

const FLAGS: [Flag; 2] = [
    Flag {
        name: "platform-port",
        value_name: "PORT",
        default: Some("8090"),
        help: "port of the object store and the instance list, 0 for any",
    },
    Flag {
        name: "service-ms",
        value_name: "MS",
        default: Some("4"),
        help: "mean service time of the stand-in leafs, 1 to 10000 ms",
    },
];

/// Serves the stand-ins until SIGTERM or SIGINT.
///
/// # Errors
///
/// As for [`command::run`].
pub async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let Some(flags) = parse_flags(&FLAGS, arguments, "standin")? else { return Ok(()) };
    let service_ms = flags.value("service-ms", "1 to 10000", |ms| (1..=10_000).contains(ms))?;
    let port = flags.value("platform-port", "a port, 0 to 65535", |_| true)?;
    let tier_options = TierOptions {
        instances: 0,
        service_time: Duration::from_millis(service_ms),
        ..TierOptions::default()
    };
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| failed(&error))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| failed(&error))?;
    let local = LocalTier::start(&tier_options).await.map_err(|error| failed(&error))?;
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let (store, list) = (local.store().clone(), local.list().clone());
    let platform = jaycrank_standin::http::bind(address, store, list).await;
    let platform = platform.map_err(|error| failed(&error))?;
    command::print(&format!(
        "ready platform={} member-token={} operator-token={}",
        platform.address(),
        local.member_token(),
        local.operator_token(),
    ))?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    platform.abort().await;
    Ok(())
}
