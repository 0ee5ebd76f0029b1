//! Clients: each request is one attempt, on a connection of its own.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;

/// Time that a client waits for an answer.
pub const DEADLINE: Duration = Duration::from_millis(2_000);

/// Sends a request and returns the status of its answer.
pub fn get(address: SocketAddr, path: &str, id: &str, time: Duration) -> Option<u16> {
    exchange(address, path, id, "", time).ok()
}

/// Sends a request of a caller who states who he is, and returns the status of its answer.
pub fn get_as(
    caller: &str,
    address: SocketAddr,
    path: &str,
    id: &str,
    time: Duration,
) -> Option<u16> {
    exchange(address, path, id, &format!("X-Caller: {caller}\r\n"), time).ok()
}

fn exchange(
    address: SocketAddr,
    path: &str,
    id: &str,
    headers: &str,
    time: Duration,
) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(time))?;
    let deadline = time.as_millis();
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: db.example\r\nJaycrank-Request-Id: {id}\r\n\
         Jaycrank-Deadline-Ms: {deadline}\r\n{headers}Connection: close\r\n\r\n"
    )?;
    let answer = http::read(&mut BufReader::new(stream))?;
    let status = answer.and_then(|answer| answer.start.get(1)?.parse().ok());
    status.ok_or_else(|| io::ErrorKind::InvalidData.into())
}
