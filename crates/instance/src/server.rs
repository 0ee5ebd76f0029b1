//! Server for the calls of other instances.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
pub use jaycrank_http::Bounds;
use jaycrank_http::Server;
use jaycrank_http::request;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::http::StatusCode;
use salvo::http::header::HeaderValue;

use crate::auth;
use crate::auth::Key;
use crate::auth::Nonce;
use crate::auth::Nonces;
use crate::client;
use crate::exchange::Exchange;
use crate::wire;
use crate::wire::Heartbeat;
use crate::wire::Message;
use crate::wire::Pull;

/// Maximum size of a request body. Each kind of message has a lower limit of its own.
const BODY_BYTES_MAX: usize = 2 << 20;

/// Starts the listener for other instances.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn bind(
    address: SocketAddr,
    exchange: Arc<Exchange>,
    key: Key,
    bounds: Bounds,
) -> io::Result<Server> {
    let bounds = Bounds { body_bytes: BODY_BYTES_MAX, ..bounds };
    let dispatcher =
        Arc::new(Dispatcher { exchange, key, nonces: Nonces::default(), bounds: bounds.clone() });
    let mut router = Router::new();
    for path in
        [client::HEARTBEAT_PATH, client::PULL_PATH, client::CLAIM_PATH, client::FORWARD_PATH]
    {
        let endpoint = Endpoint { path, dispatcher: dispatcher.clone() };
        router = router.push(Router::with_path(path.trim_start_matches('/')).post(endpoint));
    }
    Server::bind(address, router, bounds).await
}

/// Authenticates and answers the calls of peers.
struct Dispatcher {
    exchange: Arc<Exchange>,
    key: Key,
    nonces: Nonces,
    bounds: Bounds,
}

/// Handler of the calls to one path.
struct Endpoint {
    path: &'static str,
    dispatcher: Arc<Dispatcher>,
}

#[async_trait]
impl salvo::Handler for Endpoint {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let (nonce, body) = match self.dispatcher.authenticate(self.path, request).await {
            Ok(authentic) => authentic,
            Err(reason) => {
                // Replies are signed only for senders that are authenticated.
                write(response, 401, reason.into());
                return;
            }
        };
        let (status, reply) = match self.dispatcher.answer(self.path, &body).await {
            Ok(reply) => (200, reply),
            Err(error) => (400, error.to_string().into()),
        };
        let code = auth::to_hex(&self.dispatcher.key.sign_reply(nonce, status, &reply));
        if let Ok(code) = HeaderValue::from_str(&code) {
            response.headers_mut().insert(auth::CODE_HEADER, code);
        }
        write(response, status, reply);
    }
}

impl Dispatcher {
    async fn authenticate(
        &self,
        path: &str,
        request: &mut Request,
    ) -> Result<(Nonce, Bytes), String> {
        let time_ms: u64 = header(request, auth::TIME_HEADER)
            .and_then(|value| value.parse().ok())
            .ok_or_else(|| auth::Error::Header(auth::TIME_HEADER).to_string())?;
        let nonce = header(request, auth::NONCE_HEADER)
            .filter(|value| value.len() == 32)
            .and_then(|value| Nonce::from_str_radix(value, 16).ok())
            .ok_or_else(|| auth::Error::Header(auth::NONCE_HEADER).to_string())?;
        let found = header(request, auth::CODE_HEADER)
            .and_then(auth::from_hex)
            .ok_or_else(|| auth::Error::Header(auth::CODE_HEADER).to_string())?;
        let body = request::read_body(request, &self.bounds).await;
        let body = body.map_err(|error| format!("failed to read the body: {error}"))?;
        let expected = self.key.sign_request(path, time_ms, nonce, &body);
        auth::verify(&expected, &found).map_err(|error| error.to_string())?;
        // The nonce is checked last, so that senders without the key can't fill the set.
        let accepted = self.nonces.accept(time_ms, nonce, client::unix_ms());
        accepted.map_err(|error| error.to_string())?;
        Ok((nonce, body))
    }

    async fn answer(&self, path: &str, body: &[u8]) -> Result<Bytes, wire::Error> {
        match path {
            client::HEARTBEAT_PATH => self.heartbeat(body),
            client::PULL_PATH => {
                let pull: Pull = wire::decode(body)?;
                wire::encode(&self.exchange.documents().answer_pull(&pull))
            }
            client::CLAIM_PATH => {
                let outcome = self.exchange.handler().claim(wire::decode(body)?).await;
                wire::encode(&outcome)
            }
            _ => {
                let outcome = self.exchange.handler().forward(wire::decode(body)?).await;
                wire::encode(&outcome)
            }
        }
    }

    fn heartbeat(&self, body: &[u8]) -> Result<Bytes, wire::Error> {
        let heartbeat: Heartbeat = wire::decode(body)?;
        let (name, address) = (heartbeat.from.name.clone(), heartbeat.from.address);
        if self.exchange.handle_heartbeat(heartbeat) {
            // The heartbeat task of the peer sends a heartbeat now and then pulls the documents.
            self.exchange.notify_peer(address);
        }
        let reply = wire::encode(&self.exchange.compose_heartbeat(Some(&name)))?;
        debug_assert!(reply.len() <= Heartbeat::BYTES_MAX);
        self.exchange.traffic().add(reply.len(), body.len());
        Ok(reply)
    }
}

/// Returns the value of a header that occurs exactly once.
fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let mut values = request.headers().get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() { None } else { value.to_str().ok() }
}

fn write(response: &mut Response, status: u16, body: Bytes) {
    response.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    // Writing the body fails only if one was already set, which no endpoint does.
    let _ = response.write_body(body);
}
