use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{FeedTopology, HostRecord, Name, ZoneName};

use crate::gateway::GatewayContext;
use crate::store::{StoreClient, StoreError};

/// Delay between writing this host's entry and listing the other hosts. Hosts that start together start within 0.3 s
/// of each other, and write their entries 0.1 s later. Until they have listed the others, each reads the store itself.
const FIRST_LIST_DELAY: Duration = Duration::from_millis(500);
/// Delay until the hosts are listed again, because more may have registered and the list may be some seconds old.
const SECOND_LIST_DELAY: Duration = Duration::from_secs(3);
/// Interval at which the hosts of the own zone and of one other zone are listed. Hosts come and go a few times an hour;
/// a change that is not known yet costs calls to the store, but callers are served no worse.
const LIST_INTERVAL: Duration = Duration::from_secs(20);
/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Registers this host in the store and lists the other hosts.
///
/// The hosts of the own zone, from which this host gets the contents of the store, are listed at once, and those of
/// other zones later. Entries of hosts that are gone are not removed; hosts that ask such a host skip it.
#[derive(Debug)]
pub(crate) struct HostRegistrar {
    context: Arc<GatewayContext>,
    client: StoreClient,
    own: HostRecord,
    /// The hosts of each zone, as last listed.
    zones: BTreeMap<ZoneName, Vec<HostRecord>>,
    /// The zone, other than the own one, that was listed last.
    last_listed: ZoneName,
}

impl HostRegistrar {
    pub(crate) fn new(context: Arc<GatewayContext>, own: HostRecord) -> Self {
        let client = StoreClient::new(&context);
        Self { context, client, own, zones: BTreeMap::new(), last_listed: ZoneName::default() }
    }

    /// Registers and lists until the process ends.
    ///
    /// The first step is a list, which costs a tenth of a call. A host that restarts finds its own entry in it, and the
    /// hosts to follow: all hosts of a site may lose power and start at once.
    pub(crate) async fn run(mut self) {
        let has_restarted = self.try_list().await.is_some_and(|is_listed| is_listed);
        let mut is_registered = has_restarted;
        let mut era = self.context.feed.era();
        while !is_registered {
            is_registered = self.register().await;
        }
        self.context.feed.end_listing();
        if has_restarted {
            // Callers come back at once with streams of which hosts of other zones know the origin.
            self.context.wait_for_start().await;
            self.list_others().await;
        }
        self.context.timer.wait(SECOND_LIST_DELAY).await;
        if !has_restarted {
            self.list_others().await;
        }
        loop {
            let has_new_era = self.context.feed.era() > era;
            era = self.context.feed.era();
            let is_listed = loop {
                match self.try_list().await {
                    Some(is_listed) => break is_listed,
                    None => self.context.timer.wait(RETRY_DELAY).await,
                }
            };
            // The older copy that the store was restored from may not contain this host's entry.
            if has_new_era && !is_listed {
                while !self.register().await {}
            }
            self.context.timer.wait(LIST_INTERVAL).await;
            if let Some(zone) = self.next_zone() {
                self.list_other(zone).await;
                self.check_all_zones();
            }
        }
    }

    /// The other zones in which this host knows endpoints.
    fn other_zones(&self) -> BTreeSet<ZoneName> {
        let table = self.context.endpoints.table();
        let zones = table.iter().map(|record| &record.zone).filter(|zone| **zone != self.own.zone);
        zones.cloned().collect()
    }

    /// Lists the hosts of all other zones.
    async fn list_others(&mut self) {
        for zone in self.other_zones() {
            self.list_other(zone).await;
        }
        self.check_all_zones();
    }

    /// Records whether the hosts of all zones with endpoints have been listed by now.
    fn check_all_zones(&self) {
        let has_endpoints = self.context.endpoints.known_ms().is_some();
        let is_listed = self.other_zones().iter().all(|zone| self.zones.contains_key(zone));
        self.context.feed.record_all_zones(has_endpoints && is_listed);
    }

    /// The other zone to list next, in the order of the zones' names.
    fn next_zone(&self) -> Option<ZoneName> {
        let zones = self.other_zones();
        let later = zones.range::<str, _>((Bound::Excluded(&*self.last_listed), Bound::Unbounded)).next();
        later.or(zones.first()).cloned()
    }

    /// Lists the hosts of another zone; keeps the last list if the store does not answer.
    ///
    /// These hosts are asked only when the store does not answer, and count among the hosts that share rate limits.
    async fn list_other(&mut self, zone: ZoneName) {
        self.last_listed = ZoneName::clone(&zone);
        match self.list(&zone).await {
            Ok(records) => self.apply(zone, records),
            Err(error) => tracing::info!(%error, %zone, "hosts.not_listed"),
        }
    }

    /// Writes this host's entry and lists the hosts of its zone; returns whether the entry was written.
    async fn register(&mut self) -> bool {
        if let Err(error) = self.client.register_host(&self.own).await {
            tracing::info!(%error, "host.not_registered");
            self.context.timer.wait(RETRY_DELAY).await;
            return false;
        }
        tracing::info!(address = %self.own.address, "host.registered");
        self.context.timer.wait(FIRST_LIST_DELAY).await;
        while self.try_list().await.is_none() {
            self.context.timer.wait(RETRY_DELAY).await;
        }
        true
    }

    /// Lists the hosts of the own zone, and returns whether this host's entry is among them and correct; `None` if the
    /// store did not answer.
    async fn try_list(&mut self) -> Option<bool> {
        let zone = ZoneName::clone(&self.own.zone);
        let listed = self.list(&zone).await;
        let records = listed.inspect_err(|error| tracing::info!(%error, %zone, "hosts.not_listed")).ok()?;
        let is_listed = records.contains(&self.own);
        self.apply(zone, records);
        Some(is_listed)
    }

    /// Replaces the hosts of a zone.
    fn apply(&mut self, zone: ZoneName, records: Vec<HostRecord>) {
        self.zones.insert(zone, records);
        let records: Vec<HostRecord> = self.zones.values().flatten().cloned().collect();
        let own = std::iter::once(&self.own);
        let host_of = |record: &HostRecord| (Name::clone(&record.host), ZoneName::clone(&record.zone));
        let hosts: BTreeMap<Name, ZoneName> = records.iter().chain(own).map(host_of).collect();
        tracing::debug!(hosts = records.len(), "hosts.listed");
        self.context.feed.set_hosts(records);
        let position = self.context.feed.with_topology(FeedTopology::position);
        let mut table = self.context.endpoints.table();
        table.set_position(position);
        table.set_hosts(self.context.timer.now(), &self.own.host, hosts);
        drop(table);
        self.context.recorder.count("hosts_listed");
    }

    /// Reads the hosts of a zone from the store; logs and leaves out entries that are malformed or of another zone.
    async fn list(&mut self, zone: &ZoneName) -> Result<Vec<HostRecord>, StoreError> {
        let objects = self.client.list_hosts(zone).await?;
        let mut records = Vec::with_capacity(objects.len());
        for object in objects.iter().filter(|object| !object.is_deleting) {
            match hollyhook_platform::decode_host(object) {
                Ok(record) if record.zone == *zone => records.push(record),
                Ok(record) => tracing::error!(host = %record.host, zone = %record.zone, "host.misplaced"),
                Err(error) => tracing::error!(%error, host = %object.name, "host.malformed"),
            }
        }
        Ok(records)
    }
}
