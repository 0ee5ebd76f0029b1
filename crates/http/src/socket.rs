//! TCP socket options.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// How long sent data may stay unacknowledged before the kernel closes a connection
/// (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the kernel closes a connection. Where the kernel
/// supports [`USER_TIMEOUT`], that decides instead, whatever their number.
const KEEPALIVE_PROBES_MAX: u32 = 2;

/// Sets the options with which the kernel detects a peer that vanished without closing the
/// connection, and disables Nagle's algorithm.
///
/// # Errors
///
/// Fails if the kernel rejects an option.
pub fn set_tcp_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_MAX);
    socket.set_tcp_keepalive(&keepalive)
}
