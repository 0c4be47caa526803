use std::sync::Arc;

use futures::future::join_all;
use hollyhook_core::{CrashInquiry, EndpointFinding, HostRecord, Name};

use crate::gateway::GatewayContext;
use crate::path::{ConnectionProbe, EndpointTarget, ProbeOutcome, RemoteFinding};

/// The tests that tell a crashed endpoint from a lost path.
pub(super) struct EndpointCheck {
    context: Arc<GatewayContext>,
    target: EndpointTarget,
    probe: ConnectionProbe,
    /// Other endpoints, by which a path is tested.
    siblings: Vec<EndpointTarget>,
    inquiry: CrashInquiry,
    /// The other hosts that were asked.
    asked: Vec<Name>,
}

impl EndpointCheck {
    pub(super) fn new(context: &Arc<GatewayContext>, target: &EndpointTarget) -> Self {
        let is_path_lost = context.paths.is_lost(&target.group);
        Self {
            context: Arc::clone(context),
            target: target.clone(),
            probe: ConnectionProbe::for_service(context, &target.group.service),
            siblings: context.connector.siblings(target),
            inquiry: CrashInquiry::new(is_path_lost, context.paths.has_other_hosts()),
            asked: Vec::new(),
        }
    }

    /// Whether the endpoint has crashed, as far as this host and others can tell now.
    pub(super) async fn run(mut self) -> bool {
        for round in 0..CrashInquiry::rounds() {
            if round > 0 {
                self.wait_for_next_round().await;
            }
            self.run_round(round).await;
            if self.inquiry.is_refuted() {
                break;
            }
        }
        let has_crashed = self.inquiry.has_crashed();
        let (gone_for, asked) = self.inquiry.answers();
        let is_path_lost = !self.inquiry.needs_own_tests();
        tracing::info!(endpoint = %self.target.id, zone = %self.target.group.zone, has_crashed, gone_for, asked,
            is_path_lost, "crash.checked");
        has_crashed
    }

    async fn wait_for_next_round(&self) {
        let timer = &self.context.timer;
        let delay = CrashInquiry::round_delay(false);
        timer.wait(delay).await;
        if self.context.crash_checks.count() > 1 {
            timer.wait(CrashInquiry::round_delay(true).saturating_sub(delay)).await;
        }
    }

    async fn run_round(&mut self, round: u32) {
        if self.inquiry.needs_own_tests() {
            if round > 0 {
                let has_path = self.has_path().await || !self.context.paths.has_other_hosts();
                self.inquiry.add_path_test(has_path);
            }
            if !self.inquiry.is_refuted() {
                self.inquiry.add_own(self.test_directly().await);
            }
        }
        if !self.inquiry.is_refuted() {
            self.ask_hosts().await;
        }
    }

    /// What this host finds itself.
    async fn test_directly(&self) -> EndpointFinding {
        match self.probe.test_directly(&self.context, &self.target).await {
            ProbeOutcome::Answered => EndpointFinding::Reached,
            ProbeOutcome::Broken => EndpointFinding::Gone,
            ProbeOutcome::Silent => EndpointFinding::Unknown,
        }
    }

    /// Whether a sibling answers this host. Also true if there is none.
    async fn has_path(&self) -> bool {
        self.siblings.is_empty() || self.probe.is_any_answered(&self.context, &self.siblings).await
    }

    /// Asks other hosts, at the same time; those of the round before only if there are no others.
    async fn ask_hosts(&mut self) {
        let mut hosts = Vec::new();
        while hosts.len() < CrashInquiry::hosts_per_round() {
            let Some(host) = self.choose_host(&hosts) else {
                break;
            };
            hosts.push(host);
        }
        let findings = join_all(hosts.iter().map(|host| self.ask(host))).await;
        for (host, finding) in hosts.into_iter().zip(findings) {
            if finding == EndpointFinding::Reached && self.inquiry.needs_own_tests() {
                self.context.connector.record_bypassed(&self.target, &host.host);
            }
            self.inquiry.add_answer(finding);
            self.asked.push(host.host);
        }
    }

    /// Chooses a host that is not among `chosen`, if possible one that was not asked before.
    fn choose_host(&self, chosen: &[HostRecord]) -> Option<HostRecord> {
        let chosen: Vec<Name> = chosen.iter().map(|host| Name::clone(&host.host)).collect();
        let known = [&*chosen, &*self.asked].concat();
        let connector = &self.context.connector;
        connector.choose_host(&known).or_else(|| connector.choose_host(&chosen))
    }

    /// What another host finds, which must reach a sibling to find the endpoint gone.
    async fn ask(&self, host: &HostRecord) -> EndpointFinding {
        let connection = match self.context.connector.connect_through(host, &self.target).await {
            Ok(connection) => connection,
            // Only a host that a sibling answers says so.
            Err(RemoteFinding::Unreachable) => return EndpointFinding::Gone,
            Err(_) => return EndpointFinding::Unknown,
        };
        match self.probe.test(&self.context, &self.target, connection).await {
            ProbeOutcome::Answered => EndpointFinding::Reached,
            ProbeOutcome::Broken if self.has_path_through(host).await => EndpointFinding::Gone,
            ProbeOutcome::Broken | ProbeOutcome::Silent => EndpointFinding::Unknown,
        }
    }

    /// Whether a sibling answers through another host. Also true if there is none.
    async fn has_path_through(&self, host: &HostRecord) -> bool {
        for sibling in &self.siblings {
            let Ok(connection) = self.context.connector.connect_through(host, sibling).await else {
                continue;
            };
            if self.probe.test(&self.context, sibling, connection).await == ProbeOutcome::Answered {
                return true;
            }
        }
        self.siblings.is_empty()
    }
}
