//! Listener for callers: decodes requests within limits, encodes answers and refusals.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use jaycrank_http::Bounds;
use jaycrank_http::Server;
use jaycrank_http::request;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::http::StatusCode;
use salvo::http::header;
use serde::Serialize;
use smol_str::SmolStr;

use crate::wire::Answer;
use crate::wire::Fairness;
use crate::wire::Query;
use crate::wire::Refusal;

/// Application logic behind the listener, which the instance implements.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Returns the member that a token belongs to.
    fn member(&self, token: &str) -> Option<SmolStr>;

    /// Answers a query of a member.
    ///
    /// # Errors
    ///
    /// Returns a refusal that says whether the request may have run.
    async fn query(&self, member: SmolStr, query: Query) -> Result<Answer, Refusal>;

    /// Returns the fairness statistics of all members.
    async fn fairness(&self) -> Fairness;

    /// Returns whether the instance is leaving. If so, each connection is closed after its next
    /// answer or refusal.
    fn is_leaving(&self) -> bool {
        false
    }
}

/// Starts the listener for callers.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn bind(
    address: SocketAddr,
    handler: Arc<dyn Handler>,
    bounds: Bounds,
) -> io::Result<Server> {
    let query = QueryRoute { handler: handler.clone(), bounds: bounds.clone() };
    let router = Router::new()
        .push(Router::with_path("query").post(query))
        .push(Router::with_path("fairness").get(FairnessRoute { handler }))
        .push(Router::with_path("{**rest}").goal(UnknownRoute));
    Server::bind(address, router, bounds).await
}

struct QueryRoute {
    handler: Arc<dyn Handler>,
    bounds: Bounds,
}

#[async_trait]
impl salvo::Handler for QueryRoute {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.answer(request).await {
            Ok(answer) => write(response, 200, &answer),
            Err(refusal) => write_refusal(response, &refusal),
        }
        if self.handler.is_leaving() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
    }
}

impl QueryRoute {
    async fn answer(&self, request: &mut Request) -> Result<Answer, Refusal> {
        let member = authenticate(self.handler.as_ref(), request)?;
        let body = request::read_body(request, &self.bounds).await?;
        self.handler.query(member, Query::decode(&body)?).await
    }
}

struct FairnessRoute {
    handler: Arc<dyn Handler>,
}

#[async_trait]
impl salvo::Handler for FairnessRoute {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match authenticate(self.handler.as_ref(), request) {
            Ok(_) => write(response, 200, &self.handler.fairness().await),
            Err(refusal) => write_refusal(response, &refusal),
        }
    }
}

/// Refuses every other method or path.
struct UnknownRoute;

#[async_trait]
impl salvo::Handler for UnknownRoute {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let message = "there is no such route; accepted: POST /query and GET /fairness";
        write_refusal(response, &Refusal::invalid(404, "unknown-route", message));
    }
}

fn authenticate(handler: &dyn Handler, request: &Request) -> Result<SmolStr, Refusal> {
    handler
        .member(request::bearer_token(request)?)
        .ok_or_else(|| Refusal::invalid(401, "wrong-token", "the token belongs to no member"))
}

fn write_refusal(response: &mut Response, refusal: &Refusal) {
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1_000);
        if let Ok(value) = header::HeaderValue::from_str(&seconds.to_string()) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    write(response, refusal.status, refusal);
}

fn write<T: Serialize>(response: &mut Response, status: u16, message: &T) {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.status_code(status);
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    // Messages are structs with string keys, whose serialization can't fail.
    let body = serde_json::to_vec(message).unwrap_or_default();
    // `write_body` fails only if the body is already set, which no route does.
    let _ = response.write_body(body);
}
