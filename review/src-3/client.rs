//! Client of a machine.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;
use crate::http::Message;

/// Deadline that a client states.
const DEADLINE: Duration = Duration::from_millis(2_000);

/// Sends a text and reads one response.
pub fn exchange(mut stream: TcpStream, text: &str) -> Option<Message> {
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(DEADLINE * 2)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    http::read(&mut stream, &mut Vec::new()).ok()?
}

/// Sends a request on a new connection; returns the response, if there is one.
pub fn get(front: SocketAddr, path: &str, id: &str) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    let text = format!(
        "GET {path} HTTP/1.1\r\nhost: shop.example\r\njaycrank-request-id: {id}\r\n\
         jaycrank-deadline-ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    exchange(stream, &text)
}
