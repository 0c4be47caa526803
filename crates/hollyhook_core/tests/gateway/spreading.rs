//! How crash records reach all hosts without the store.

use std::collections::{BTreeMap, BTreeSet};

use hollyhook_core::{HostRecord, Name, SpreadScope, SpreadStep, spread_plan, spread_through};

fn hosts(count: usize, zones: usize) -> Vec<HostRecord> {
    let host = |number: usize| HostRecord {
        host: format!("host-{number:04}").into(),
        zone: format!("zone-{}", number % zones).into(),
        address: ([10, 0, (number >> 8) as u8, number as u8], 80).into(),
        link_mbps: 1_000,
    };
    (0..count).map(host).collect()
}

/// The hosts that records of `origin` reach while those in `lost` answer nothing, and the messages that each host sends.
fn spread(origin: &HostRecord, hosts: &[HostRecord], lost: &BTreeSet<Name>) -> (BTreeSet<Name>, BTreeMap<Name, usize>) {
    let (mut reached, mut sent) = (BTreeSet::new(), BTreeMap::new());
    let mut first = |sender: &HostRecord, step: &SpreadStep| {
        step.recipients
            .iter()
            .find(|record| {
                *sent.entry(Name::clone(&sender.host)).or_default() += 1;
                !lost.contains(&record.host)
            })
            .cloned()
    };
    let through = spread_through(origin, hosts).and_then(|step| first(origin, &step));
    let mut steps = vec![(through.unwrap_or_else(|| origin.clone()), SpreadScope::Site)];
    while let Some((host, scope)) = steps.pop() {
        reached.insert(Name::clone(&host.host));
        if scope == SpreadScope::Host {
            continue;
        }
        for step in spread_plan(&host, scope, hosts) {
            steps.extend(first(&host, &step).map(|recipient| (recipient, step.scope)));
        }
    }
    (reached, sent)
}

#[test]
fn records_reach_all_hosts() {
    for (count, zones) in [(1, 1), (2, 2), (8, 4), (71, 4), (1_000, 7)] {
        let hosts = hosts(count, zones);
        for origin in hosts.iter().step_by(1 + count / 20) {
            let (mut reached, sent) = spread(origin, &hosts, &BTreeSet::new());
            reached.insert(Name::clone(&origin.host));
            assert_eq!(reached.len(), count, "{count} hosts in {zones} zones");
            // A host sends to those of its zone and to one of each other zone, whatever the number of all hosts.
            let most = sent.values().copied().max().unwrap_or(0);
            assert!(most <= count.div_ceil(zones) + zones, "{most} messages of one host of {count}");
        }
    }
}

/// The host that would pass records on is lost in each zone, and the next one does.
#[test]
fn records_reach_all_hosts_beside_lost_ones() {
    let hosts = hosts(71, 4);
    let first = |zone: &HostRecord| {
        let order = spread_plan(zone, SpreadScope::Site, &hosts);
        order
            .into_iter()
            .filter(|step| step.scope == SpreadScope::Zone)
            .map(|step| Name::clone(&step.recipients[0].host))
    };
    let lost: BTreeSet<Name> = first(&hosts[0]).chain(first(&hosts[1])).collect();
    assert_eq!(lost.len(), 4);
    for origin in hosts.iter().filter(|record| !lost.contains(&record.host)) {
        let (mut reached, _sent) = spread(origin, &hosts, &lost);
        reached.insert(Name::clone(&origin.host));
        assert_eq!(reached.len(), hosts.len() - lost.len());
    }
}
