//! Test fixture on loopback: a gateway with stand-ins for the platform's store and for backend
//! servers, which can be made to fail.

pub mod raw;
pub mod servers;
pub mod store;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

pub use raw::{RawLog, RawRequest, RawStep, serve_raw};
pub use servers::ServerLog;

/// A gateway that runs on a thread of the test process, and the stand-ins that it uses.
pub struct Fixture {
    /// The address on which the gateway accepts callers.
    pub caller_address: SocketAddr,
    /// The address of the gateway's readiness check.
    pub readiness_address: SocketAddr,
    /// The address on which the gateway accepts other hosts.
    pub peer_address: SocketAddr,
    /// The address of the gateway's metrics.
    pub metrics_address: SocketAddr,
    /// The stand-in for the platform's store.
    pub store: Arc<store::StoreStandin>,
    /// The events that the backend servers recorded.
    pub log: Arc<ServerLog>,
}

/// A response as a caller received it.
#[derive(Debug)]
pub struct CallerResponse {
    /// The HTTP status; 0 if the connection was not accepted.
    pub status: u16,
    /// The `response-seal` header.
    pub seal: Option<String>,
    /// The `retry-after` header, in seconds.
    pub retry_after: Option<f64>,
    /// The complete body, or the error that cut it off.
    pub body: Result<String, String>,
}

/// Body of a caller's request.
pub type CallerBody = Full<Bytes>;

/// The port after the last one that [`free_address`] examined in this process.
static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);

/// Returns an address that nothing listens on, a different one on each call.
///
/// Each process uses its own loopback IP address. Otherwise another process or an outgoing
/// connection could take the port before the caller listens on it. Each port is examined by one
/// call only: to examine a port that an earlier call returned would occupy it for a moment, and its
/// listener could not be opened.
///
/// # Panics
///
/// Panics if the process has used all ports.
pub fn free_address() -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 1 + high % 250, low, 1);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        assert!(port >= 10_000, "no port is left");
        if let Ok(listener) = TcpListener::bind((ip, port)) {
            return listener.local_addr().unwrap();
        }
    }
}

/// Serving configuration with placeholders for its version and for the only access key.
const CONFIG: &str = r#"{"version":VERSION,"routes":[
{"name":"pay","host":"h","path-prefix":"/pay/","kind":"non_idempotent","timeout-ms":1500,"latency-target-ms":300,"service":"plain","max-attempts":1},
{"name":"look","host":"h","path-prefix":"/look/","kind":"idempotent","timeout-ms":1500,"latency-target-ms":300,"service":"plain","max-attempts":2},
{"name":"draft","host":"h","path-prefix":"/draft/","kind":"streaming","timeout-ms":4000,"latency-target-ms":800,"gap-target-ms":250,"service":"model","max-attempts":1,"stages":[{"service":"stage","after":[],"bytes":1000},{"service":"stage","after":[0],"bytes":10}],"session-affinity":true},
{"name":"brief","host":"h","path-prefix":"/brief/","kind":"streaming","timeout-ms":4000,"latency-target-ms":800,"gap-target-ms":250,"service":"model","max-attempts":2,"stages":[{"service":"stage","after":[],"bytes":1000}],"session-affinity":true,"resume-streams":true}],
"services":[{"name":"plain","max-connections":100},
{"name":"model","max-connections":100,"engine":{"slots":8,"kv-cache-tokens":100000}},
{"name":"stage","max-connections":100,"pieces":{"slots":1,"queue":2,"batch":8,"call-ms":20,"item-ms":1,"headroom-mb":1,"handle-s":4}}],
"tenants":[{"name":"office","api-keys":["KEY"]}]}"#;

/// Returns the serving configuration with the given version and access key.
pub fn config(version: u64, key: &str) -> String {
    CONFIG
        .replace("VERSION", &version.to_string())
        .replace("KEY", key)
}

/// Settings file of a host with example addresses.
const SETTINGS: &str = include_str!("../../../../platform/tests/fixtures/settings.toml");

/// Addresses in the settings file of a host.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    /// The address on which the host accepts callers.
    pub caller_address: SocketAddr,
    /// The address of the host's readiness check.
    pub readiness_address: SocketAddr,
    /// The address on which the host accepts other hosts.
    pub peer_address: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
}

/// Returns the text of the settings file of a host.
pub fn settings(name: &str, addresses: &HostAddresses) -> String {
    let replacements = [
        ("front-a-1", name.to_owned()),
        ("10.1.0.1:80", addresses.caller_address.to_string()),
        ("10.1.0.1:81", addresses.readiness_address.to_string()),
        ("10.1.0.1:70", addresses.peer_address.to_string()),
        ("10.200.1.7:90", addresses.store.to_string()),
    ];
    let quoted = |text: &str| format!("\"{text}\"");
    replacements
        .iter()
        .fold(SETTINGS.to_owned(), |text, (example, value)| {
            text.replace(&quoted(example), &quoted(value))
        })
}

/// Starts a gateway with the default host name on a thread of this process; returns the port of its
/// metrics.
pub fn start_gateway(name: &str, addresses: &HostAddresses) -> u16 {
    start_named_gateway(name, "front-a-1", addresses)
}

/// Starts a gateway with the given host name on a thread of this process; returns the port of its
/// metrics.
pub fn start_named_gateway(name: &str, host: &str, addresses: &HostAddresses) -> u16 {
    start_gateway_with(name, host, &settings(host, addresses))
}

/// Starts a gateway with the given settings file on a thread of this process; returns the port of
/// its metrics.
pub fn start_gateway_with(name: &str, host: &str, text: &str) -> u16 {
    let path =
        std::env::temp_dir().join(format!("hollywheel-{name}-{host}-{}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let settings = path.to_str().unwrap().to_owned();
    // Port 0 could resolve to a port that `free_address` returned and nothing listens on yet.
    let port = free_address().port();
    std::thread::spawn(move || {
        let metrics_port = port.to_string();
        let arguments = [
            "gateway",
            "--settings",
            &settings,
            "--metrics-port",
            &metrics_port,
        ];
        let arguments = arguments.into_iter().chain(["--log-level", "error"]);
        hollywheel_gateway::run_gateway(arguments.map(Into::into))
    });
    port
}

impl Fixture {
    /// Starts the stand-ins and a gateway and waits until the gateway is ready.
    pub async fn start(name: &str) -> Self {
        Self::start_changed(name, |text| text).await
    }

    /// Starts the stand-ins and a gateway with further lines at the start of its settings, and waits
    /// until the gateway is ready.
    pub async fn start_with(name: &str, settings_head: &str) -> Self {
        Self::start_changed(name, |text| format!("{settings_head}{text}")).await
    }

    /// Starts the stand-ins and a gateway on a deployment whose servers share machines.
    pub async fn start_under_pressure(name: &str) -> Self {
        let contract = "contracts = [\"pressure\"]\nnode = ";
        Self::start_changed(name, |text| text.replacen("node = ", contract, 1)).await
    }

    /// Starts the stand-ins and a gateway with a changed settings file.
    async fn start_changed(name: &str, change: impl FnOnce(String) -> String) -> Self {
        let store = Arc::new(store::StoreStandin::default());
        let log = Arc::new(ServerLog::default());
        let mut fixture = Self {
            caller_address: free_address(),
            readiness_address: free_address(),
            peer_address: free_address(),
            metrics_address: free_address(),
            store: Arc::clone(&store),
            log: Arc::clone(&log),
        };
        let store_address = store::serve(Arc::clone(&store)).await;
        for (server, pool) in [
            ("p1", "plain"),
            ("p2", "plain"),
            ("m1", "model"),
            ("m2", "model"),
            ("s1", "stage"),
        ] {
            let address = servers::serve(server, Arc::clone(&log)).await;
            store.set_server(server, pool, address, "ready", 1);
        }
        store.set_config(&config(1, "k1"));
        let addresses = HostAddresses {
            caller_address: fixture.caller_address,
            readiness_address: fixture.readiness_address,
            peer_address: fixture.peer_address,
            store: store_address,
        };
        let host = "front-a-1";
        let text = change(settings(host, &addresses));
        let metrics_port = start_gateway_with(name, host, &text);
        fixture.metrics_address.set_port(metrics_port);
        fixture.wait_until_ready().await;
        fixture
    }

    /// Returns the value of a metric: the sum of its series.
    pub async fn metric(&self, name: &str) -> f64 {
        let request = request("GET", "/metrics", "x", "");
        let response = send(self.metrics_address, request).await.unwrap();
        let text = response.body.unwrap();
        let series = text.lines().filter(|line| {
            let rest = line.strip_prefix(name);
            rest.is_some_and(|rest| rest.starts_with(['{', ' ']))
        });
        series
            .map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap())
            .sum()
    }

    /// Checks that what requests held is given back within a second: counts of requests, connections
    /// and memory are zero.
    pub async fn check_counts(&self, case: &str) {
        for name in [
            "hollywheel_open_requests",
            "hollywheel_caller_connections",
            "hollywheel_body_bytes",
        ] {
            let mut value = f64::NAN;
            for _ in 0..40 {
                value = self.metric(name).await;
                if value == 0.0 {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(25)).await;
            }
            assert_eq!(value, 0.0, "after {case}: {name}");
        }
    }

    /// Waits until the gateway's readiness check succeeds.
    async fn wait_until_ready(&self) {
        for _ in 0..200 {
            if let Ok(response) =
                send(self.readiness_address, request("GET", "/ready", "x", "")).await
                && response.status == 200
            {
                // Readiness does not wait for the entries of the backend servers, which are read on
                // another connection.
                tokio::time::sleep(Duration::from_millis(200)).await;
                return;
            }
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        panic!("the gateway is not ready after 5 s");
    }

    /// Replaces all servers of a pool by one server that follows a script.
    pub async fn replace_pool(
        &self,
        pool: &str,
        script: impl Fn(&RawRequest) -> Vec<RawStep> + Send + Sync + 'static,
    ) -> Arc<RawLog> {
        let (address, log) = serve_raw(script).await;
        for server in ["p1", "p2", "m1", "m2", "s1"] {
            if server.starts_with(&pool[..1]) {
                self.store.remove_server(server);
            }
        }
        let name = format!("raw-{pool}");
        self.store.set_server(&name, pool, address, "ready", 1);
        // The gateway collects changes of the servers' table for 0.3 s before it applies them.
        tokio::time::sleep(Duration::from_millis(700)).await;
        log
    }

    /// Sends a caller's request and reads the complete response.
    pub async fn call(&self, method: &str, path: &str, attempt: &str) -> CallerResponse {
        send(self.caller_address, request(method, path, attempt, "k1"))
            .await
            .unwrap()
    }
}

/// Builds a caller's request.
pub fn request(method: &str, path: &str, attempt: &str, key: &str) -> Request<CallerBody> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "h")
        .header("attempt-id", attempt)
        .header("deadline-ms", "3000")
        .header("authorization", format!("Bearer {key}"))
        .header("model", "m")
        .header("token-counts", "100,10")
        .header("prompt-prefix", "a:50,b:50")
        .header("pieces", "2,1")
        .header("piece-key", "7c1e")
        .body(Full::new(Bytes::from_static(b"body")))
        .unwrap()
}

/// Sends a request on a new connection and reads the complete response.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<CallerResponse, hyper::Error> {
    let Ok(stream) = TcpStream::connect(address).await else {
        return Ok(CallerResponse {
            status: 0,
            seal: None,
            retry_after: None,
            body: Err("no connection".into()),
        });
    };
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake?;
    tokio::spawn(connection);
    let response: Response<Incoming> = sender.send_request(request).await?;
    let header_text = |name: &str| {
        let value = response.headers().get(name);
        value.map(|value| value.to_str().unwrap().to_owned())
    };
    Ok(CallerResponse {
        status: response.status().as_u16(),
        seal: header_text("response-seal"),
        retry_after: header_text("retry-after").map(|seconds| seconds.parse().unwrap()),
        body: match response.into_body().collect().await {
            Ok(body) => Ok(String::from_utf8(body.to_bytes().to_vec()).unwrap()),
            Err(error) => Err(error.to_string()),
        },
    })
}
