//! A fleet of processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use hollywheel_config::{ObjectSet, hash_key};
use hollywheel_types::SortedMap;
use nix::sys::signal::Signal;

use crate::error::FleetError;
use crate::host::{HostPlan, HostProcess, plan_record};
use crate::http::call_ok;
use crate::keys::{make_authority, make_host_keys, run_operator};
use crate::objects::{read_objects, replace_addresses, write_objects};
use crate::process::FleetProcess;
use crate::record::{FleetRecord, HostRecord};
use crate::standin::{StandinProcess, start_platform, start_server};
use crate::timeline::{FaultAction, TimedFault};

/// The name of the platform in timelines.
const PLATFORM: &str = "platform";
const RECORD_FILE: &str = "fleet.json";
const END_TIMEOUT: Duration = Duration::from_secs(10);

/// Holds what a fleet is made of.
#[derive(Clone, Debug)]
pub(crate) struct FleetSettings {
    pub(crate) programs: PathBuf,
    pub(crate) directory: PathBuf,
    pub(crate) objects: PathBuf,
    pub(crate) hosts: usize,
    pub(crate) host_args: Vec<String>,
    pub(crate) platform_args: Vec<String>,
}

/// Holds the processes of a fleet.
#[derive(Debug)]
pub(crate) struct Fleet {
    platform: FleetProcess,
    standins: Vec<StandinProcess>,
    hosts: Vec<HostProcess>,
    record: FleetRecord,
}

impl Fleet {
    /// Starts every process, publishes the objects and waits until every host is ready.
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
        let Some(first) = self.record.hosts.first() else {
            return Ok(());
        };
        let objects = self.record.objects.display().to_string();
        let admin = first.admin.to_string();
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

    /// Returns the record.
    pub(crate) const fn record(&self) -> &FleetRecord {
        &self.record
    }

    /// Carries out a fault of a host, a stand-in or the platform.
    pub(crate) async fn apply(&mut self, fault: &TimedFault) -> Result<(), FleetError> {
        let name = fault.process.as_str();
        match fault.action {
            FaultAction::Order => return self.order(name, &fault.order).await,
            FaultAction::Start => return self.find_host(name)?.start_again().await,
            FaultAction::Continue => self.find_process(name)?.signal(Signal::SIGCONT),
            FaultAction::Kill => self.find_process(name)?.kill().await,
            FaultAction::Pause => self.find_process(name)?.signal(Signal::SIGSTOP),
            FaultAction::Stop => self.find_process(name)?.signal(Signal::SIGTERM),
        }
        Ok(())
    }

    async fn order(&self, name: &str, order: &str) -> Result<(), FleetError> {
        let mut standins = self.record.standins.iter();
        let address = match standins.find(|server| server.name == name) {
            Some(server) => server.address,
            None if name == PLATFORM => self.record.platform,
            None => return Err(FleetError::NoProcess(name.to_owned())),
        };
        if call_ok(address, "POST", "/standin/faults", order).await {
            return Ok(());
        }
        Err(FleetError::Order {
            process: name.to_owned(),
            order: order.to_owned(),
        })
    }

    fn find_host(&mut self, name: &str) -> Result<&mut HostProcess, FleetError> {
        let found = self.hosts.iter_mut().find(|host| host.record.name == name);
        found.ok_or_else(|| FleetError::NoProcess(name.to_owned()))
    }

    fn find_process(&mut self, name: &str) -> Result<&mut FleetProcess, FleetError> {
        let hosts = self.hosts.iter_mut();
        let hosts = hosts.map(|host| (&host.record.name, &mut host.process));
        let standins = self.standins.iter_mut();
        let standins = standins.map(|server| (&server.record.name, &mut server.process));
        hosts
            .chain(standins)
            .find(|(own, _)| own.as_str() == name)
            .map(|(_, process)| process)
            .ok_or_else(|| FleetError::NoProcess(name.to_owned()))
    }

    /// Ends every process: hosts first and together, then what they use.
    pub(crate) async fn end(mut self) -> usize {
        for host in &self.hosts {
            host.process.signal(Signal::SIGCONT);
            host.process.signal(Signal::SIGTERM);
        }
        let mut unclean = 0;
        for host in &mut self.hosts {
            unclean += usize::from(!host.process.end(END_TIMEOUT).await);
        }
        for server in &mut self.standins {
            server.process.end(END_TIMEOUT).await;
        }
        self.platform.end(END_TIMEOUT).await;
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
    make_authority(&settings.programs, &keys_directory).await?;
    let mut hosts = Vec::new();
    for record in records {
        let plan = HostPlan {
            programs: settings.programs.clone(),
            directory: settings.directory.clone(),
            platform,
            region: "local".to_owned(),
            seeds: seeds.clone(),
            operators: format!("publisher:{}", hash_key(token)),
            extra: settings.host_args.clone(),
            keys: make_host_keys(&settings.programs, &keys_directory, &record.name).await?,
        };
        hosts.push(HostProcess::start(plan, record)?);
    }
    Ok(hosts)
}

/// Spreads the hosts over the failure domains of the backend servers.
fn plan_hosts(settings: &FleetSettings, set: &ObjectSet) -> Result<Vec<HostRecord>, FleetError> {
    let servers = set.pools.iter().flat_map(|pool| &pool.servers);
    let mut domains: Vec<&str> = servers.map(|server| server.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    if domains.is_empty() {
        domains.push("local");
    }
    let mut records = Vec::new();
    for at in 0..settings.hosts {
        let domain = domains[at % domains.len()];
        let name = format!("{domain}-host-{}", at / domains.len() + 1);
        records.push(plan_record(name, domain, &settings.directory)?);
    }
    Ok(records)
}
