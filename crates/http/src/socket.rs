//! Options of sockets.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Time without an acknowledgement after which the kernel closes a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the kernel's probes on a connection without traffic.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which the kernel closes a connection.
const KEEPALIVE_PROBES_MAX: u32 = 2;

/// Sets the options by which the kernel notices a peer that is gone without a word, and sends
/// small messages at once.
///
/// # Errors
///
/// Fails if the socket does not take the options.
pub fn set_tcp_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_MAX);
    socket.set_tcp_keepalive(&probes)
}
