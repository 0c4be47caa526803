use std::sync::Arc;
use std::time::Duration;

use hollyhook_core::RosterMember;
use hollyhook_platform::ObjectKind;

use crate::gateway::GatewayContext;
use crate::store::{StoreClient, StoreError};

/// The pause between writing the own entry and reading those of others, which start at about the same time.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
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
    pub(crate) fn new(context: Arc<GatewayContext>, client: StoreClient, own: RosterMember) -> Self {
        Self { context, client, own }
    }

    /// Registers and lists until the process ends.
    pub(crate) async fn run(mut self) {
        while let Err(error) = self.client.register_host(&self.own).await {
            tracing::info!(%error, "host.not_registered");
            self.context.timer.wait(RETRY_PAUSE).await;
        }
        tracing::info!(address = %self.own.address, "host.registered");
        self.context.timer.wait(FIRST_PAUSE).await;
        loop {
            let pause = match self.list().await {
                Ok(()) => LIST_INTERVAL,
                Err(error) => {
                    tracing::info!(%error, "hosts.not_listed");
                    RETRY_PAUSE
                }
            };
            self.context.timer.wait(pause).await;
        }
    }

    async fn list(&mut self) -> Result<(), StoreError> {
        let objects = self.client.list_old(ObjectKind::Host).await?;
        let mut members = Vec::with_capacity(objects.len());
        for object in objects.iter().filter(|object| !object.is_deleting) {
            match hollyhook_platform::decode_host(object) {
                Ok(member) => members.push(member),
                Err(error) => tracing::error!(%error, host = %object.name, "host.malformed"),
            }
        }
        tracing::debug!(hosts = members.len(), "hosts.listed");
        self.context.feed.list_members(members);
        Ok(())
    }
}
