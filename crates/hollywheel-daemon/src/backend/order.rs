//! Sending of model placement orders to model engines.

use hollywheel_orders::{OrderAction, OrderAnswer, OrderCall};
use hollywheel_types::{FencingNumber, ModelId};
use http::StatusCode;
use serde::{Deserialize, Serialize};

use super::answer::read_body;
use super::caller::{BackendCaller, json_request, was_never_sent};

/// JSON body of `POST /v1/orders`.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    order: String,
    fencing: FencingNumber,
    action: &'static str,
    model: &'a ModelId,
}

/// JSON body of the response to an order.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
enum OrderReply {
    Accepted,
    Stale { highest: FencingNumber },
}

impl BackendCaller {
    /// Sends an order, unless the time before which it must be sent has passed.
    pub async fn send_order(&self, call: &OrderCall) -> OrderAnswer {
        let (action, model) = match &call.action {
            OrderAction::LoadModel(model) => ("load-model", model),
            OrderAction::UnloadModel(model) => ("unload-model", model),
        };
        let body = OrderBody {
            order: call.order.to_string(),
            fencing: call.fencing,
            action,
            model,
        };
        let Some(request) = json_request(call.address, "/v1/orders", &body) else {
            return OrderAnswer::NotSent;
        };
        if self.clock().now() >= call.send_before {
            return OrderAnswer::NotSent;
        }
        let time_left = call.deadline.since(self.clock().now());
        let sending = async {
            match self.request_before(request, call.send_before).await {
                Some(Ok(response)) => {
                    let status = response.status();
                    let body = read_body(response).await.unwrap_or_default();
                    read_answer(status, &body)
                }
                Some(Err(error)) if was_never_sent(&error) => OrderAnswer::NotSent,
                Some(Err(_)) | None => OrderAnswer::Unknown,
            }
        };
        tokio::time::timeout(time_left, sending)
            .await
            .unwrap_or(OrderAnswer::Unknown)
    }
}

fn read_answer(status: StatusCode, body: &[u8]) -> OrderAnswer {
    let reply = serde_json::from_slice(body);
    match (status, reply) {
        (StatusCode::OK, Ok(OrderReply::Accepted)) => OrderAnswer::Accepted,
        (StatusCode::CONFLICT, Ok(OrderReply::Stale { highest })) => OrderAnswer::Stale { highest },
        // An engine returns any other client error before it processes the order.
        (status, _) if status.is_client_error() => OrderAnswer::NotSent,
        _ => OrderAnswer::Unknown,
    }
}
