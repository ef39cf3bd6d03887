//! Support for tests: a host in the test process, with stand-ins.
#![allow(dead_code)]

pub mod keys;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hollywheel_admin::{OperatorRole, ProblemDetails, PublishRequest};
use hollywheel_config::{hash_key, read_toml};
use hollywheel_daemon::RunningHost;
use hollywheel_daemon::settings::{DaemonSettings, OperatorEntry, SecretSettings};
use hollywheel_standins::{
    EngineSettings, PlatformSettings, PoolSettings, ServiceSettings, StandinHandle, start_engine,
    start_platform, start_pool, start_service,
};
use hollywheel_types::{ConfigVersion, PublishId};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub const CALLER_KEY: &str = "clerk-key";
pub const OTHER_KEY: &str = "other-key";
pub const VIEWER: &str = "viewer-token";
pub const PUBLISHER: &str = "publisher-token";
const BOUND: Duration = Duration::from_secs(10);

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("JSON")
    }

    pub fn problem(&self) -> ProblemDetails {
        serde_json::from_slice(&self.body).expect("a problem")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

pub fn http_client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

pub async fn send(client: &HttpClient, request: Request<Full<Bytes>>) -> Answer {
    let call = async {
        let response = client.request(request).await.expect("an answer");
        let (head, body) = response.into_parts();
        let body = body.collect().await.expect("a whole body").to_bytes();
        Answer {
            status: head.status,
            headers: head.headers,
            body,
        }
    };
    tokio::time::timeout(BOUND, call).await.expect("in time")
}

/// Waits until a condition holds.
pub async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(BOUND, waiting)
        .await
        .unwrap_or_else(|_| panic!("{what} did not come true"));
}

/// A running host.
pub struct Started {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: Option<SocketAddr>,
    pub core: hollywheel_daemon::core::CoreHandle,
    pub stop: watch::Sender<bool>,
    pub run: JoinHandle<bool>,
    pub client: HttpClient,
}

/// A host and its stand-ins.
pub struct TestHost {
    pub host: Started,
    pub engine: StandinHandle,
    pub encoder: StandinHandle,
    pub service: StandinHandle,
    pub platform: StandinHandle,
}

impl std::ops::Deref for TestHost {
    type Target = Started;

    fn deref(&self) -> &Started {
        &self.host
    }
}

/// Starts a host without a configuration of its own.
pub fn start_host(settings: DaemonSettings) -> Started {
    let host = RunningHost::start(settings).unwrap();
    Started {
        callers: host.caller_address().unwrap(),
        operators: host.operator_address().unwrap(),
        peers: host.peer_address(),
        core: host.core(),
        stop: host.shutdown_sender(),
        run: tokio::spawn(host.run()),
        client: http_client(),
    }
}

/// Returns the objects of the tests.
pub fn objects(engine: SocketAddr, encoder: SocketAddr, service: SocketAddr) -> String {
    let hash = hash_key(CALLER_KEY);
    let other = hash_key(OTHER_KEY);
    format!(
        r#"format = 1
[[workspace]]
name = "clerk-desk"
key_hashes = ["{hash}"]
[[workspace]]
name = "other"
key_hashes = ["{other}"]
[[target]]
name = "quick"
class = "interactive"
deadline_ms = 5000
[[target]]
name = "money"
class = "transaction"
deadline_ms = 5000
[[pool]]
name = "engines"
kind = "engine"
slots = 8
models = [{{ model = "rates-7b", replicas = 1 }}]
servers = [{{ name = "engine-1", address = "{engine}", domain = "medeu" }}]
[[pool]]
name = "encoders"
kind = "encoder"
slots = 4
servers = [{{ name = "pool-1", address = "{encoder}", domain = "medeu" }}]
[[pool]]
name = "payments"
kind = "service"
slots = 16
servers = [{{ name = "service-1", address = "{service}", domain = "medeu" }}]
[[stage]]
name = "encode"
kind = "encode"
pool = "encoders"
[[stage]]
name = "draft"
kind = "generate"
pool = "engines"
model = "rates-7b"
max_tokens = 8
[[stage]]
name = "pay"
kind = "call"
pool = "payments"
idempotent = false
[[stage]]
name = "look-up"
kind = "call"
pool = "payments"
[[pipeline]]
name = "summary"
stages = ["encode", "draft"]
target = "quick"
[[pipeline]]
name = "payment"
stages = ["pay"]
target = "money"
[[pipeline]]
name = "look-up"
stages = ["look-up"]
target = "quick"
[[pipeline]]
name = "private"
stages = ["look-up"]
target = "quick"
workspaces = ["other"]
"#
    )
}

fn operator(role: OperatorRole, token: &str) -> OperatorEntry {
    OperatorEntry {
        role,
        hash: hash_key(token),
    }
}

pub fn host_settings(platform: SocketAddr) -> DaemonSettings {
    DaemonSettings {
        host: "entry-1".parse().unwrap(),
        domain: "medeu".parse().unwrap(),
        region: "almaty".parse().unwrap(),
        platform,
        drain: Duration::from_secs(8),
        load_poll: Duration::from_millis(200),
        secrets: SecretSettings {
            operators: vec![
                operator(OperatorRole::Viewer, VIEWER),
                operator(OperatorRole::Publisher, PUBLISHER),
            ],
            ..SecretSettings::default()
        },
        ..DaemonSettings::default()
    }
}

impl TestHost {
    pub async fn start() -> Self {
        Self::start_with(|settings| settings).await
    }

    pub async fn start_with(change: impl FnOnce(DaemonSettings) -> DaemonSettings) -> Self {
        let engine = start_engine(EngineSettings {
            name: "engine-1".to_owned(),
            models: vec!["rates-7b".to_owned()],
            ..EngineSettings::default()
        });
        let engine = engine.await.unwrap();
        let encoder = start_pool(PoolSettings::default()).await.unwrap();
        let service = start_service(ServiceSettings::default()).await.unwrap();
        let platform = start_platform(PlatformSettings::default()).await.unwrap();
        let text = objects(engine.address(), encoder.address(), service.address());
        let settings = change(host_settings(platform.address()));
        let started = Self {
            host: start_host(settings),
            engine,
            encoder,
            service,
            platform,
        };
        let published = started.publish(0, &text).await;
        assert_eq!(published.status, StatusCode::OK, "{}", published.text());
        wait_for("the configuration in force", async || {
            started.get("/readyz").await.status == StatusCode::OK
        })
        .await;
        started
    }

    pub async fn stop(self) -> bool {
        self.host.stop().await
    }
}

impl Started {
    /// Publishes objects based on a version.
    pub async fn publish(&self, base: u64, text: &str) -> Answer {
        let request = PublishRequest {
            base: ConfigVersion(base),
            publish_id: PublishId(u128::from(base) + 1),
            operator: "aigul".to_owned(),
            set: read_toml("objects", text).unwrap(),
        };
        let body = serde_json::to_string(&request).unwrap();
        let path = "/admin/config/publish";
        self.admin("POST", path, Some(PUBLISHER), &body).await
    }

    pub fn call(&self, pipeline: &str) -> http::request::Builder {
        Request::post(format!("http://{}/v1/pipelines/{pipeline}", self.callers))
            .header("authorization", format!("Bearer {CALLER_KEY}"))
    }

    pub async fn post(&self, pipeline: &str, body: &str) -> Answer {
        let request = self.call(pipeline);
        let request = request.body(Full::from(body.to_owned())).unwrap();
        send(&self.client, request).await
    }

    pub async fn post_key(&self, pipeline: &str, key: &str, body: &str) -> Answer {
        let request = self.call(pipeline).header("idempotency-key", key);
        let request = request.body(Full::from(body.to_owned())).unwrap();
        send(&self.client, request).await
    }

    /// Requests a key.
    pub async fn issue(&self, token: &str) -> Answer {
        let request = Request::post(format!("http://{}/v1/keys", self.callers))
            .header("authorization", format!("Bearer {token}"));
        send(&self.client, request.body(Full::default()).unwrap()).await
    }

    pub async fn get(&self, path: &str) -> Answer {
        let request = Request::get(format!("http://{}{path}", self.callers));
        let request = request.body(Full::default()).unwrap();
        send(&self.client, request).await
    }

    pub async fn admin(&self, method: &str, path: &str, token: Option<&str>, body: &str) -> Answer {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.operators));
        if let Some(token) = token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let request = request.body(Full::from(body.to_owned())).unwrap();
        send(&self.client, request).await
    }

    pub async fn stop(self) -> bool {
        // Idle connections are closed, because the host would wait for their time-out.
        drop(self.client);
        self.stop.send_replace(true);
        tokio::time::timeout(Duration::from_secs(20), self.run)
            .await
            .expect("in time")
            .expect("no panic")
    }
}

/// Returns the peer settings of a single host.
pub fn lone_peers() -> hollywheel_daemon::peers::PeerCaller {
    let (member, _) = hollywheel_daemon::peers::member_channel();
    hollywheel_daemon::peers::PeerCaller::new(member, Arc::default(), None)
}
