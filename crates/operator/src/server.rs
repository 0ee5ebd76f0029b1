//! Listener for operators: decodes requests within limits, encodes replies and refusals.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use jaycrank_http::Bounds;
use jaycrank_http::Server;
use jaycrank_http::request;
use jaycrank_settings::Edit;
use jaycrank_settings::Tree;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::http::Method;
use salvo::http::StatusCode;
use salvo::http::header;
use salvo::http::header::HeaderValue;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::wire::Account;
use crate::wire::Category;
use crate::wire::EditReply;
use crate::wire::EditRequest;
use crate::wire::Log;
use crate::wire::Refusal;
use crate::wire::Status;
use crate::wire::ValidationReply;

/// Application logic behind the listener, which the instance implements.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Returns the operator that a token belongs to.
    fn operator(&self, token: &str) -> Option<Account>;

    /// Returns the settings that the instance applies.
    fn config(&self) -> Arc<Tree>;

    /// Applies an edit.
    ///
    /// # Errors
    ///
    /// Returns a refusal that says whether the edit may have been applied.
    async fn edit(&self, account: Account, edit: Edit) -> Result<EditReply, Refusal>;

    /// Returns the log of the most recently accepted edits.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the store can't be reached.
    async fn log(&self) -> Result<Log, Refusal>;

    /// Validates a whole tree without applying it.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the first value that is not accepted.
    fn validate(&self, tree: &Tree) -> Result<ValidationReply, Refusal>;

    /// Returns the state of the instance and its peers.
    fn status(&self) -> Status;

    /// Returns the dump of the instance's internal state.
    async fn dump(&self) -> Value;

    /// Returns the fairness statistics of all members.
    async fn fairness(&self) -> Value;

    /// Returns the metrics in the text format of Prometheus.
    fn metrics(&self) -> String;

    /// Returns whether the process is healthy.
    fn is_healthy(&self) -> bool;

    /// Returns whether the instance accepts queries.
    fn is_ready(&self) -> bool;
}

/// Starts the listener for operators.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn bind(
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    bounds: Bounds,
) -> io::Result<Server> {
    let api = Arc::new(Api { handler, bounds: bounds.clone() });
    // A single handler serves every path, so that unknown paths get a refusal with a body too.
    let router = Router::new()
        .push(Router::with_path("{**path}").goal(Endpoint(api.clone())))
        .goal(Endpoint(api));
    Server::bind(address, router, bounds).await
}

/// The HTTP handler of every path.
struct Endpoint(Arc<Api>);

/// Dispatches requests to the [`Handler`] by method and path.
struct Api {
    handler: Arc<dyn Handler>,
    bounds: Bounds,
}

/// Body of a successful reply or of a health check.
enum Reply {
    Json(Vec<u8>),
    Text(StatusCode, String),
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
        match self.0.dispatch(request).await {
            Ok(Reply::Json(body)) => write(response, StatusCode::OK, "application/json", body),
            Ok(Reply::Text(status, text)) => {
                write(response, status, "text/plain; version=0.0.4", text.into_bytes());
            }
            Err(refusal) => {
                let status = StatusCode::from_u16(refusal.status);
                let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
                // A refusal is a struct with string keys, whose serialization can't fail.
                let body = serde_json::to_vec(&refusal).unwrap_or_default();
                write(response, status, "application/json", body);
            }
        }
    }
}

impl Api {
    async fn dispatch(&self, request: &mut Request) -> Result<Reply, Refusal> {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let handler = &self.handler;
        if method == Method::GET {
            match path.as_str() {
                "/metrics" => return Ok(Reply::Text(StatusCode::OK, handler.metrics())),
                "/healthz" => return Ok(health_reply(handler.is_healthy())),
                "/readyz" => return Ok(health_reply(handler.is_ready())),
                _ => {}
            }
        }
        let account = authenticate(handler.as_ref(), request)?;
        match (method, path.as_str()) {
            (Method::GET, "/config") => json_reply(handler.config().as_ref()),
            (Method::GET, "/config/log") => json_reply(&handler.log().await?),
            (Method::GET, "/status") => json_reply(&handler.status()),
            (Method::GET, "/dump") => json_reply(&handler.dump().await),
            (Method::GET, "/fairness") => json_reply(&handler.fairness().await),
            (Method::POST, "/config/validate") => {
                let tree: Tree = self.decode_body(request, "settings tree").await?;
                json_reply(&handler.validate(&tree)?)
            }
            (Method::PUT, path) if path == "/config" || path.starts_with("/config/") => {
                let branch = path.strip_prefix("/config/").unwrap_or_default().to_owned();
                let edit: EditRequest = self.decode_body(request, "edit").await?;
                json_reply(&handler.edit(account, edit.into_edit(branch)).await?)
            }
            (method, path) => {
                let message = format!("there is no route {method} {path}");
                Err(Refusal::invalid(404, "no-route", message))
            }
        }
    }

    async fn decode_body<T: DeserializeOwned>(
        &self,
        request: &mut Request,
        name: &str,
    ) -> Result<T, Refusal> {
        let body = request::read_body(request, &self.bounds).await?;
        serde_json::from_slice(&body).map_err(|error| {
            let message = format!("the body is not a valid {name}: {error}");
            Refusal::invalid(400, "malformed", message)
        })
    }
}

fn authenticate(handler: &dyn Handler, request: &Request) -> Result<Account, Refusal> {
    handler
        .operator(request::bearer_token(request)?)
        .ok_or_else(|| Refusal::invalid(401, "wrong-token", "the token belongs to no operator"))
}

fn health_reply(passes: bool) -> Reply {
    match passes {
        true => Reply::Text(StatusCode::OK, "ok\n".into()),
        false => Reply::Text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
    }
}

fn json_reply<T: Serialize>(message: &T) -> Result<Reply, Refusal> {
    match serde_json::to_vec(message) {
        Ok(body) => Ok(Reply::Json(body)),
        Err(error) => {
            let message = format!("the reply could not be encoded: {error}");
            Err(Refusal::new(Category::MayHaveRun, 500, "encoding", message))
        }
    }
}

fn write(response: &mut Response, status: StatusCode, content_type: &'static str, body: Vec<u8>) {
    response.status_code(status);
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    // `write_body` fails only if the body is already set, which no route does.
    let _ = response.write_body(body);
}
