use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::{HostRecord, ZoneName};

use crate::gateway::GatewayContext;
use crate::store::{StoreClient, StoreError};

/// The pause between writing the own entry and reading those of others, which start at about the same time: within 0.3 s of
/// each other, and 0.1 s each until they write. Until then each reads the store for itself.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The pause until they are read again, for those that came later, and since the list may be some seconds old.
const SECOND_PAUSE: Duration = Duration::from_secs(3);
/// How often the others are read again, those of the own zone and of one other. Hosts come and go a few times an hour, and what
/// is missed meanwhile costs calls to the store but serves callers no worse.
const LIST_INTERVAL: Duration = Duration::from_secs(20);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Makes this host known to the others through the store, and learns of them: at once of those of its zone, from whom it
/// learns what the store holds, and of the others later.
///
/// Entries of hosts that are gone stay; who asks such a host passes it over.
#[derive(Debug)]
pub(crate) struct HostRegister {
    context: Arc<GatewayContext>,
    client: StoreClient,
    own: HostRecord,
    /// The hosts of each zone as they were last listed.
    zones: BTreeMap<ZoneName, Vec<HostRecord>>,
    /// The other zone that was listed last.
    last_listed: ZoneName,
}

impl HostRegister {
    pub(crate) fn new(context: Arc<GatewayContext>, own: HostRecord) -> Self {
        let client = StoreClient::new(&context);
        Self { context, client, own, zones: BTreeMap::new(), last_listed: ZoneName::default() }
    }

    /// Registers and lists until the process ends.
    ///
    /// A host that starts again finds its entry in the list, which costs a tenth of a call, and the hosts to follow with it: all
    /// hosts of a site may lose power and start at once.
    pub(crate) async fn run(mut self) {
        let mut is_registered = self.try_list().await.is_some_and(|is_listed| is_listed);
        let mut era = self.context.feed.era();
        while !is_registered {
            is_registered = self.register().await;
        }
        self.context.feed.end_listing();
        self.context.timer.wait(SECOND_PAUSE).await;
        for zone in self.other_zones() {
            self.list_other(zone).await;
        }
        loop {
            let is_older = self.context.feed.era() > era;
            era = self.context.feed.era();
            let is_listed = loop {
                match self.try_list().await {
                    Some(is_listed) => break is_listed,
                    None => self.context.timer.wait(RETRY_PAUSE).await,
                }
            };
            // The copy from which the store came back may be from before this host's entry.
            if is_older && !is_listed {
                while !self.register().await {}
            }
            self.context.timer.wait(LIST_INTERVAL).await;
            if let Some(zone) = self.next_zone() {
                self.list_other(zone).await;
            }
        }
    }

    /// The other zones, as far as their endpoints are known.
    fn other_zones(&self) -> BTreeSet<ZoneName> {
        let table = self.context.endpoints.table();
        let zones = table.iter().map(|record| &record.zone).filter(|zone| **zone != self.own.zone);
        zones.cloned().collect()
    }

    /// The other zone that is to be listed next, one after the other.
    fn next_zone(&self) -> Option<ZoneName> {
        let zones = self.other_zones();
        let later = zones.range::<str, _>((Bound::Excluded(&*self.last_listed), Bound::Unbounded)).next();
        later.or(zones.first()).cloned()
    }

    /// Lists the hosts of another zone. They are asked only when the store gives no answer, and counted; what is known of them
    /// stays if it gives none now.
    async fn list_other(&mut self, zone: ZoneName) {
        self.last_listed = ZoneName::clone(&zone);
        match self.list(&zone).await {
            Ok(members) => self.take(zone, members),
            Err(error) => tracing::info!(%error, %zone, "hosts.not_listed"),
        }
    }

    /// Writes this host's entry and lists the others; tells whether it was written.
    async fn register(&mut self) -> bool {
        if let Err(error) = self.client.register_host(&self.own).await {
            tracing::info!(%error, "host.not_registered");
            self.context.timer.wait(RETRY_PAUSE).await;
            return false;
        }
        tracing::info!(address = %self.own.address, "host.registered");
        self.context.timer.wait(FIRST_PAUSE).await;
        while self.try_list().await.is_none() {
            self.context.timer.wait(RETRY_PAUSE).await;
        }
        true
    }

    /// Lists the hosts of the own zone; tells whether this one's entry is there as it should be. None if the store did not
    /// answer.
    async fn try_list(&mut self) -> Option<bool> {
        let zone = ZoneName::clone(&self.own.zone);
        let listed = self.list(&zone).await;
        let members = listed.inspect_err(|error| tracing::info!(%error, %zone, "hosts.not_listed")).ok()?;
        let is_listed = members.contains(&self.own);
        self.take(zone, members);
        Some(is_listed)
    }

    fn take(&mut self, zone: ZoneName, members: Vec<HostRecord>) {
        self.zones.insert(zone, members);
        let members: Vec<HostRecord> = self.zones.values().flatten().cloned().collect();
        tracing::debug!(hosts = members.len(), "hosts.listed");
        self.context.feed.list_members(members);
        self.context.recorder.count("hosts_listed");
    }

    async fn list(&mut self, zone: &ZoneName) -> Result<Vec<HostRecord>, StoreError> {
        let objects = self.client.list_hosts(zone).await?;
        let mut members = Vec::with_capacity(objects.len());
        for object in objects.iter().filter(|object| !object.is_deleting) {
            match hollyhook_platform::decode_host(object) {
                Ok(member) if member.zone == *zone => members.push(member),
                Ok(member) => tracing::error!(host = %member.host, zone = %member.zone, "host.misplaced"),
                Err(error) => tracing::error!(%error, host = %object.name, "host.malformed"),
            }
        }
        Ok(members)
    }
}
