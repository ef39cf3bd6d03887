//! Starts, disturbs and shuts down the processes of a fleet.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hollywheel_config::{ObjectSet, hash_key};
use hollywheel_types::SortedMap;
use nix::sys::signal::Signal;

use crate::error::FleetError;
use crate::host::{HostProcess, HostSettings, plan_record};
use crate::http::call_succeeds;
use crate::keys::{create_authority, create_host_keys, run_operator};
use crate::objects::{read_objects, replace_addresses, write_objects};
use crate::process::FleetProcess;
use crate::record::{FleetRecord, HostRecord};
use crate::standin::{StandinProcess, start_platform, start_server};
use crate::timeline::{FaultAction, TimedFault};

/// The process name of the platform's stand-in in timelines.
const PLATFORM: &str = "platform";
const RECORD_FILE: &str = "fleet.json";
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings for starting a fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetSettings {
    pub(crate) programs: PathBuf,
    pub(crate) directory: PathBuf,
    pub(crate) objects: PathBuf,
    pub(crate) hosts: usize,
    pub(crate) host_args: Vec<String>,
    pub(crate) platform_args: Vec<String>,
}

/// A running fleet: the stand-ins, the hosts and the record of both.
#[derive(Debug)]
pub(crate) struct Fleet {
    platform: FleetProcess,
    standins: Vec<StandinProcess>,
    hosts: Vec<HostProcess>,
    record: FleetRecord,
}

impl Fleet {
    /// Starts all processes, publishes the objects and waits until every host is ready.
    pub(crate) async fn start(settings: &FleetSettings) -> Result<Self, FleetError> {
        let directory = &settings.directory;
        std::fs::create_dir_all(directory).map_err(|error| FleetError::file(directory, &error))?;
        let mut set = read_objects(&settings.objects)?;
        let (platform, address) =
            start_platform(&settings.programs, directory, &settings.platform_args).await?;
        let standins = start_standins(settings, address, &mut set).await?;
        let objects = directory.join("objects.toml");
        write_objects(&objects, &set)?;

        let token = format!("fleet-{}", std::process::id());
        let hosts = start_hosts(settings, address, &set, &token).await?;
        let record = FleetRecord {
            platform: address,
            objects,
            token,
            hosts: hosts.iter().map(|host| host.record.clone()).collect(),
            standins: standins
                .iter()
                .map(|server| server.record.clone())
                .collect(),
        };
        let fleet = Self {
            platform,
            standins,
            hosts,
            record,
        };
        fleet.publish(settings).await?;
        fleet.write_record(directory)?;
        Ok(fleet)
    }

    async fn publish(&self, settings: &FleetSettings) -> Result<(), FleetError> {
        for host in &self.hosts {
            host.wait_listening().await?;
        }
        let Some(first_host) = self.record.hosts.first() else {
            return Ok(());
        };
        let objects = self.record.objects.display().to_string();
        let admin = first_host.admin.to_string();
        let variables = [
            ("HOLLYWHEEL_ADMIN", admin.as_str()),
            ("HOLLYWHEEL_TOKEN", self.record.token.as_str()),
        ];
        let args = ["publish", objects.as_str(), "--operator", "fleet"];
        run_operator(&settings.programs, &args, &variables).await?;
        for host in &self.hosts {
            host.wait_ready().await?;
        }
        Ok(())
    }

    fn write_record(&self, directory: &Path) -> Result<(), FleetError> {
        let path = directory.join(RECORD_FILE);
        let text = serde_json::to_vec_pretty(&self.record).map_err(|error| FleetError::Input {
            path: path.clone(),
            message: error.to_string(),
        })?;
        std::fs::write(&path, text).map_err(|error| FleetError::file(path, &error))
    }

    /// Returns the addresses, files and process ids of the fleet.
    pub(crate) const fn record(&self) -> &FleetRecord {
        &self.record
    }

    /// Applies a fault to a host, a stand-in or the platform.
    pub(crate) async fn apply(&mut self, fault: &TimedFault) -> Result<(), FleetError> {
        let name = fault.process.as_str();
        match fault.action {
            FaultAction::Order => return self.send_order(name, &fault.order).await,
            FaultAction::Start => return self.find_host(name)?.restart().await,
            FaultAction::Continue => self.find_process(name)?.signal(Signal::SIGCONT),
            FaultAction::Kill => self.find_process(name)?.kill().await,
            FaultAction::Pause => self.find_process(name)?.signal(Signal::SIGSTOP),
            FaultAction::Stop => self.find_process(name)?.signal(Signal::SIGTERM),
        }
        Ok(())
    }

    async fn send_order(&self, name: &str, order: &str) -> Result<(), FleetError> {
        let mut standins = self.record.standins.iter();
        let address = match standins.find(|server| server.name == name) {
            Some(server) => server.address,
            None if name == PLATFORM => self.record.platform,
            None => return Err(FleetError::UnknownProcess(name.to_owned())),
        };
        if call_succeeds(address, "POST", "/standin/faults", order).await {
            return Ok(());
        }
        Err(FleetError::OrderRejected {
            process: name.to_owned(),
            order: order.to_owned(),
        })
    }

    fn find_host(&mut self, name: &str) -> Result<&mut HostProcess, FleetError> {
        let host = self.hosts.iter_mut().find(|host| host.record.name == name);
        host.ok_or_else(|| FleetError::UnknownProcess(name.to_owned()))
    }

    fn find_process(&mut self, name: &str) -> Result<&mut FleetProcess, FleetError> {
        let hosts = self.hosts.iter_mut();
        let hosts = hosts.map(|host| (&host.record.name, &mut host.process));
        let standins = self.standins.iter_mut();
        let standins = standins.map(|server| (&server.record.name, &mut server.process));
        hosts
            .chain(standins)
            .find(|(process_name, _)| process_name.as_str() == name)
            .map(|(_, process)| process)
            .ok_or_else(|| FleetError::UnknownProcess(name.to_owned()))
    }

    /// Shuts down all processes and returns the number of hosts that did not exit cleanly.
    ///
    /// The hosts get the signal together and before the stand-ins, which they use.
    pub(crate) async fn shut_down(mut self) -> usize {
        for host in &self.hosts {
            host.process.signal(Signal::SIGCONT);
            host.process.signal(Signal::SIGTERM);
        }
        let mut unclean = 0;
        for host in &mut self.hosts {
            unclean += usize::from(!host.process.shut_down(SHUTDOWN_TIMEOUT).await);
        }
        for server in &mut self.standins {
            server.process.shut_down(SHUTDOWN_TIMEOUT).await;
        }
        self.platform.shut_down(SHUTDOWN_TIMEOUT).await;
        unclean
    }
}

async fn start_standins(
    settings: &FleetSettings,
    platform: SocketAddr,
    set: &mut ObjectSet,
) -> Result<Vec<StandinProcess>, FleetError> {
    let mut standins = Vec::new();
    let mut addresses = SortedMap::new();
    for pool in &set.pools {
        for server in &pool.servers {
            let directory = &settings.directory;
            let standin =
                start_server(&settings.programs, directory, platform, pool, server).await?;
            addresses.insert(server.name.clone(), standin.record.address);
            standins.push(standin);
        }
    }
    replace_addresses(set, &addresses);
    Ok(standins)
}

async fn start_hosts(
    settings: &FleetSettings,
    platform: SocketAddr,
    set: &ObjectSet,
    token: &str,
) -> Result<Vec<HostProcess>, FleetError> {
    let records = plan_hosts(settings, set)?;
    let seeds: Vec<SocketAddr> = records.iter().map(|record| record.peers).collect();
    let keys_directory = settings.directory.join("keys");
    std::fs::create_dir_all(&keys_directory)
        .map_err(|error| FleetError::file(&keys_directory, &error))?;
    create_authority(&settings.programs, &keys_directory).await?;
    let mut hosts = Vec::new();
    for record in records {
        let host_settings = HostSettings {
            programs: settings.programs.clone(),
            directory: settings.directory.clone(),
            platform,
            region: "local".to_owned(),
            seeds: seeds.clone(),
            operators: format!("publisher:{}", hash_key(token)),
            extra_args: settings.host_args.clone(),
            keys: create_host_keys(&settings.programs, &keys_directory, &record.name).await?,
        };
        hosts.push(HostProcess::start(host_settings, record)?);
    }
    Ok(hosts)
}

/// Assigns the hosts in turn to the failure domains of the backend servers.
fn plan_hosts(settings: &FleetSettings, set: &ObjectSet) -> Result<Vec<HostRecord>, FleetError> {
    let servers = set.pools.iter().flat_map(|pool| &pool.servers);
    let mut domains: Vec<&str> = servers.map(|server| server.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    if domains.is_empty() {
        domains.push("local");
    }
    let mut records = Vec::new();
    for index in 0..settings.hosts {
        let domain = domains[index % domains.len()];
        let name = format!("{domain}-host-{}", index / domains.len() + 1);
        records.push(plan_record(name, domain, &settings.directory)?);
    }
    Ok(records)
}
