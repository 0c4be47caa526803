use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::future::{join_all, join3};
use hollyhook_core::{DemandMessage, DemandReply, HostRecord, ZoneName};
use hollyhook_kernel::TimerService;

use super::demand_message::post_demand;
use crate::gateway::GatewayContext;
use crate::net::PersistentClient;

/// Time between two rounds of the exchange.
const INTERVAL: Duration = Duration::from_millis(500);

/// Sends the demand and the paces that this host measured to other hosts while a service is overloaded.
#[derive(Debug)]
pub(crate) struct DemandSender {
    context: Arc<GatewayContext>,
    /// Connection to the collector of this host's zone.
    collector: PersistentClient,
    /// Connections to the collectors of other zones, while this host collects.
    others: BTreeMap<ZoneName, PersistentClient>,
}

impl DemandSender {
    /// Starts the task that sends summaries if a service is overloaded, or other hosts send theirs to this one, and no
    /// such task runs.
    pub(crate) fn spawn_if_needed(context: &Arc<GatewayContext>) {
        if context.demand.begin_sending() {
            let collector = Self::client(context);
            let sender = Self { context: Arc::clone(context), collector, others: BTreeMap::new() };
            task::spawn(sender.run());
        }
    }

    fn client(context: &GatewayContext) -> PersistentClient {
        PersistentClient::new(TimerService::clone(&context.timer))
    }

    async fn run(mut self) {
        while let Some(round) = self.context.demand.begin_round() {
            let Self { context, collector, others } = &mut self;
            others.retain(|zone, _| round.others.iter().any(|host| host.zone == *zone));
            for host in &round.others {
                others.entry(ZoneName::clone(&host.zone)).or_insert_with(|| Self::client(context));
            }
            let clients = others.iter_mut().zip(&round.others);
            // Both are in the order of the zones' names.
            let exchanged = clients.map(|((_, client), host)| tell(context, client, host));
            let invitations = round.invited.iter().map(|host| invite(context, host));
            let asked = tell_first(context, collector, &round.collectors);
            join3(join_all(exchanged), join_all(invitations), asked).await;
            context.demand.update_shares(&context.endpoints);
            context.timer.wait(INTERVAL).await;
        }
        self.context.demand.end_sending();
    }
}

/// Sends a message to one host after the other until one answers.
async fn tell_first(context: &GatewayContext, client: &mut PersistentClient, hosts: &[HostRecord]) {
    for host in hosts {
        if tell(context, client, host).await {
            return;
        }
    }
}

/// Sends this host's message to a host, records the answer, and returns whether the host answered.
async fn tell(context: &GatewayContext, client: &mut PersistentClient, host: &HostRecord) -> bool {
    let sent_at = context.timer.now();
    let message = context.demand.message(host);
    let Some(reply) = post(context, client, host, &message).await else {
        return false;
    };
    context.demand.record_reply(sent_at, host, reply);
    true
}

/// Invites a host to take part.
async fn invite(context: &GatewayContext, host: &HostRecord) {
    let mut client = DemandSender::client(context);
    let _reply = post(context, &mut client, host, &context.demand.invitation()).await;
}

/// Sends a message to a host; returns the answer if there is one.
async fn post(
    context: &GatewayContext,
    client: &mut PersistentClient,
    host: &HostRecord,
    message: &DemandMessage,
) -> Option<DemandReply> {
    context.recorder.count("demand_messages_sent");
    match post_demand(client, host, message).await {
        Ok(answer) => {
            context.recorder.count_by("demand_bytes", answer.bytes as u64);
            Some(answer.reply)
        }
        Err(error) => {
            context.recorder.count("demand_messages_failed");
            tracing::info!(host = %host.host, zone = %host.zone, reason = error.0, "demand.not_answered");
            context.demand.record_failure(&host.host);
            None
        }
    }
}
