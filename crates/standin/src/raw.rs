//! HTTP client that sends raw bytes on one connection, so that tests control each of them.

use std::collections::BTreeMap;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A response as the client received it.
#[derive(Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Values of the headers by their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

/// Sends a request and reads one response.
///
/// Returns `None` if the connection ends before the response is complete, or if the response is
/// malformed.
pub async fn exchange(stream: &mut TcpStream, request: &str) -> Option<Response> {
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut buffer = Vec::new();
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        if stream.read_buf(&mut buffer).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buffer[..end].to_vec()).ok()?;
    let mut body = buffer.split_off(end + 4);
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.get("content-length").map_or(Some(0), |length| length.parse().ok())?;
    while body.len() < length {
        if stream.read_buf(&mut body).await.ok()? == 0 {
            return None;
        }
    }
    Some(Response { status, headers, body })
}
