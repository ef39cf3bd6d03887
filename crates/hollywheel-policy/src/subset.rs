//! The deterministic subset of a pool that one host uses.

use std::cmp::Reverse;

use hollywheel_types::{DomainId, HostId, ServerId, SortedMap};

use crate::hash::pair_weight;

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
pub fn choose_subset(host: &HostId, members: &[SubsetMember], size: usize) -> Vec<ServerId> {
    if members.len() <= size {
        return sorted_names(members.iter());
    }
    let mut ranked = rank_members(host, members);
    ranked.truncate(size);
    sorted_names(ranked.into_iter())
}

fn rank_members<'a>(host: &HostId, members: &'a [SubsetMember]) -> Vec<&'a SubsetMember> {
    let mut domains: SortedMap<&DomainId, Vec<(u64, &SubsetMember)>> = SortedMap::new();
    for member in members {
        let weight = pair_weight(host.as_str().as_bytes(), member.server.as_str().as_bytes());
        domains
            .get_or_insert_with(&member.domain, Vec::new)
            .push((weight, member));
    }
    let mut spread: Vec<(f64, u64, &SubsetMember)> = Vec::with_capacity(members.len());
    for ranked in domains.values_mut() {
        ranked.sort_by_key(|entry| Reverse(entry.0));
        let size = ranked.len() as f64;
        let placed = ranked.iter().enumerate();
        spread.extend(placed.map(|(rank, (weight, member))| {
            let position = (rank as f64 + 0.5) / size;
            (position, *weight, *member)
        }));
    }
    spread.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
    spread.into_iter().map(|(_, _, member)| member).collect()
}

fn sorted_names<'a>(members: impl Iterator<Item = &'a SubsetMember>) -> Vec<ServerId> {
    let mut names: Vec<ServerId> = members.map(|member| member.server.clone()).collect();
    names.sort();
    names
}
