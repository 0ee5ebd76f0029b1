//! Clients: one attempt on a new connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::http::Message;
use crate::http::call;
use crate::record::Record;

/// Host of all routes.
pub const HOST: &str = "hufi27.example";

/// Answer to an attempt; `None` if the connection failed or ended without one.
pub type Answer = Option<Message>;

/// Milliseconds of the end of an attempt, and its answer.
pub type Ended = (u64, Answer);

/// Sends a request from a thread of its own.
pub fn send(
    record: &Arc<Record>,
    front: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
) -> JoinHandle<Ended> {
    let (record, id) = (record.clone(), id.to_owned());
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nJaycrank-Request-Id: {id}\r\n\
         Jaycrank-Deadline-Ms: {}\r\n\r\n",
        deadline.as_millis()
    );
    let line = format!("client: {id} {method} {path} sent to {front}");
    thread::spawn(move || {
        record.line(&line);
        let answer = call(front, &request, deadline).ok().flatten();
        let shown = answer.as_ref().map_or("no answer".to_owned(), |answer| {
            let stamp = answer.header("jaycrank-response-stamp").unwrap_or("none");
            format!("{}, signature {stamp}", answer.status())
        });
        record.line(&format!("client: {id} gets {shown}"));
        (record.now_ms(), answer)
    })
}
