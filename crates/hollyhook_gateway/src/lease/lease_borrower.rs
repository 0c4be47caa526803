use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use hollyhook_core::{HostRecord, LeaseRound, Name};
use hollyhook_kernel::TimerService;

use super::lease_message::ask_owner;
use crate::gateway::GatewayContext;
use crate::net::PersistentClient;
use crate::sync::lock;

/// How often a host that has leases, or needs some, checks what to ask. Most calls take some 15 ms, and a slot that is not
/// used is to be given back in a fraction of that.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Idle connections that are kept to each owner.
const MAX_IDLE: usize = 2;

/// Whether a task of this host asks for leases, and its connections to owners.
#[derive(Debug, Default)]
pub(crate) struct LeaseState {
    is_running: AtomicBool,
    idle: Mutex<BTreeMap<Name, Vec<PersistentClient>>>,
}

impl LeaseState {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "leasing";

    fn take_client(&self, owner: &Name, timer: &TimerService) -> PersistentClient {
        let kept = lock(&self.idle).get_mut(owner).and_then(Vec::pop);
        kept.unwrap_or_else(|| PersistentClient::new(timer.clone()))
    }

    fn keep_client(&self, owner: &Name, client: PersistentClient) {
        let mut idle = lock(&self.idle);
        let kept = idle.entry(Name::clone(owner)).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(client);
        }
    }

    fn drop_others(&self, owners: &[Name]) {
        lock(&self.idle).retain(|owner, _| owners.contains(owner));
    }
}

/// Leases slots and sends from their owners while requests need them here, and gives them back.
#[derive(Debug)]
pub(crate) struct LeaseBorrower {
    context: Arc<GatewayContext>,
}

impl LeaseBorrower {
    /// Starts to ask for leases if this host needs some and no task does so.
    pub(crate) fn spawn_if_needed(context: &Arc<GatewayContext>) {
        let state = &context.leasing;
        if state.is_running.load(Ordering::Acquire) || !context.endpoints.table().is_leasing_due(context.timer.now()) {
            return;
        }
        if !state.is_running.swap(true, Ordering::AcqRel) {
            let borrower = Self { context: Arc::clone(context) };
            borrower.begin_rounds();
            task::spawn(borrower.run());
        }
    }

    async fn run(self) {
        let context = &self.context;
        while context.endpoints.table().is_leasing_due(context.timer.now()) {
            context.timer.wait(CHECK_INTERVAL).await;
            self.begin_rounds();
        }
        let hosts: Vec<Name> = context
            .feed
            .with_topology(|topology| topology.other_hosts().map(|record| Name::clone(&record.host)).collect());
        context.leasing.drop_others(&hosts);
        context.leasing.is_running.store(false, Ordering::Release);
        Self::spawn_if_needed(context);
    }

    /// Asks the owners of whom something is due, without waiting for their answers.
    fn begin_rounds(&self) {
        let rounds = self.context.endpoints.table().begin_leases(self.context.timer.now(), &mut rand::rng());
        for round in rounds {
            task::spawn(ask(Arc::clone(&self.context), round));
        }
    }
}

/// Asks one owner and records its answer.
async fn ask(context: Arc<GatewayContext>, round: LeaseRound) {
    let known = context
        .feed
        .with_topology(|topology| topology.other_hosts().find(|record| record.host == round.owner).cloned());
    let answers = match known {
        Some(owner) => ask_at(&context, &owner, &round).await,
        None => None,
    };
    context.endpoints.table().record_leases(context.timer.now(), &round, answers.as_deref());
}

async fn ask_at(context: &GatewayContext, owner: &HostRecord, round: &LeaseRound) -> Option<Vec<u32>> {
    context.recorder.count("lease_questions_asked");
    let mut client = context.leasing.take_client(&owner.host, &context.timer);
    match ask_owner(&mut client, &context.host, owner, round).await {
        Ok(leased) => {
            context.leasing.keep_client(&owner.host, client);
            let refused = leased.iter().zip(&round.questions).filter(|(leased, question)| **leased < question.wanted);
            (0..refused.count()).for_each(|_| context.recorder.count("lease_questions_refused"));
            Some(leased)
        }
        Err(error) => {
            context.recorder.count("lease_questions_not_answered");
            tracing::debug!(host = %owner.host, reason = error.0, "lease.not_answered");
            None
        }
    }
}
