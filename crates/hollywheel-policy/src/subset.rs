//! The deterministic subset of a pool that one host uses.

use hollywheel_types::{DomainId, HostId, ServerId};

use crate::hash::{mix_weight, name_hash};

/// Names a backend server that may be part of a subset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubsetMember {
    /// The server.
    pub server: ServerId,
    /// The failure domain of the server.
    pub domain: DomainId,
}

/// Chooses the servers that a host uses: the first of its rendezvous order within each
/// failure domain, in proportion to the size of the domain. The result is sorted by name.
///
/// With the names of the hosts alive, a server that enough hosts use is left to the others
/// last, so that all servers are used by about as many hosts. Hosts whose lists differ for a
/// while choose less evenly. Without the own name in the list, only the own order counts.
pub fn choose_subset(
    host: &HostId,
    hosts: &[HostId],
    members: &[SubsetMember],
    size: usize,
) -> Vec<ServerId> {
    let mut table = SubsetTable::new(members);
    if members.len() <= size {
        return table.names(&(0..members.len()).collect::<Vec<usize>>());
    }
    let mut ordered: Vec<(u64, &HostId)> = Vec::new();
    if hosts.contains(host) {
        ordered.extend(hosts.iter().map(|name| (name_hash(name.as_str()), name)));
    }
    ordered.sort_unstable();
    ordered.dedup();
    let bound = |count: usize| (count * size).div_ceil(members.len());
    for (at, (weight, name)) in ordered.into_iter().enumerate() {
        let most = bound(at + 1);
        let chosen = table.choose(weight, size, most);
        if name == host {
            return table.names(&chosen);
        }
        table.count(&chosen);
    }
    let chosen = table.choose(name_hash(host.as_str()), size, usize::MAX);
    table.names(&chosen)
}

/// Holds how many hosts use each server while subsets are chosen in turn.
struct SubsetTable<'a> {
    members: &'a [SubsetMember],
    hashes: Vec<u64>,
    /// The members of each failure domain.
    domains: Vec<Vec<usize>>,
    uses: Vec<usize>,
}

impl<'a> SubsetTable<'a> {
    fn new(members: &'a [SubsetMember]) -> Self {
        let mut names: Vec<&DomainId> = members.iter().map(|member| &member.domain).collect();
        names.sort_unstable();
        names.dedup();
        let mut domains = vec![Vec::new(); names.len()];
        for (at, member) in members.iter().enumerate() {
            if let Ok(domain) = names.binary_search(&&member.domain) {
                domains[domain].push(at);
            }
        }
        let hash = |member: &SubsetMember| name_hash(member.server.as_str());
        Self {
            members,
            hashes: members.iter().map(hash).collect(),
            domains,
            uses: vec![0; members.len()],
        }
    }

    fn choose(&self, host: u64, size: usize, most: usize) -> Vec<usize> {
        let mut spread: Vec<(bool, f64, usize)> = Vec::with_capacity(self.members.len());
        for (domain, members) in self.domains.iter().enumerate() {
            let weight = |at: usize| mix_weight(host, self.hashes[at]);
            let mut ranked: Vec<(bool, u64, usize)> = members
                .iter()
                .map(|at| (self.uses[*at] >= most, weight(*at), *at))
                .collect();
            ranked.sort_unstable();
            // The offset differs by host, so that no domain is always rounded up.
            let offset = mix_weight(host, domain as u64) as f64 / u64::MAX as f64;
            let free = ranked.iter().filter(|entry| !entry.0).count().max(1) as f64;
            let placed = ranked.iter().enumerate();
            spread.extend(placed.map(|(rank, (full, _, at))| {
                let position = (rank as f64 + offset) / free;
                (*full, position, *at)
            }));
        }
        spread.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        spread.into_iter().take(size).map(|entry| entry.2).collect()
    }

    fn count(&mut self, chosen: &[usize]) {
        chosen.iter().for_each(|at| self.uses[*at] += 1);
    }

    fn names(&self, chosen: &[usize]) -> Vec<ServerId> {
        let name = |at: &usize| self.members[*at].server.clone();
        let mut names: Vec<ServerId> = chosen.iter().map(name).collect();
        names.sort_unstable();
        names
    }
}
