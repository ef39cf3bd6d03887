//! Life cycle of the process: start, supervised tasks, signals and graceful stop.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use fail::fail_point;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

use hollywheel_adapter::{HostSettings, StoreTable};
use hollywheel_build::source_commit;
use hollywheel_clock::HostClock;

use crate::batch_coordinator::run_dispatch_timer;
use crate::caller_server::serve_callers;
use crate::config_fetch::fetch_configs;
use crate::connect::listen;
use crate::follow::follow_hosts;
use crate::host::{Host, HostState, StopPhase};
use crate::host_rows::maintain_row;
use crate::log::{log_line, millis};
use crate::peer_server::serve_peers;
use crate::results::flush_release_queue;
use crate::server_limits::exchange_limits;
use crate::status_server::{StatusEndpoint, serve_status};
use crate::store_feed::follow_table;
use crate::supervisor::{TaskEntry, TaskNeed, supervise, task_entry};

/// Interval at which the settings file is checked for changes, since it may change without a
/// signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which idle connections are evicted and servers that have left are forgotten.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which callers are still accepted after the graceful stop has begun. The platform checks
/// readiness once a second and stops sending callers after two negative answers.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2600);
/// Margin by which the process ends before the platform would kill it.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Time before the end of the process at which requests without an answer get their final one, so
/// that it reaches their callers also if a packet is lost and sent again.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which the graceful stop checks whether all caller connections have closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Command-line options of the process.
#[derive(Clone, Debug)]
pub(crate) struct RunOptions {
    pub(crate) settings_path: PathBuf,
    /// Port of the metrics endpoint, on the IP address for callers.
    pub(crate) metrics_port: u16,
}

/// Runs the process until it gets a termination signal, then stops it gracefully.
///
/// # Errors
///
/// Returns an error if a signal handler cannot be installed or an address cannot be bound.
pub(crate) async fn run_host(settings: HostSettings, options: RunOptions) -> io::Result<()> {
    let clock = HostClock::start();
    // Installed before the addresses are bound: otherwise a signal could kill a host that already
    // accepts callers.
    let mut terminate = signal(SignalKind::terminate())?;
    let _hangup = signal(SignalKind::hangup())?;
    let callers = Rc::new(listen(settings.caller_address)?);
    let ready = Rc::new(listen(settings.readiness_address)?);
    let peers = Rc::new(listen(settings.peer_address)?);
    let metrics = SocketAddr::new(settings.caller_address.ip(), options.metrics_port);
    let metrics = Rc::new(listen(metrics)?);
    let host = HostState::new(settings, clock);
    log_start(&host);
    let mut tasks = list_tasks(&host, &options);
    tasks.push(with_listener(
        &host,
        "callers",
        TaskNeed::Serving,
        &callers,
        serve_callers,
    ));
    tasks.push(with_listener(
        &host,
        "peers",
        TaskNeed::Upkeep,
        &peers,
        serve_peers,
    ));
    tasks.push(with_listener(
        &host,
        "ready",
        TaskNeed::Upkeep,
        &ready,
        |host, listener| serve_status(host, listener, StatusEndpoint::Ready),
    ));
    tasks.push(with_listener(
        &host,
        "metrics",
        TaskNeed::Upkeep,
        &metrics,
        |host, listener| serve_status(host, listener, StatusEndpoint::Metrics),
    ));
    supervise(&host, tasks);
    terminate.recv().await;
    stop_gracefully(&host).await;
    Ok(())
}

fn with_listener<F>(
    host: &Host,
    name: &'static str,
    need: TaskNeed,
    listener: &Rc<tokio::net::TcpListener>,
    start: impl Fn(Host, Rc<tokio::net::TcpListener>) -> F + 'static,
) -> TaskEntry
where
    F: Future<Output = ()> + 'static,
{
    let host = host.clone();
    let listener = Rc::clone(listener);
    task_entry(name, need, move || {
        start(host.clone(), Rc::clone(&listener))
    })
}

/// Returns the tasks that serve no listener.
fn list_tasks(host: &Host, options: &RunOptions) -> Vec<TaskEntry> {
    let with_need = |name, need, start: fn(Host) -> crate::supervisor::TaskFuture| {
        let host = host.clone();
        task_entry(name, need, move || start(host.clone()))
    };
    let with_host = |name, start| with_need(name, TaskNeed::Upkeep, start);
    let reload = {
        let host = host.clone();
        let options = options.clone();
        task_entry("settings", TaskNeed::Upkeep, move || {
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
        with_host("own-row", |host| Box::pin(maintain_row(host))),
        with_host("follow", |host| Box::pin(follow_hosts(host))),
        with_host("config", |host| Box::pin(fetch_configs(host))),
        with_host("limits", |host| Box::pin(exchange_limits(host))),
        with_need("batches", TaskNeed::Serving, |host| {
            Box::pin(run_dispatch_timer(host))
        }),
        with_host("results", |host| Box::pin(flush_release_queue(host))),
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
        commit = source_commit(),
        callers = %settings.caller_address,
        peers = %settings.peer_address
    );
}

/// Evicts idle connections, forgets the load of servers that have left, and uses servers again
/// whose withheld entries were rewritten.
async fn sweep(host: Host) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        fail_point!("sweep.round");
        host.release_withheld_servers();
        host.review_evacuations();
        host.report_warm_servers();
        let now = host.now();
        let registry = host.registry.borrow();
        host.connections
            .evict_idle(|server| registry.usable(now, server).is_some());
        let mut loads = host.loads.borrow_mut();
        loads.retain(now, |server| registry.usable(now, server).is_some());
        let mut limits = host.limits.borrow_mut();
        limits.retain(now, |server| registry.usable(now, server).is_some());
        let mut cold = host.cold.borrow_mut();
        cold.retain(now, |server| registry.usable(now, server).is_some());
        let mut permits = host.permits.borrow_mut();
        permits.retain(now, |server| registry.usable(now, server).is_some());
        host.crashes.borrow_mut().expire(now);
        drop((registry, loads, limits, permits));
        host.sweep_engines();
    }
}

/// Reloads the settings file after SIGHUP, and when a periodic check finds it changed.
async fn follow_settings(host: Host, options: RunOptions) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return std::future::pending().await;
    };
    let mut loaded_text = read_text(&options).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        let text = match read_text(&options) {
            Ok(text) => text,
            Err(error) => {
                let detail = error.to_string();
                log_line!(host, error, SettingsReloaded, outcome = "kept", detail);
                continue;
            }
        };
        if text == loaded_text && !signalled {
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
        loaded_text = text;
    }
}

fn read_text(options: &RunOptions) -> io::Result<String> {
    std::fs::read_to_string(&options.settings_path)
}

/// Stops gracefully: coordinates no new work, stops accepting callers after a delay, waits for open
/// requests to end, and has the remaining ones answered, all within the grace period of the platform.
async fn stop_gracefully(host: &Host) {
    let started = Instant::now();
    let grace = host.settings().bounds.grace;
    let process_time = grace.saturating_sub(KILL_MARGIN);
    let answer_time = process_time.saturating_sub(ANSWER_MARGIN);
    host.answers_until.set(Some(host.now() + answer_time));
    host.stopping.send_replace(StopPhase::Leaving);
    let own = host.hosts.borrow().own().clone();
    host.hosts.borrow_mut().note_leaving(&own);
    log_line!(
        host,
        info,
        StopBegan,
        grace_ms = millis(grace),
        requests = host.open_requests.get()
    );
    tokio::time::sleep(STOP_ACCEPT_TIME.min(answer_time)).await;
    host.stopping.send_replace(StopPhase::Closing);
    // By the end of this pause a request that was read just before is being served.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    // A connection stays open while a response is written on it.
    while host.caller_connections.get() > 0 && started.elapsed() < process_time {
        if started.elapsed() >= answer_time {
            host.stopping.send_replace(StopPhase::Ending);
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    log_line!(
        host,
        info,
        StopEnded,
        requests = host.open_requests.get(),
        callers = host.caller_connections.get(),
        took_ms = millis(started.elapsed())
    );
}
