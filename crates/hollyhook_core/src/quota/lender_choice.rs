use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use super::service_quota::LoanState;
use crate::{HostRecord, Name, TimePoint};

/// Time between two rounds of questions.
const ROUND_TIME: Duration = Duration::from_millis(150);
/// The longest time between two rounds, while no host has anything to lend.
const MAX_ROUND_TIME: Duration = Duration::from_secs(1);
/// Hosts that are asked in the first round, and at most in one round. What they lend together bounds how much of a limit
/// one host can have where hosts are many.
const FIRST_ASKED: usize = 16;
const MAX_ASKED: usize = 32;
/// Hosts that are asked in a round after rounds in which few lent anything.
const MIN_ASKED: usize = 4;
/// How long a host that lent nothing is not asked again.
const SKIP_TIME: Duration = Duration::from_millis(500);

/// Which hosts to ask for a part of their quota, and when.
///
/// While all hosts are short, nobody has anything to lend, and their questions must not add to the load: fewer hosts are
/// asked, less often.
#[derive(Debug)]
pub(super) struct LenderChoice {
    limit: usize,
    pause: Duration,
    next_round: TimePoint,
    /// Whether the last round asked only some of the hosts that it might have asked.
    is_partial: bool,
    skipped: BTreeMap<Name, TimePoint>,
}

impl Default for LenderChoice {
    fn default() -> Self {
        Self {
            limit: FIRST_ASKED,
            pause: ROUND_TIME,
            next_round: TimePoint::ZERO,
            is_partial: false,
            skipped: BTreeMap::new(),
        }
    }
}

impl LenderChoice {
    pub(super) fn is_due(&self, now: TimePoint) -> bool {
        now >= self.next_round
    }

    /// Chooses hosts to ask, in the order of the state of their loans and then at random.
    pub(super) fn choose(
        &mut self,
        now: TimePoint,
        others: &[&HostRecord],
        loan_state: impl Fn(&HostRecord) -> LoanState,
        rng: &mut impl Rng,
    ) -> Vec<HostRecord> {
        self.next_round = now + self.pause;
        self.is_partial = false;
        self.skipped.retain(|_, until| now < *until);
        let usable = others.iter().filter(|record| !self.skipped.contains_key(&record.host));
        let mut chosen: Vec<&HostRecord> = usable.copied().collect();
        chosen.shuffle(rng);
        chosen.sort_by_cached_key(|record| loan_state(record));
        chosen.truncate(self.limit);
        chosen.into_iter().cloned().collect()
    }

    /// Records that a host lent nothing.
    pub(super) fn skip(&mut self, now: TimePoint, host: &Name) {
        self.skipped.insert(Name::clone(host), now + SKIP_TIME);
    }

    /// Records that the hosts to ask are only some of those that were chosen, as many as it takes.
    pub(super) fn record_partial(&mut self) {
        self.is_partial = true;
    }

    /// Records how many of the asked hosts lent something.
    ///
    /// A round of few questions that yields nothing says little about how many hosts have something to lend.
    pub(super) fn record_round(&mut self, now: TimePoint, asked: usize, lent: usize) {
        let is_fruitful = lent * 2 >= asked && lent > 0;
        if is_fruitful {
            self.limit = (self.limit * 2).min(MAX_ASKED);
        } else if !self.is_partial || asked * 2 >= self.limit {
            self.limit = (self.limit / 2).max(MIN_ASKED);
        }
        if lent > 0 {
            self.pause = ROUND_TIME;
        } else if !self.is_partial || asked >= MIN_ASKED {
            self.pause = (self.pause * 2).min(MAX_ROUND_TIME);
        }
        self.next_round = now + self.pause;
    }
}
