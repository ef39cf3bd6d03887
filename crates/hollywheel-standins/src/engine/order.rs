//! Orders to a model engine, and loading of models.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

/// Maximum number of reads of the weight store for one order.
const LOAD_ATTEMPTS: u32 = 100;

const LOAD_RETRY: Duration = Duration::from_millis(100);

/// Maximum number of models and adapters that an engine holds.
const MAX_MODELS: usize = 64;

/// Action that an order requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum OrderAction {
    LoadModel,
    UnloadModel,
    LoadAdapter,
    UnloadAdapter,
    SetRole,
}

impl OrderAction {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::LoadModel => "load-model",
            Self::UnloadModel => "unload-model",
            Self::LoadAdapter => "load-adapter",
            Self::UnloadAdapter => "unload-adapter",
            Self::SetRole => "set-role",
        }
    }
}

/// An order to a model engine.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct EngineOrder {
    pub(crate) order: String,
    pub(crate) fencing: u64,
    pub(crate) action: OrderAction,
    #[serde(default)]
    pub(crate) model: String,
}

/// Tracks the loaded models and the highest fencing number.
#[derive(Debug, Default)]
pub(crate) struct ModelRegistry {
    state: Mutex<RegistryState>,
}

#[derive(Debug, Default)]
struct RegistryState {
    highest: u64,
    models: Vec<String>,
}

impl ModelRegistry {
    pub(crate) fn new(models: Vec<String>) -> Self {
        let mut models = models;
        models.sort();
        models.dedup();
        Self {
            state: Mutex::new(RegistryState { highest: 0, models }),
        }
    }

    /// Checks a fencing number.
    ///
    /// # Errors
    ///
    /// Returns the highest number seen if the given one is lower and fencing numbers are checked.
    pub(crate) fn fence(&self, fencing: u64, checks: bool) -> Result<(), u64> {
        let mut state = self.state.lock().expect("no holder panics");
        if checks && fencing < state.highest {
            return Err(state.highest);
        }
        state.highest = state.highest.max(fencing);
        Ok(())
    }

    pub(crate) fn models(&self) -> Vec<String> {
        let state = self.state.lock().expect("no holder panics");
        state.models.clone()
    }

    pub(crate) fn contains(&self, model: &str) -> bool {
        let state = self.state.lock().expect("no holder panics");
        let found = state
            .models
            .binary_search_by(|held| held.as_str().cmp(model));
        found.is_ok()
    }

    pub(crate) fn add(&self, model: &str) {
        let mut state = self.state.lock().expect("no holder panics");
        if state.models.len() >= MAX_MODELS {
            tracing::warn!(
                model,
                "model not loaded: the engine holds its maximum number of models"
            );
            return;
        }
        let found = state
            .models
            .binary_search_by(|held| held.as_str().cmp(model));
        if let Err(at) = found {
            state.models.insert(at, model.to_owned());
        }
    }

    pub(crate) fn remove(&self, model: &str) {
        let mut state = self.state.lock().expect("no holder panics");
        state.models.retain(|held| held != model);
    }
}

/// Reads a model from the weight store, with retries while the store refuses reads above its rate.
/// Returns whether the model was read.
pub(crate) async fn fetch_weights(store: SocketAddr, token: Option<&str>, model: &str) -> bool {
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    for _ in 0..LOAD_ATTEMPTS {
        let mut request = Request::get(format!("http://{store}/v1/weights/{model}"));
        if let Some(token) = token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let Ok(request) = request.body(Empty::new()) else {
            return false;
        };
        if let Ok(reply) = client.request(request).await {
            let status = reply.status();
            let whole = reply.into_body().collect().await;
            if status == StatusCode::OK && whole.is_ok() {
                return true;
            }
        }
        tokio::time::sleep(LOAD_RETRY).await;
    }
    false
}
