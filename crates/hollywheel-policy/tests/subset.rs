//! Tests of the choice of subsets of large pools.

mod common;

use common::{id, server_name};
use hollywheel_policy::{SubsetMember, choose_subset};
use hollywheel_types::HostId;

fn members(servers: usize) -> Vec<SubsetMember> {
    let domain = |index: usize| id(["medeu", "bostandyk", "alatau"][index % 3]);
    let member = |index| SubsetMember {
        server: server_name(index),
        domain: domain(index),
    };
    (0..servers).map(member).collect()
}

#[test]
fn subset_is_deterministic_and_spread_over_failure_domains() {
    let members = members(100);
    let host: HostId = id("host-1");
    let subset = choose_subset(&host, &[], &members, 20);
    assert_eq!(subset, choose_subset(&host, &[], &members, 20));
    assert_eq!(subset.len(), 20);
    for domain in 0..3 {
        let inside = subset.iter().filter(|name| {
            let index = members.iter().position(|member| member.server == **name);
            index.is_some_and(|index| index % 3 == domain)
        });
        assert!((6..=7).contains(&inside.count()));
    }
}

#[test]
fn removing_a_server_changes_little_of_a_subset() {
    let all = members(100);
    let host: HostId = id("host-1");
    let before = choose_subset(&host, &[], &all, 20);
    let without: Vec<_> = all
        .into_iter()
        .filter(|member| member.server != before[0])
        .collect();
    let after = choose_subset(&host, &[], &without, 20);
    let kept = after.iter().filter(|name| before.contains(name)).count();
    assert!(kept >= 18, "{kept} of 20 stayed");
}

#[test]
fn hosts_that_know_each_other_use_all_servers_evenly() {
    let members = members(300);
    let name = |index: usize| id(&format!("host-{index:03}"));
    let hosts: Vec<HostId> = (0..117).map(name).collect();
    let mut uses = vec![0; members.len()];
    for host in &hosts {
        for server in choose_subset(host, &hosts, &members, 20) {
            let index = members.iter().position(|member| member.server == server);
            uses[index.expect("a server of the pool")] += 1;
        }
    }
    assert_eq!(uses.iter().sum::<usize>(), 117 * 20);
    assert!(uses.iter().all(|uses| (7..=8).contains(uses)), "{uses:?}");
}

#[test]
fn removing_a_host_changes_little_of_the_other_subsets() {
    let members = members(300);
    let name = |index: usize| id(&format!("host-{index:03}"));
    let hosts: Vec<HostId> = (0..60).map(name).collect();
    let mut kept = 0;
    for host in &hosts[1..] {
        let before = choose_subset(host, &hosts, &members, 20);
        let after = choose_subset(host, &hosts[1..], &members, 20);
        kept += after
            .iter()
            .filter(|server| before.contains(server))
            .count();
    }
    assert!(kept * 100 > 59 * 20 * 85, "{kept} of 1180 stayed");
}
