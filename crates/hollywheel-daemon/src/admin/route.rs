//! What is done at each path.

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
use super::fault::AdminFault;
use super::query::{number_value, text_value};
use super::state::AdminState;
use crate::events::{EventContext, LogEvent, log_event};
use crate::web::{
    BufferedReply, discard_body, json_reply, operator_body_stream, problem_reply, read_body,
};

type Context<'a> = WebContext<'a, Arc<AdminState>>;
type Reply = Result<BufferedReply, AdminFault>;

const TRACE: &str = "/admin/trace/";

/// Names the paths and the methods that they take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AdminPath {
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

impl AdminPath {
    const TABLE: [(&'static str, Method, OperatorRole, Self); 14] = [
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

    fn find(method: &Method, path: &str) -> Result<(Self, OperatorRole), AdminFault> {
        if path.starts_with(TRACE) {
            return match *method {
                Method::GET => Ok((Self::Trace, OperatorRole::Viewer)),
                _ => Err(AdminFault::WrongMethod),
            };
        }
        let entry = Self::TABLE.iter().find(|entry| entry.0 == path);
        let (_, expected, role, found) = entry.ok_or(AdminFault::NoPath)?;
        if method != expected {
            return Err(AdminFault::WrongMethod);
        }
        Ok((*found, *role))
    }
}

/// Answers a call.
pub(super) async fn handle_call(mut context: Context<'_>) -> Result<WebResponse, Error> {
    let reply = answer_call(&mut context).await;
    discard_body(&mut operator_body_stream(context.body_get_mut())).await;
    let reply = reply.unwrap_or_else(|fault| {
        if matches!(fault, AdminFault::NoToken | AdminFault::RoleTooLow) {
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
    let found = AdminPath::find(request.method(), request.uri().path());
    if !matches!(found, Ok((AdminPath::Health, _))) {
        // Without a token a caller does not learn which paths there are.
        let needed = found.as_ref().map_or(OperatorRole::Viewer, |found| found.1);
        check_access(&state.operators.load(), header, needed)?;
    }
    let (path, _) = found?;
    match path {
        AdminPath::Check
        | AdminPath::Publish
        | AdminPath::Rollback
        | AdminPath::Resolve
        | AdminPath::Secrets => change(&state, context, path).await,
        _ => show(&state, context, path).await,
    }
}

async fn show(state: &AdminState, context: &Context<'_>, path: AdminPath) -> Reply {
    let uri = context.req().uri();
    let query = uri.query();
    match path {
        AdminPath::Health => ok(&"alive"),
        AdminPath::Metrics => Ok(metrics_reply(state)),
        AdminPath::Status => ok(&state.host_status().await?),
        AdminPath::Hosts => ok(&state.host_list()),
        AdminPath::Pools => ok(&state.pool_list().await?),
        AdminPath::Config => {
            let version = number_value(query, "version")?;
            ok(&state.config_document(version).await?)
        }
        AdminPath::History => ok(&state.history(number_value(query, "limit")?).await?),
        AdminPath::Claims => {
            let after = text_value(query, "after").unwrap_or_default();
            let all = matches!(text_value(query, "all"), Some("1" | "true"));
            let limit = number_value(query, "limit")?;
            ok(&state.list_claims(after, limit, all).await?)
        }
        AdminPath::Trace => show_trace(state, &uri.path()[TRACE.len()..]),
        AdminPath::Drain => drain(state).await,
        _ => Err(AdminFault::NoPath),
    }
}

async fn change(state: &AdminState, context: &mut Context<'_>, path: AdminPath) -> Reply {
    match path {
        AdminPath::Check => {
            let request = json_body(state, context).await?;
            ok(&AdminState::check_config(request))
        }
        AdminPath::Publish => {
            let request = json_body(state, context).await?;
            ok(&state.publish(request).await?)
        }
        AdminPath::Rollback => {
            let request = json_body(state, context).await?;
            ok(&state.roll_back(request).await?)
        }
        AdminPath::Resolve => {
            let request = json_body(state, context).await?;
            ok(&state.resolve_claim(request).await?)
        }
        AdminPath::Secrets => {
            let request = json_body(state, context).await?;
            state.replace_secrets(request)?;
            ok(&"replaced")
        }
        _ => Err(AdminFault::NoPath),
    }
}

fn ok(body: &impl serde::Serialize) -> Reply {
    Ok(json_reply(StatusCode::OK, body))
}

async fn json_body<T: DeserializeOwned>(
    state: &AdminState,
    context: &mut Context<'_>,
) -> Result<T, AdminFault> {
    let mut parts = operator_body_stream(context.body_get_mut());
    let body = read_body(&mut parts, state.max_body)
        .await
        .map_err(AdminFault::Body)?;
    serde_json::from_slice(&body).map_err(|error| AdminFault::BadBody {
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

fn show_trace(state: &AdminState, request: &str) -> Reply {
    let not_found = || AdminFault::NotFound {
        what: format!("request {request}"),
        place: "on this host",
    };
    let id: RequestId = request.parse().map_err(|_| AdminFault::BadQuery {
        name: "request",
        expected: "a request id of 32 hexadecimal digits",
    })?;
    let document = state.front.traces.document(id).ok_or_else(not_found)?;
    ok(&document)
}

async fn drain(state: &AdminState) -> Reply {
    let core = state.core.status().await.ok_or(AdminFault::Unavailable)?;
    log_event(LogEvent::DrainOrdered, &EventContext::default(), "");
    state.stop.send_replace(true);
    ok(&DrainReply {
        host: state.host.clone(),
        in_flight: u32::try_from(core.requests).unwrap_or(u32::MAX),
    })
}
