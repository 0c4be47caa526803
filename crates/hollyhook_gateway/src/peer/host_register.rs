use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::RosterMember;
use hollyhook_platform::ObjectKind;

use crate::gateway::GatewayContext;
use crate::store::{StoreClient, StoreError};

/// The pause between writing the own entry and reading those of others, which start at about the same time: within 0.3 s of
/// each other, and 0.1 s each until they write. Until then each reads the store for itself.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The pause until they are read again, for those that came later, and since the list may be some seconds old.
const SECOND_PAUSE: Duration = Duration::from_secs(3);
/// How often the others are read again. Hosts come and go a few times an hour, and what is missed meanwhile costs calls to
/// the store but serves callers no worse.
const LIST_INTERVAL: Duration = Duration::from_secs(20);
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Makes this host known to the others through the store, and learns of them.
///
/// Entries of hosts that are gone stay; who asks such a host passes it over.
#[derive(Debug)]
pub(crate) struct HostRegister {
    context: Arc<GatewayContext>,
    client: StoreClient,
    own: RosterMember,
}

impl HostRegister {
    pub(crate) fn new(context: Arc<GatewayContext>, own: RosterMember) -> Self {
        let client = StoreClient::new(&context);
        Self { context, client, own }
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
        let mut pause = SECOND_PAUSE;
        loop {
            self.context.timer.wait(pause).await;
            pause = LIST_INTERVAL;
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

    /// Lists all hosts; tells whether this one's entry is there as it should be. None if the store did not answer.
    async fn try_list(&mut self) -> Option<bool> {
        let listed = self.list().await;
        listed.inspect_err(|error| tracing::info!(%error, "hosts.not_listed")).ok()
    }

    async fn list(&mut self) -> Result<bool, StoreError> {
        let objects = self.client.list_old(ObjectKind::Host).await?;
        let mut members = Vec::with_capacity(objects.len());
        for object in objects.iter().filter(|object| !object.is_deleting) {
            match hollyhook_platform::decode_host(object) {
                Ok(member) => members.push(member),
                Err(error) => tracing::error!(%error, host = %object.name, "host.malformed"),
            }
        }
        tracing::debug!(hosts = members.len(), "hosts.listed");
        let is_listed = members.contains(&self.own);
        self.context.feed.list_members(members);
        Ok(is_listed)
    }
}
