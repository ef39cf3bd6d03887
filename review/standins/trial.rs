//! What every case needs: the record, a temporary folder, gateway processes, servers and clients.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Head};
use crate::store::Store;

/// The command of `deploy/system.toml`.
const PROGRAM: &str = "target/release/hollywheeld";
/// The port at which a gateway serves its metrics, on its own address.
const METRICS_PORT: u16 = 9464;
/// The case could not run.
const EXIT_FAILED: i32 = 2;
/// Time after which a case is given up.
const MAX_TIME: Duration = Duration::from_secs(110);

/// A little more than `contact-ms`, after which a machine that has started is in touch.
const CONTACT_TIME: Duration = Duration::from_millis(3500);
/// `heartbeat-ms`, the interval at which an engine writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Returns a number that differs between calls and, mostly, between processes.
pub fn unique_number() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let mixed = elapsed.as_nanos() as u64 ^ u64::from(process::id()) << 40;
    mixed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ NEXT_NUMBER.fetch_add(1, Ordering::SeqCst)
}

/// A running case.
pub struct Trial {
    started: Instant,
    record: Mutex<File>,
    folder: PathBuf,
    pub store: Arc<Store>,
    store_address: SocketAddr,
    /// Process ids of the gateways that were started.
    gateways: Mutex<Vec<(String, Child)>>,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// Addresses of one gateway.
#[derive(Clone, Debug)]
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

impl Trial {
    pub fn start(case_folder: &str) -> Arc<Self> {
        let record = File::create(Path::new(case_folder).join("record.txt"));
        let folder = std::env::temp_dir().join(format!("hollywheel-review-{:x}", unique_number()));
        let made = record.and_then(|record| fs::create_dir_all(&folder).map(|()| record));
        let record = made.unwrap_or_else(|error| {
            eprintln!("cannot write the record: {error}");
            process::exit(EXIT_FAILED)
        });
        let store = Arc::new(Store::default());
        let trial = Arc::new(Self {
            started: Instant::now(),
            record: Mutex::new(record),
            folder,
            store_address: store.serve(),
            store,
            gateways: Mutex::default(),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        });
        trial.note(&format!("trouble: {}", trial.trouble));
        let watched = Arc::clone(&trial);
        thread::spawn(move || {
            thread::sleep(MAX_TIME);
            watched.fail("the case took too long")
        });
        trial
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:9.3} s  {text}", self.now().as_secs_f64());
    }

    /// Ends the case: 1 if the rule was broken, 0 if it held.
    pub fn finish(&self, broken: Result<String, String>) -> ! {
        let code = match broken {
            Ok(text) => {
                self.note(&format!("held: {text}"));
                println!("held: {text}");
                0
            }
            Err(text) => {
                self.note(&format!("broken: {text}"));
                println!("broken: {text}");
                1
            }
        };
        self.clean();
        process::exit(code)
    }

    /// Ends a case that could not run.
    pub fn fail(&self, why: &str) -> ! {
        self.note(&format!("could not run: {why}"));
        eprintln!("could not run: {why}");
        self.clean();
        process::exit(EXIT_FAILED)
    }

    fn clean(&self) {
        for (_, child) in self.gateways.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }

    /// Starts a gateway with the command of the deploy file and waits until it is ready.
    pub fn start_gateway(&self, name: &str) -> Gateway {
        let (ip, ports) = self.free_ports();
        let address = |index: usize| SocketAddr::from((ip, ports[index]));
        let gateway = Gateway {
            name: name.to_owned(),
            callers: address(0),
            ready: address(1),
        };
        let settings = settings_text(name, &gateway, address(2), self.store_address);
        let path = self.folder.join(format!("{name}.toml"));
        let log = self.folder.join(format!("{name}.log"));
        let spawned = fs::write(&path, settings).and_then(|()| {
            let log = File::create(&log)?;
            Command::new(PROGRAM)
                .arg("gateway")
                .env_clear()
                .env("PATH", std::env::var_os("PATH").unwrap_or_default())
                .env("HOLLYWHEEL_NODE_FILE", &path)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()
        });
        match spawned {
            Ok(child) => {
                self.note(&format!("{name} started, callers at {}", gateway.callers));
                self.gateways.lock().unwrap().push((name.to_owned(), child));
            }
            Err(error) => self.fail(&format!("{PROGRAM}: {error}")),
        }
        for _ in 0..200 {
            if self.is_ready(&gateway) {
                self.note(&format!("{name} is ready"));
                // From then on the machine is in touch.
                thread::sleep(CONTACT_TIME);
                return gateway;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.fail(&format!("{name} is not ready"))
    }

    /// Asks a gateway whether it is ready, as the platform does.
    pub fn is_ready(&self, gateway: &Gateway) -> bool {
        let asked = Connection::open(gateway.ready).and_then(|mut connection| {
            connection.set_patience(Duration::from_secs(1));
            connection.writer.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            connection.read_head()
        });
        matches!(asked, Ok(Some(head)) if head.second_word() == "200")
    }

    /// Returns a loopback address of its own, so that the metrics port is free there, with ports.
    fn free_ports(&self) -> (Ipv4Addr, Vec<u16>) {
        loop {
            let [a, b, c, ..] = unique_number().to_be_bytes();
            let ip = Ipv4Addr::new(127, a.max(1), b, c.clamp(1, 254));
            let metrics = TcpListener::bind((ip, METRICS_PORT));
            let found: io::Result<Vec<TcpListener>> = (0..3).map(|_| TcpListener::bind((ip, 0))).collect();
            if let (Ok(_), Ok(listeners)) = (metrics, found) {
                let ports = listeners.iter().map(|listener| listener.local_addr().unwrap().port());
                return (ip, ports.collect());
            }
        }
    }

    /// Sends a signal to a gateway, by the name that `kill` uses.
    pub fn signal(&self, gateway: &Gateway, signal: &str) {
        let gateways = self.gateways.lock().unwrap();
        let Some((_, child)) = gateways.iter().find(|(name, _)| *name == gateway.name) else { return };
        let sent = Command::new("sh")
            .args(["-c", &format!("kill -{signal} {}", child.id())])
            .status();
        drop(gateways);
        self.note(&format!("SIG{signal} to {}: {}", gateway.name, sent.is_ok_and(|status| status.success())));
    }

    /// Returns the log lines of a gateway that contain a text.
    pub fn log_lines(&self, gateway: &str, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join(format!("{gateway}.log")));
        let lines = log.unwrap_or_default();
        lines.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// Serves connections with a function on a free port; returns the address.
    pub fn serve(self: &Arc<Self>, handle: impl Fn(&Trial, &mut Connection, Head, Vec<u8>) -> bool + Send + Sync + 'static) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (trial, handle) = (Arc::clone(self), Arc::new(handle));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (trial, handle) = (Arc::clone(&trial), Arc::clone(&handle));
                thread::spawn(move || {
                    let Ok(mut connection) = Connection::new(stream) else { return };
                    while let Ok(Some(head)) = connection.read_head() {
                        let Ok(body) = connection.read_body(&head) else { return };
                        if !handle(&trial, &mut connection, head, body) {
                            return;
                        }
                    }
                });
            }
        });
        address
    }

    /// Waits until an engine that registered at the start of the case has just sent a heartbeat.
    pub fn wait_after_heartbeat(&self) {
        let beat = HEARTBEAT.as_millis();
        let past = self.now().as_millis() % beat;
        let wait = (beat + 100 - past) % beat;
        thread::sleep(Duration::from_millis(u64::try_from(wait).unwrap_or(0)));
    }

    /// Writes the entry of an engine now and at each heartbeat, as the engine itself does.
    pub fn register(&self, server: &str, service: &str, address: SocketAddr, slots: u32) {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":1790000000000}}"
        );
        self.store.put("servers", server, &entry);
        self.note(&format!("store: servers/{server} = {entry}"));
        let (store, server) = (Arc::clone(&self.store), server.to_owned());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                store.put_changed("servers", &server, &entry);
            }
        });
    }
}

/// Returns the settings file of a gateway in a small deployment, as `DEPLOY.md` shows it.
fn settings_text(name: &str, gateway: &Gateway, control: SocketAddr, store: SocketAddr) -> String {
    let ip = gateway.callers.ip();
    let (front, ready) = (gateway.callers, gateway.ready);
    format!(
        r#"node = "{name}"
role = "gateway"
machine-class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "a"
region = "r"
internal-ports = [7740,7755]
seeds = ["{control}"]
bootstrap = true
count-toward-tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]
[zones]
a = "r"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
file-descriptors = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
downgrade-slack-ms = 250
outer-ms = 5000
revoke-everywhere = false
revoke-ms = 5000
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 58
recovery-s = 12
forward-pass-ms = 120
reuse-window-s = 10
[platform]
address = "{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
transaction-ms = 3.0
partition-writes-s = 300
row-bytes = 65536
across = true
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
"#
    )
}

/// A response as a client got it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// The status; empty without a response.
    pub status: String,
    pub body: Vec<u8>,
    /// Whether the response was complete.
    pub whole: bool,
    /// When the response or the connection ended.
    pub ended: Duration,
}

/// Sends a request on a connection and reads the response. Headers are given as whole lines.
pub fn send(trial: &Trial, connection: &mut Connection, line: &str, headers: &[String], body: &[u8], patience: Duration) -> Response {
    let mut text = format!("{line} HTTP/1.1\r\n");
    for header in headers {
        text.push_str(header);
        text.push_str("\r\n");
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    let mut response = Response::default();
    connection.set_patience(patience);
    let read = (|| {
        connection.writer.write_all(&bytes)?;
        let Some(head) = connection.read_head()? else { return Ok(()) };
        response.status = head.second_word().to_owned();
        if head.get("transfer-encoding").is_some() {
            loop {
                let chunk = connection.read_chunk()?;
                if chunk.is_empty() {
                    break;
                }
                response.body.extend(chunk);
            }
        } else {
            response.body = connection.read_body(&head)?;
        }
        response.whole = true;
        Ok::<(), io::Error>(())
    })();
    if read.is_err() {
        response.whole = false;
    }
    response.ended = trial.now();
    response
}
