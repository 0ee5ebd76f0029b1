//! Stand-in of a leaf.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// Time that a leaf works on a request.
const WORK_TIME: Duration = Duration::from_millis(5);

/// Run of a request at a leaf.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub leaf: String,
    pub at: Instant,
}

/// Runs of all leafs, in the order of their start.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts a leaf that serves until the process ends; returns its address.
pub fn start(id: &str, runs: &Runs) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (id, runs) = (id.to_owned(), runs.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, runs) = (id.clone(), runs.clone());
            // A connection that breaks ends its thread.
            thread::spawn(move || _ = serve(stream, &id, &runs));
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream, id: &str, runs: &Runs) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = http::read(&mut stream, &mut buffer)? {
        let request_id = request.header("jaycrank-request-id").to_owned();
        let stamp = format!("{id}.{request_id}");
        let mut headers = vec![
            ("jaycrank-request-id", request_id.as_str()),
            ("jaycrank-response-stamp", stamp.as_str()),
            ("jaycrank-server-load", "0,0,3"),
        ];
        let expected = request.header("jaycrank-expect-instance");
        if !expected.is_empty() && expected != id {
            headers.push(("jaycrank-not-executed", "1"));
            http::respond(&mut stream, 421, &headers, b"")?;
            continue;
        }
        let run = Run { request: request_id.clone(), leaf: id.to_owned(), at: Instant::now() };
        runs.lock().unwrap().push(run);
        thread::sleep(WORK_TIME);
        http::respond(&mut stream, 200, &headers, id.as_bytes())?;
    }
    Ok(())
}

/// Returns the entry that a leaf writes about itself.
pub fn entry(service: &str, address: SocketAddr, zone: &str, state: &str, seq: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":3,\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq},\
         \"born\":1700000000000}}"
    )
}
