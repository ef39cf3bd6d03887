//! Reading of the platform's host list.

use std::sync::Arc;
use std::time::Duration;

use hollywheel_membership::{ListedHost, MemberInput};
use hollywheel_platform::{HostEntry, HostListing, HostRole, ListedState, PlatformService};
use hollywheel_types::Incarnation;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::handle::MemberHandle;
use crate::events::{EventContext, LogEvent, log_event};

/// Gives the mean time between two reads.
const INTERVAL_MS: u64 = 5000;
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the host list again and again; an unreadable list changes nothing.
pub struct HostListReader {
    /// The platform.
    pub platform: Arc<dyn PlatformService>,
    /// The membership machine.
    pub member: MemberHandle,
    /// The seed of the jitter.
    pub seed: u64,
}

impl HostListReader {
    /// Runs forever.
    pub async fn run(self) {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut readable = true;
        loop {
            match self.platform.hosts(READ_TIMEOUT).await {
                Ok(listing) => {
                    readable = true;
                    self.pass_on(listing).await;
                }
                Err(error) => {
                    if readable {
                        let detail = error.to_string();
                        log_event(
                            LogEvent::HostListUnreadable,
                            &EventContext::default(),
                            &detail,
                        );
                    }
                    readable = false;
                }
            }
            let pause = random.random_range(INTERVAL_MS * 4 / 5..=INTERVAL_MS * 6 / 5);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn pass_on(&self, listing: HostListing) {
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
