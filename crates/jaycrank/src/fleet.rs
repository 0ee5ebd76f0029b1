//! The subcommand `fleet`: an overview of running gateways.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use jaycrank_gateway::report;
use tokio::time::sleep;

use crate::command::Error;
use crate::command::parse_address;
use crate::command::parse_flags;
use crate::command::print;
use crate::flags::Flag;

/// Flags of `jaycrank fleet`.
const FLAGS: [Flag; 1] = [Flag {
    name: "every-s",
    value_name: "SECONDS",
    default: Some("0"),
    help: "repeat the overview after this time, 0 to print it once",
}];

/// Prints an overview of the gateways at the given addresses, once or at an interval.
///
/// # Errors
///
/// [`Error::Usage`] for wrong arguments. A gateway that does not answer is not an error; the
/// overview says so.
pub async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let Some(flags) = parse_flags(&FLAGS, arguments, "fleet ADDRESS...")? else { return Ok(()) };
    let addresses: Result<Vec<SocketAddr>, Error> =
        flags.arguments().iter().map(|text| parse_address(text)).collect();
    let addresses = addresses?;
    if addresses.is_empty() {
        return Err(Error::Usage("at least one ADDRESS for metrics must be given".to_owned()));
    }
    let every_s: u64 = flags.value("every-s", "a number of seconds", |_| true)?;
    loop {
        let answers = join_all(addresses.iter().map(|address| report::fetch(*address))).await;
        let fleet: BTreeMap<SocketAddr, report::DumpResult> =
            addresses.iter().copied().zip(answers).collect();
        print(&report::overview(&fleet))?;
        if every_s == 0 {
            return Ok(());
        }
        sleep(Duration::from_secs(every_s)).await;
    }
}
