//! HTTP server of the platform API, backed by the stand-ins in memory.
//!
//! [`jaycrank_platform::wire`] defines the messages.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use jaycrank_http::Bounds;
use jaycrank_http::Server;
use jaycrank_platform::Error;
use jaycrank_platform::Expected;
use jaycrank_platform::List as _;
use jaycrank_platform::Store as _;
use jaycrank_platform::Version;
use jaycrank_platform::store::VALUE_BYTES_MAX;
use jaycrank_platform::wire::Changes;
use jaycrank_platform::wire::Instances;
use jaycrank_platform::wire::Listing;
use jaycrank_platform::wire::VERSION_HEADER;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::http::Method;
use salvo::http::StatusCode;
use salvo::http::header::HeaderValue;
use serde::Serialize;

use crate::list::List;
use crate::store::Store;

/// Starts an HTTP server for a store and an instance list.
///
/// An injected loss of a reply closes the connection, as a network failure does.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn bind(address: SocketAddr, store: Arc<Store>, list: Arc<List>) -> io::Result<Server> {
    let platform = Arc::new(Platform { store, list });
    let mut router = Router::new();
    for path in ["objects/{**key}", "list", "watch", "instances"] {
        router = router.push(Router::with_path(path).goal(Route(platform.clone())));
    }
    Server::bind(address, router, Bounds::default()).await
}

/// The stand-ins behind all routes.
struct Platform {
    store: Arc<Store>,
    list: Arc<List>,
}

/// Handler of a route.
struct Route(Arc<Platform>);

/// A reply: status, version and body.
struct Reply {
    status: StatusCode,
    version: Option<Version>,
    body: Bytes,
}

#[async_trait]
impl salvo::Handler for Route {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let reply = match self.0.answer(request).await {
            Ok(reply) => reply,
            Err(Error::Unknown(_)) => {
                response.body(failing_body());
                ctrl.skip_rest();
                return;
            }
            Err(error) => Reply {
                status: status(&error),
                version: None,
                body: Bytes::from(error.to_string()),
            },
        };
        response.status_code(reply.status);
        if let Some(value) = reply.version.and_then(|v| HeaderValue::from_str(&v.to_string()).ok())
        {
            response.headers_mut().insert(VERSION_HEADER, value);
        }
        // Writing a body fails only if one is already set, which no route does.
        let _ = response.write_body(reply.body);
    }
}

impl Platform {
    async fn answer(&self, request: &mut Request) -> Result<Reply, Error> {
        let path = request.uri().path().to_owned();
        let is_get = request.method() == Method::GET;
        match path.strip_prefix('/') {
            Some("instances") if is_get => json(&Instances { entries: self.list.entries().await? }),
            Some("list") if is_get => {
                let prefix: String = request.query("prefix").unwrap_or_default();
                json(&Listing { keys: self.store.list(&prefix).await? })
            }
            Some("watch") if is_get => {
                let prefix: String = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let change = self.store.watch(&prefix, after).await?;
                json(&Changes { revision: change.revision, keys: change.keys })
            }
            Some(path) => match path.strip_prefix("objects/") {
                Some(key) if !key.is_empty() => self.object(key, request).await,
                _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
            },
            None => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn object(&self, key: &str, request: &mut Request) -> Result<Reply, Error> {
        let version = request.headers().get(VERSION_HEADER);
        let version = match version.map(|value| value.to_str().unwrap_or_default().parse()) {
            None => None,
            Some(Ok(version)) => Some(version),
            Some(Err(_)) => return Ok(empty(StatusCode::BAD_REQUEST)),
        };
        match (request.method().clone(), version) {
            (Method::GET, _) => Ok(match self.store.get(key).await? {
                None => empty(StatusCode::NOT_FOUND),
                Some(object) => Reply {
                    status: StatusCode::OK,
                    version: Some(object.version),
                    body: object.value,
                },
            }),
            (Method::PUT, version) => {
                let payload = request.payload_with_max_size(VALUE_BYTES_MAX).await;
                let Ok(body) = payload.cloned() else {
                    return Ok(empty(StatusCode::PAYLOAD_TOO_LARGE));
                };
                let expected = version.map_or(Expected::Absent, Expected::Version);
                let version = self.store.put(key, body, expected).await?;
                Ok(Reply { status: StatusCode::OK, version: Some(version), body: Bytes::new() })
            }
            (Method::DELETE, Some(version)) => {
                self.store.delete(key, version).await?;
                Ok(empty(StatusCode::OK))
            }
            _ => Ok(empty(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }
}

/// Returns a body that fails at once, which makes the server close the connection.
fn failing_body() -> salvo::http::ResBody {
    let failed = futures_util::stream::once(async {
        Err::<Bytes, io::Error>(io::Error::other("injected loss of the reply"))
    });
    salvo::http::ResBody::stream(failed)
}

fn status(error: &Error) -> StatusCode {
    match error {
        Error::Conflict(_) => StatusCode::PRECONDITION_FAILED,
        Error::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn empty(status: StatusCode) -> Reply {
    Reply { status, version: None, body: Bytes::new() }
}

fn json<T: Serialize>(message: &T) -> Result<Reply, Error> {
    let body =
        serde_json::to_vec(message).map_err(|error| Error::Malformed(error.to_string().into()))?;
    Ok(Reply { status: StatusCode::OK, version: None, body: body.into() })
}
