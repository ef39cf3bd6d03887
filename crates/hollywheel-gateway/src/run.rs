//! The life of the process: its parts, its signals and its end.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

use hollywheel_adapter::{HostSettings, StoreTable};
use hollywheel_clock::HostClock;

use crate::batch_duty::tick_batches;
use crate::caller_server::serve_callers;
use crate::connect::listen;
use crate::follow::follow_hosts;
use crate::host::{Host, HostState, StopPhase};
use crate::host_rows::keep_row;
use crate::log::{log_line, millis};
use crate::peer_server::serve_peers;
use crate::results::flush_results;
use crate::side_server::{SideAnswer, serve_side};
use crate::store_feed::follow_table;
use crate::supervisor::{PartEntry, part, supervise};

/// The settings file is compared with what is in force this often, since it may change without
/// a signal.
const SETTINGS_TIME: Duration = Duration::from_secs(5);
/// Idle connections to servers are looked through this often.
const SWEEP_TIME: Duration = Duration::from_secs(1);
/// The process keeps accepting callers for this time after the stop has begun: the platform
/// asks once a second whether the host is ready, and needs two answers.
const ACCEPT_TIME: Duration = Duration::from_millis(2600);
/// The process ends this long before it would be killed.
const END_MARGIN: Duration = Duration::from_millis(400);
/// The end of the last request is looked for this often.
const END_TICK: Duration = Duration::from_millis(50);

/// Holds where a process reads its settings and serves its metrics.
#[derive(Clone, Debug)]
pub(crate) struct RunOptions {
    /// The settings file.
    pub(crate) settings_path: PathBuf,
    /// The port of the metrics, on the host's own address.
    pub(crate) metrics_port: u16,
}

/// Runs the process until it is stopped.
///
/// # Errors
///
/// Returns the error of an address that can't be listened on.
pub(crate) async fn run_host(settings: HostSettings, options: RunOptions) -> io::Result<()> {
    let clock = HostClock::start();
    // Before the addresses are bound, so that no signal ends a host that takes callers.
    let mut terminate = signal(SignalKind::terminate())?;
    let _hangup = signal(SignalKind::hangup())?;
    let callers = Rc::new(listen(settings.caller_address)?);
    let ready = Rc::new(listen(settings.readiness_address)?);
    let peers = Rc::new(listen(settings.peer_address)?);
    let metrics = SocketAddr::new(settings.caller_address.ip(), options.metrics_port);
    let metrics = Rc::new(listen(metrics)?);
    let host = HostState::new(settings, clock);
    log_start(&host);
    let mut parts = list_parts(&host, &options);
    parts.push(with_listener(&host, "callers", &callers, serve_callers));
    parts.push(with_listener(&host, "peers", &peers, serve_peers));
    parts.push(with_listener(&host, "ready", &ready, |host, listener| {
        serve_side(host, listener, SideAnswer::Ready)
    }));
    parts.push(with_listener(
        &host,
        "metrics",
        &metrics,
        |host, listener| serve_side(host, listener, SideAnswer::Metrics),
    ));
    supervise(&host, parts);
    terminate.recv().await;
    stop(&host).await;
    Ok(())
}

fn with_listener<F>(
    host: &Host,
    name: &'static str,
    listener: &Rc<tokio::net::TcpListener>,
    start: impl Fn(Host, Rc<tokio::net::TcpListener>) -> F + 'static,
) -> PartEntry
where
    F: Future<Output = ()> + 'static,
{
    let host = host.clone();
    let listener = Rc::clone(listener);
    part(name, move || start(host.clone(), Rc::clone(&listener)))
}

/// Lists the parts of the process that have no address of their own.
fn list_parts(host: &Host, options: &RunOptions) -> Vec<PartEntry> {
    let with_host = |name, start: fn(Host) -> crate::supervisor::PartFuture| {
        let host = host.clone();
        part(name, move || start(host.clone()))
    };
    let reload = {
        let host = host.clone();
        let options = options.clone();
        part("settings", move || {
            follow_settings(host.clone(), options.clone())
        })
    };
    vec![
        with_host("store-config", |host| {
            Box::pin(follow_table(host, StoreTable::Operator))
        }),
        with_host("store-servers", |host| {
            Box::pin(follow_table(host, StoreTable::Servers))
        }),
        with_host("store-hosts", |host| {
            Box::pin(follow_table(host, StoreTable::Hosts))
        }),
        with_host("own-row", |host| Box::pin(keep_row(host))),
        with_host("follow", |host| Box::pin(follow_hosts(host))),
        with_host("batches", |host| Box::pin(tick_batches(host))),
        with_host("results", |host| Box::pin(flush_results(host))),
        with_host("sweep", |host| Box::pin(sweep(host))),
        reload,
    ]
}

fn log_start(host: &Host) {
    let settings = host.settings();
    log_line!(
        host,
        info,
        HostStarted,
        host = %settings.host,
        domain = %settings.domain,
        incarnation = host.incarnation,
        callers = %settings.caller_address,
        peers = %settings.peer_address
    );
}

/// Closes idle connections, forgets servers that have left and uses those that came back.
async fn sweep(host: Host) {
    loop {
        tokio::time::sleep(SWEEP_TIME).await;
        host.settle_servers();
        let now = host.now();
        let registry = host.registry.borrow();
        host.connections
            .sweep(|server| registry.usable(now, server).is_some());
        let mut loads = host.loads.borrow_mut();
        loads.retain(now, |server| registry.usable(now, server).is_some());
    }
}

/// Reads the settings file again after a signal, and now and then.
async fn follow_settings(host: Host, options: RunOptions) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return std::future::pending().await;
    };
    let mut known = read_text(&options).unwrap_or_default();
    loop {
        let told = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_TIME) => false,
        };
        let text = match read_text(&options) {
            Ok(text) => text,
            Err(error) => {
                let detail = error.to_string();
                log_line!(host, error, SettingsReloaded, outcome = "kept", detail);
                continue;
            }
        };
        if text == known && !told {
            continue;
        }
        match hollywheel_adapter::parse_host_settings(&text) {
            Ok(settings) => {
                host.replace_settings(settings);
                log_line!(
                    host,
                    info,
                    SettingsReloaded,
                    outcome = "in force",
                    detail = ""
                );
            }
            Err(error) => {
                log_line!(host, error, SettingsReloaded, outcome = "kept", detail = %error);
            }
        }
        known = text;
    }
}

fn read_text(options: &RunOptions) -> io::Result<String> {
    std::fs::read_to_string(&options.settings_path)
}

/// Stops gracefully: no new duty, no new callers after a while, every request to its end, all
/// within the time that the platform gives.
async fn stop(host: &Host) {
    let started = Instant::now();
    let grace = host.settings().bounds.grace;
    host.stopping.send_replace(StopPhase::Leaving);
    let own = host.hosts.borrow().own().clone();
    host.hosts.borrow_mut().note_leaving(&own);
    log_line!(
        host,
        info,
        StopBegan,
        grace_ms = millis(grace),
        requests = host.requests.get()
    );
    tokio::time::sleep(ACCEPT_TIME.min(grace)).await;
    host.stopping.send_replace(StopPhase::Closing);
    // A request that was read just before has begun by now.
    tokio::time::sleep(END_TICK).await;
    // Answers that are still written keep their connections open.
    while host.callers.get() > 0 && started.elapsed() + END_MARGIN < grace {
        tokio::time::sleep(END_TICK).await;
    }
    log_line!(
        host,
        info,
        StopEnded,
        requests = host.requests.get(),
        callers = host.callers.get(),
        took_ms = millis(started.elapsed())
    );
}
