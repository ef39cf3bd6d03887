//! Routes of the operators' interface.

use std::sync::Arc;

use hollywheel_admin::{DrainReply, OperatorRole};
use hollywheel_types::RequestId;
use serde::de::DeserializeOwned;
use xitca_web::WebContext;
use xitca_web::body::ResponseBody;
use xitca_web::bytes::Bytes;
use xitca_web::error::Error;
use xitca_web::http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use xitca_web::http::{Method, Response, StatusCode, WebResponse};

use super::access::check_access;
use super::error::AdminError;
use super::query::{number_value, text_value};
use super::state::AdminState;
use crate::events::{EventContext, LogEvent, log_event};
use crate::web::{
    BufferedReply, discard_body, json_reply, operator_body_stream, problem_reply, read_body,
};

type Context<'a> = WebContext<'a, Arc<AdminState>>;
type Reply = Result<BufferedReply, AdminError>;

const TRACE_PREFIX: &str = "/admin/trace/";

/// Route of the operators' interface.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AdminRoute {
    Health,
    Metrics,
    Status,
    Hosts,
    Pools,
    Config,
    History,
    Check,
    Publish,
    Rollback,
    Claims,
    Resolve,
    Drain,
    Secrets,
    Trace,
}

impl AdminRoute {
    const ROUTES: [(&'static str, Method, OperatorRole, Self); 14] = [
        ("/healthz", Method::GET, OperatorRole::Viewer, Self::Health),
        ("/metrics", Method::GET, OperatorRole::Viewer, Self::Metrics),
        (
            "/admin/status",
            Method::GET,
            OperatorRole::Viewer,
            Self::Status,
        ),
        (
            "/admin/hosts",
            Method::GET,
            OperatorRole::Viewer,
            Self::Hosts,
        ),
        (
            "/admin/pools",
            Method::GET,
            OperatorRole::Viewer,
            Self::Pools,
        ),
        (
            "/admin/config",
            Method::GET,
            OperatorRole::Viewer,
            Self::Config,
        ),
        (
            "/admin/config/history",
            Method::GET,
            OperatorRole::Viewer,
            Self::History,
        ),
        (
            "/admin/config/check",
            Method::POST,
            OperatorRole::Viewer,
            Self::Check,
        ),
        (
            "/admin/config/publish",
            Method::POST,
            OperatorRole::Publisher,
            Self::Publish,
        ),
        (
            "/admin/config/rollback",
            Method::POST,
            OperatorRole::Publisher,
            Self::Rollback,
        ),
        (
            "/admin/claims",
            Method::GET,
            OperatorRole::Viewer,
            Self::Claims,
        ),
        (
            "/admin/claims/resolve",
            Method::POST,
            OperatorRole::Publisher,
            Self::Resolve,
        ),
        (
            "/admin/drain",
            Method::POST,
            OperatorRole::Publisher,
            Self::Drain,
        ),
        (
            "/admin/secrets",
            Method::POST,
            OperatorRole::Publisher,
            Self::Secrets,
        ),
    ];

    fn find(method: &Method, path: &str) -> Result<(Self, OperatorRole), AdminError> {
        if path.starts_with(TRACE_PREFIX) {
            return match *method {
                Method::GET => Ok((Self::Trace, OperatorRole::Viewer)),
                _ => Err(AdminError::WrongMethod),
            };
        }
        let entry = Self::ROUTES.iter().find(|entry| entry.0 == path);
        let (_, expected, role, found) = entry.ok_or(AdminError::NoPath)?;
        if method != expected {
            return Err(AdminError::WrongMethod);
        }
        Ok((*found, *role))
    }
}

/// Handles one HTTP call. The rest of the request body is discarded before the reply is sent:
/// closing a connection with unread bytes resets it and loses the reply.
pub(super) async fn handle_call(mut context: Context<'_>) -> Result<WebResponse, Error> {
    let reply = answer_call(&mut context).await;
    discard_body(&mut operator_body_stream(context.body_get_mut())).await;
    let reply = reply.unwrap_or_else(|fault| {
        if matches!(fault, AdminError::NoToken | AdminError::RoleTooLow) {
            let detail = fault.to_string();
            log_event(
                LogEvent::OperatorRejected,
                &EventContext::default(),
                &detail,
            );
        }
        problem_reply(&fault.problem())
    });
    Ok(reply.map(ResponseBody::bytes))
}

async fn answer_call(context: &mut Context<'_>) -> Reply {
    let state = Arc::clone(context.state());
    let request = context.req();
    let header = request.headers().get(AUTHORIZATION).cloned();
    let header = header.as_ref().and_then(|value| value.to_str().ok());
    let found = AdminRoute::find(request.method(), request.uri().path());
    if !matches!(found, Ok((AdminRoute::Health, _))) {
        // The token is checked first, so that nobody without one learns which paths exist.
        let required = found.as_ref().map_or(OperatorRole::Viewer, |found| found.1);
        check_access(&state.operators.load(), header, required)?;
    }
    let (path, _) = found?;
    match path {
        AdminRoute::Check
        | AdminRoute::Publish
        | AdminRoute::Rollback
        | AdminRoute::Resolve
        | AdminRoute::Secrets => answer_with_body(&state, context, path).await,
        _ => answer_without_body(&state, context, path).await,
    }
}

async fn answer_without_body(state: &AdminState, context: &Context<'_>, path: AdminRoute) -> Reply {
    let uri = context.req().uri();
    let query = uri.query();
    match path {
        AdminRoute::Health => ok_reply(&"alive"),
        AdminRoute::Metrics => Ok(metrics_reply(state)),
        AdminRoute::Status => ok_reply(&state.host_status().await?),
        AdminRoute::Hosts => ok_reply(&state.host_list()),
        AdminRoute::Pools => ok_reply(&state.pool_list().await?),
        AdminRoute::Config => {
            let version = number_value(query, "version")?;
            ok_reply(&state.config_document(version).await?)
        }
        AdminRoute::History => ok_reply(&state.history(number_value(query, "limit")?).await?),
        AdminRoute::Claims => {
            let after = text_value(query, "after").unwrap_or_default();
            let all = matches!(text_value(query, "all"), Some("1" | "true"));
            let limit = number_value(query, "limit")?;
            ok_reply(&state.list_claims(after, limit, all).await?)
        }
        AdminRoute::Trace => trace_reply(state, &uri.path()[TRACE_PREFIX.len()..]),
        AdminRoute::Drain => drain_reply(state).await,
        _ => Err(AdminError::NoPath),
    }
}

async fn answer_with_body(
    state: &AdminState,
    context: &mut Context<'_>,
    path: AdminRoute,
) -> Reply {
    match path {
        AdminRoute::Check => {
            let request = json_body(state, context).await?;
            ok_reply(&AdminState::check_config(request))
        }
        AdminRoute::Publish => {
            let request = json_body(state, context).await?;
            ok_reply(&state.publish(request).await?)
        }
        AdminRoute::Rollback => {
            let request = json_body(state, context).await?;
            ok_reply(&state.roll_back(request).await?)
        }
        AdminRoute::Resolve => {
            let request = json_body(state, context).await?;
            ok_reply(&state.resolve_claim(request).await?)
        }
        AdminRoute::Secrets => {
            let request = json_body(state, context).await?;
            state.replace_secrets(request)?;
            ok_reply(&"replaced")
        }
        _ => Err(AdminError::NoPath),
    }
}

fn ok_reply(body: &impl serde::Serialize) -> Reply {
    Ok(json_reply(StatusCode::OK, body))
}

async fn json_body<T: DeserializeOwned>(
    state: &AdminState,
    context: &mut Context<'_>,
) -> Result<T, AdminError> {
    let mut parts = operator_body_stream(context.body_get_mut());
    let body = read_body(&mut parts, state.max_body)
        .await
        .map_err(AdminError::Body)?;
    serde_json::from_slice(&body).map_err(|error| AdminError::BadBody {
        message: error.to_string(),
    })
}

fn metrics_reply(state: &AdminState) -> BufferedReply {
    let mut reply = Response::new(Bytes::from(state.front.metrics.text()));
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}

fn trace_reply(state: &AdminState, request: &str) -> Reply {
    let not_found = || AdminError::NotFound {
        what: format!("request {request}"),
        place: "on this host",
    };
    let id: RequestId = request.parse().map_err(|_| AdminError::BadQuery {
        name: "request",
        expected: "a request id of 32 hexadecimal digits",
    })?;
    let document = state.front.traces.document(id).ok_or_else(not_found)?;
    ok_reply(&document)
}

async fn drain_reply(state: &AdminState) -> Reply {
    let core = state.core.status().await.ok_or(AdminError::Unavailable)?;
    log_event(LogEvent::DrainOrdered, &EventContext::default(), "");
    state.stop.send_replace(true);
    ok_reply(&DrainReply {
        host: state.host.clone(),
        in_flight: u32::try_from(core.requests).unwrap_or(u32::MAX),
    })
}
