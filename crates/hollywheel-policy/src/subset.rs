//! Deterministic subsetting: which backend servers of a large pool one host uses.

use hollywheel_types::{DomainId, HostId, ServerId};

use crate::hash::{mix_weight, name_hash};

/// A backend server that may be part of a subset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SubsetMember {
    /// The name of the server.
    pub server: ServerId,
    /// The failure domain of the server.
    pub domain: DomainId,
}

/// Chooses the servers that a host uses and returns their names, sorted.
///
/// Each host ranks the servers of every failure domain by rendezvous hashing and takes the first
/// ones, in proportion to the size of the domain.
///
/// `hosts` lists the hosts alive. Their subsets are computed one after the other, and servers that
/// enough hosts already use are ranked last, so that all servers are used by about the same number
/// of hosts. While the hosts disagree on the list, servers are used less evenly. If the list does
/// not contain `host`, only its own ranking counts.
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
    let even_uses = |host_count: usize| (host_count * size).div_ceil(members.len());
    for (index, (host_hash, name)) in ordered.into_iter().enumerate() {
        let max_uses = even_uses(index + 1);
        let chosen = table.choose(host_hash, size, max_uses);
        if name == host {
            return table.names(&chosen);
        }
        table.record_uses(&chosen);
    }
    let chosen = table.choose(name_hash(host.as_str()), size, usize::MAX);
    table.names(&chosen)
}

/// Number of hosts that use each server, while the subsets are chosen host by host.
struct SubsetTable<'a> {
    members: &'a [SubsetMember],
    hashes: Vec<u64>,
    /// The indexes of the members of each failure domain.
    domains: Vec<Vec<usize>>,
    /// The number of hosts that use each member.
    uses: Vec<usize>,
}

impl<'a> SubsetTable<'a> {
    fn new(members: &'a [SubsetMember]) -> Self {
        let mut names: Vec<&DomainId> = members.iter().map(|member| &member.domain).collect();
        names.sort_unstable();
        names.dedup();
        let mut domains = vec![Vec::new(); names.len()];
        for (index, member) in members.iter().enumerate() {
            if let Ok(domain) = names.binary_search(&&member.domain) {
                domains[domain].push(index);
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

    fn choose(&self, host_hash: u64, size: usize, max_uses: usize) -> Vec<usize> {
        let mut positions: Vec<(bool, f64, usize)> = Vec::with_capacity(self.members.len());
        for (domain, members) in self.domains.iter().enumerate() {
            let weight = |index: usize| mix_weight(host_hash, self.hashes[index]);
            let mut ranked: Vec<(bool, u64, usize)> = members
                .iter()
                .map(|index| (self.uses[*index] >= max_uses, weight(*index), *index))
                .collect();
            ranked.sort_unstable();
            // The offset differs between hosts, so that rounding does not always benefit the same
            // domain.
            let offset = mix_weight(host_hash, domain as u64) as f64 / u64::MAX as f64;
            let available = ranked.iter().filter(|entry| !entry.0).count().max(1) as f64;
            let placed = ranked.iter().enumerate();
            positions.extend(placed.map(|(rank, (full, _, index))| {
                let position = (rank as f64 + offset) / available;
                (*full, position, *index)
            }));
        }
        positions.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        positions
            .into_iter()
            .take(size)
            .map(|entry| entry.2)
            .collect()
    }

    fn record_uses(&mut self, chosen: &[usize]) {
        chosen.iter().for_each(|index| self.uses[*index] += 1);
    }

    fn names(&self, chosen: &[usize]) -> Vec<ServerId> {
        let name = |index: &usize| self.members[*index].server.clone();
        let mut names: Vec<ServerId> = chosen.iter().map(name).collect();
        names.sort_unstable();
        names
    }
}
