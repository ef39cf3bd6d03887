//! Periodic read of the platform's host list.

use std::sync::Arc;
use std::time::Duration;

use hollywheel_membership::{ListedHost, MemberInput};
use hollywheel_platform::{HostEntry, HostListing, HostRole, ListedState, PlatformService};
use hollywheel_types::Incarnation;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::handle::MemberHandle;
use crate::events::{EventContext, LogEvent, log_event};

/// Mean time between two reads, in milliseconds. Each pause varies by up to 20 %, so that the
/// hosts do not read in step.
const READ_INTERVAL_MS: u64 = 5000;
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Task that reads the host list periodically. A failed read changes nothing; only the first of
/// several in a row is logged.
pub struct HostListReader {
    /// Client of the platform.
    pub platform: Arc<dyn PlatformService>,
    /// Handle of the membership state machine.
    pub member: MemberHandle,
    /// Seed of the jitter.
    pub seed: u64,
}

impl HostListReader {
    /// Runs until it is aborted.
    pub async fn run(self) {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut last_read_ok = true;
        loop {
            match self.platform.hosts(READ_TIMEOUT).await {
                Ok(listing) => {
                    last_read_ok = true;
                    self.send_to_membership(listing).await;
                }
                Err(error) => {
                    if last_read_ok {
                        let detail = error.to_string();
                        log_event(
                            LogEvent::HostListUnreadable,
                            &EventContext::default(),
                            &detail,
                        );
                    }
                    last_read_ok = false;
                }
            }
            let pause = random.random_range(READ_INTERVAL_MS * 4 / 5..=READ_INTERVAL_MS * 6 / 5);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn send_to_membership(&self, listing: HostListing) {
        let (entries, servers): (Vec<HostEntry>, Vec<HostEntry>) = listing
            .hosts
            .into_iter()
            .partition(|entry| entry.role == HostRole::Entry);
        for server in servers {
            if server.state == ListedState::Leaving
                && let Ok(name) = server.name.parse()
            {
                self.member.offer(MemberInput::ServerLeaving {
                    server: name,
                    incarnation: Incarnation(0),
                });
            }
        }
        let hosts = entries.into_iter().filter_map(listed_host).collect();
        self.member.send(MemberInput::HostList(hosts)).await;
    }
}

fn listed_host(entry: HostEntry) -> Option<ListedHost> {
    Some(ListedHost {
        host: entry.name.parse().ok()?,
        address: entry.address,
        domain: entry.domain,
        region: entry.region,
        leaving: entry.state == ListedState::Leaving,
    })
}
