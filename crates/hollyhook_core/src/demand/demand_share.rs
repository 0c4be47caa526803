use std::collections::BTreeMap;
use std::time::Duration;

/// The fraction of the endpoints' capacity that hosts use together. The rest is a margin for requests that arrive at
/// the same moment.
const USED_CAPACITY: f64 = 0.95;
/// Minimum fraction of the capacity for each priority below the most urgent one, so that none starves.
const MINIMUM_SHARE: f64 = 0.02;
/// Maximum fraction of the capacity for all these minimum shares together, so that at least 0.95 of the requests of a
/// more urgent priority are served while they alone fit the capacity.
const MAX_MINIMUM_SHARES: f64 = 0.04;

/// The number of calls per second that all hosts together may send to endpoints with `slots` slots in total, if a call
/// that does not wait in a queue takes `call_time`.
pub fn service_capacity(slots: u64, call_time: Duration) -> f64 {
    USED_CAPACITY * slots as f64 / call_time.as_secs_f64()
}

/// The fraction of each priority's requests that every host sends, from the demand at all hosts and the capacity.
///
/// Each priority gets a minimum share, and the rest goes to the most urgent ones first. No priority gets a larger
/// fraction than a more urgent one.
///
/// ```
/// use hollyhook_core::DemandShare;
///
/// let share = DemandShare::new(&[(0, 60.0), (1, 60.0), (2, 60.0)].into(), 100.0);
/// assert_eq!(share.fraction(0), 1.0);
/// assert!((share.fraction(1) - 38.0 / 60.0).abs() < 1e-9);
/// assert!((share.fraction(2) - 2.0 / 60.0).abs() < 1e-9);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct DemandShare {
    fractions: BTreeMap<u8, f64>,
    pressure: f64,
}

/// Priorities that get the same fraction.
#[derive(Debug)]
struct PriorityGroup {
    priorities: Vec<u8>,
    rate: f64,
    granted: f64,
}

impl DemandShare {
    /// Divides `capacity` among the priorities with these requests per second.
    pub fn new(rates: &BTreeMap<u8, f64>, capacity: f64) -> Self {
        let demand: f64 = rates.values().sum();
        let mut groups: Vec<PriorityGroup> = Vec::new();
        for group in Self::grant(rates, capacity) {
            groups.push(group);
            merge_inverted(&mut groups);
        }
        let fractions = groups.iter().flat_map(|group| group.priorities.iter().map(|it| (*it, group.fraction())));
        Self { fractions: fractions.collect(), pressure: demand / capacity.max(f64::MIN_POSITIVE) }
    }

    /// Grants each priority its minimum share, and of the rest what more urgent priorities leave.
    fn grant(rates: &BTreeMap<u8, f64>, capacity: f64) -> Vec<PriorityGroup> {
        let rates: Vec<(u8, f64)> =
            rates.iter().filter(|(_, rate)| **rate > 0.0).map(|(key, rate)| (*key, *rate)).collect();
        let lower = rates.len().saturating_sub(1).max(1);
        let minimum = capacity * MINIMUM_SHARE.min(MAX_MINIMUM_SHARES / lower as f64);
        let reserved: f64 = rates.iter().skip(1).map(|(_, rate)| rate.min(minimum)).sum();
        let mut left = (capacity - reserved).max(0.0);
        let granted = rates.into_iter().enumerate().map(|(index, (priority, rate))| {
            let base = if index == 0 { 0.0 } else { rate.min(minimum) };
            let extra = (rate - base).min(left);
            left -= extra;
            PriorityGroup { priorities: vec![priority], rate, granted: base + extra }
        });
        granted.collect()
    }

    /// The fraction of a priority's requests that a host sends.
    ///
    /// A priority without measured demand gets 1.0 unless more urgent ones use up the capacity.
    pub fn fraction(&self, priority: u8) -> f64 {
        if let Some(fraction) = self.fractions.get(&priority) {
            return *fraction;
        }
        let more_urgent = self.fractions.range(..priority).next_back().map_or(1.0, |(_, fraction)| *fraction);
        let less_urgent = self.fractions.range(priority..).next().map(|(_, fraction)| *fraction);
        if more_urgent >= 1.0 { 1.0 } else { less_urgent.unwrap_or(more_urgent) }
    }

    /// The fractions of the priorities with measured demand.
    pub fn fractions(&self) -> &BTreeMap<u8, f64> {
        &self.fractions
    }

    /// The demand as a fraction of the capacity.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }
}

impl PriorityGroup {
    fn fraction(&self) -> f64 {
        (self.granted / self.rate).min(1.0)
    }
}

/// Merges the last groups until none has a larger fraction than the group before it, as a less urgent priority with
/// little demand would have by its minimum share.
fn merge_inverted(groups: &mut Vec<PriorityGroup>) {
    while let [.., before, last] = &mut **groups
        && last.fraction() > before.fraction()
    {
        before.priorities.append(&mut last.priorities);
        before.rate += last.rate;
        before.granted += last.granted;
        groups.pop();
    }
}
