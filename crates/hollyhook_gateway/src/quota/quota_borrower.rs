use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::task;
use futures::future::{join, join_all};
use hollyhook_core::{HostRecord, Name, QuotaLoan, QuotaRound};

use super::quota_message::{LoanQuestion, ask_loan};
use crate::gateway::GatewayContext;

/// How often a host that borrows checks whether it has to ask again.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Change of the share of a service's limits from which a line is logged, as a factor.
const LOGGED_CHANGE: f64 = 1.5;

/// Whether a task of this host borrows quota.
#[derive(Debug, Default)]
pub(crate) struct BorrowState {
    is_running: AtomicBool,
}

impl BorrowState {
    /// The name that the service is registered under.
    pub(crate) const NAME: &'static str = "borrowing";
}

/// Borrows quota from other hosts while requests are held back here for want of it.
#[derive(Debug)]
pub(crate) struct QuotaBorrower {
    context: Arc<GatewayContext>,
    /// The shares that were logged last, by service.
    logged: BTreeMap<Name, f64>,
}

impl QuotaBorrower {
    /// Starts to borrow if this host lacks quota and no task does so.
    pub(crate) fn spawn_if_needed(context: &Arc<GatewayContext>) {
        let now = context.timer.now();
        let state = &context.borrowing;
        if state.is_running.load(Ordering::Acquire) || !context.endpoints.table().is_borrowing(now) {
            return;
        }
        if !state.is_running.swap(true, Ordering::AcqRel) {
            task::spawn(Self { context: Arc::clone(context), logged: BTreeMap::new() }.run());
        }
    }

    async fn run(mut self) {
        while self.context.endpoints.table().is_borrowing(self.context.timer.now()) {
            let others: Vec<HostRecord> =
                self.context.feed.with_topology(|topology| topology.other_hosts().cloned().collect());
            let rounds = {
                let now = self.context.timer.now();
                self.context.endpoints.table().begin_borrowing(now, &others, &mut rand::rng())
            };
            // Loans may be made and end while questions are under way.
            join(join_all(rounds.iter().map(|round| self.ask(round))), self.context.timer.wait(CHECK_INTERVAL)).await;
            for round in &rounds {
                self.log_share(&round.service);
            }
        }
        tracing::info!("quota.borrowing_ended");
        self.context.borrowing.is_running.store(false, Ordering::Release);
        Self::spawn_if_needed(&self.context);
    }

    async fn ask(&self, round: &QuotaRound) {
        let asked_at = self.context.timer.now();
        let asks = round.asks.iter().map(|(lender, wanted)| self.ask_one(&round.service, lender, *wanted));
        let answers: Vec<(Name, Option<QuotaLoan>)> = join_all(asks).await;
        let now = self.context.timer.now();
        self.context.endpoints.table().record_loans(now, asked_at, &round.service, &answers);
    }

    async fn ask_one(&self, service: &Name, lender: &HostRecord, wanted: f64) -> (Name, Option<QuotaLoan>) {
        self.context.recorder.count("quota_loans_asked");
        let question = LoanQuestion { host: Name::clone(&self.context.host), service: Name::clone(service), wanted };
        let loan = match ask_loan(&self.context.timer, lender, &question).await {
            Ok(loan) => loan,
            Err(error) => {
                self.context.recorder.count("quota_loans_not_answered");
                tracing::debug!(host = %lender.host, reason = error.0, "quota.not_answered");
                None
            }
        };
        (Name::clone(&lender.host), loan)
    }

    fn log_share(&mut self, service: &Name) {
        let share = self.context.endpoints.table().quota_share(self.context.timer.now(), service);
        let before = self.logged.get(service).copied().unwrap_or_default();
        if share > before * LOGGED_CHANGE || share * LOGGED_CHANGE < before {
            tracing::info!(%service, share, "quota.borrowed");
            self.logged.insert(Name::clone(service), share);
        }
    }
}
