use std::collections::BTreeMap;
use std::time::Duration;

use super::quota_usage::QuotaUsage;
use super::slot_points::SlotPoints;
use super::{QuotaLoan, QuotaPart, QuotaTotals};
use crate::route::slot_weight;
use crate::{EndpointId, HostPosition, Name, TimePoint};

/// How long a loan lasts. The borrower counts from its question and the lender from its later answer, so that a part is
/// never used by both, whatever their clocks say. A host that is lost holds what it has borrowed for no longer.
pub(super) const LOAN_TIME: Duration = Duration::from_millis(1_200);
/// Loans that end within this time are asked for again.
pub(super) const RENEWAL_TIME: Duration = Duration::from_millis(600);
/// The requests that a lender's remaining quota must admit in a second, so that it can serve a caller that comes to it.
const KEPT_SENDS: f64 = 2.5;
/// Bounds of the fraction of its quota that a lender keeps for that purpose; the lower one holds for slots, too.
const MIN_KEPT: f64 = 0.2;
const MAX_KEPT: f64 = 0.6;
/// A lender keeps this multiple of the rate that it used: only a part of each limit is used at all, and callers come at random.
const KEPT_FACTOR: f64 = 2.0;
/// The least that a lender keeps which has just had to hold a request back.
const KEPT_WHEN_SHORT: f64 = 0.5;
/// The smallest part without a slot that is worth a loan, as a fraction of a host's quota.
const MIN_LENT: f64 = 0.02;
/// Fraction of a slot that is a rounding error of a fraction of a quota.
const ROUNDING: f64 = 1e-6;
/// How long after it had to hold back a request a host lends less, and asks for more than it has.
const SHORTAGE_TIME: Duration = Duration::from_millis(600);

/// Whether this host has a loan of another, in the order in which others are asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LoanState {
    /// A loan that ends within [`RENEWAL_TIME`].
    Ending,
    None,
    Lasting,
}

/// This host's quota at one service, with what it has lent and borrowed.
#[derive(Debug, Default)]
pub(super) struct ServiceQuota {
    pub(super) usage: QuotaUsage,
    lent: BTreeMap<Name, TimedPart>,
    borrowed: BTreeMap<Name, TimedLoan>,
    /// When a request last had to wait for a slot of this host.
    waited_at: Option<TimePoint>,
    /// When a request was last refused since this host's share of the rate limits was used up.
    refused_at: Option<TimePoint>,
}

#[derive(Debug, Clone, Copy)]
struct TimedPart {
    part: QuotaPart,
    until: TimePoint,
}

#[derive(Debug, Clone, Copy)]
struct TimedLoan {
    loan: QuotaLoan,
    until: TimePoint,
}

impl ServiceQuota {
    /// Records that a request waits since all slots of this host are in use.
    pub(super) fn record_wait(&mut self, now: TimePoint) {
        self.waited_at = Some(now);
    }

    /// Counts a request that is refused since this host's share of the rate limits is used up.
    pub(super) fn count_refusal(&mut self, now: TimePoint) {
        self.refused_at = Some(now);
        self.usage.count_refusal(now);
    }

    /// Whether a request waited for a slot within [`SHORTAGE_TIME`].
    pub(super) fn is_short_of_slots(&self, now: TimePoint) -> bool {
        self.waited_at.is_some_and(|at| now.since(at) < SHORTAGE_TIME)
    }

    /// Whether a request was held back within [`SHORTAGE_TIME`].
    pub(super) fn is_short(&self, now: TimePoint) -> bool {
        self.is_short_of_slots(now) || self.refused_at.is_some_and(|at| now.since(at) < SHORTAGE_TIME)
    }

    pub(super) fn has_borrowed(&self, now: TimePoint) -> bool {
        self.borrowed.values().any(|borrowed| now < borrowed.until)
    }

    /// What this host has borrowed from another, as a fraction of the other's quota.
    pub(super) fn borrowed_from(&self, now: TimePoint, lender: &str) -> f64 {
        self.borrowed.get(lender).filter(|borrowed| now < borrowed.until).map_or(0.0, |known| known.loan.part.size())
    }

    /// Whether this host has a loan of another.
    pub(super) fn loan_state(&self, now: TimePoint, lender: &str) -> LoanState {
        if self.borrowed_from(now + RENEWAL_TIME, lender) > 0.0 {
            LoanState::Lasting
        } else if self.borrowed_from(now, lender) > 0.0 {
            LoanState::Ending
        } else {
            LoanState::None
        }
    }

    /// The fraction of the limits that this host may use at `at`, with the loans that it has now.
    pub(super) fn share(&self, at: TimePoint, own: HostPosition) -> f64 {
        let borrowed = self.borrowed.values().filter(|borrowed| at < borrowed.until);
        let borrowed: f64 = borrowed.map(|known| known.loan.part.size() * known.loan.position.equal_share()).sum();
        (1.0 - self.lent_at(at)) * own.equal_share() + borrowed
    }

    fn lent_at(&self, at: TimePoint) -> f64 {
        self.lent.values().filter(|lent| at < lent.until).map(|lent| lent.part.size()).sum()
    }

    /// How many of an endpoint's slots this host may use.
    pub(super) fn slots(&self, now: TimePoint, own: HostPosition, endpoint: &str, capacity: u32) -> u32 {
        if self.lent.is_empty() && self.borrowed.is_empty() {
            return own.own_slots(endpoint, capacity);
        }
        let is_lent = |point: f64| self.lent.values().any(|lent| now < lent.until && lent.part.contains(point));
        let kept = count_slots(own, endpoint, capacity, |point| !is_lent(point));
        let borrowed = self.borrowed.values().filter(|borrowed| now < borrowed.until).map(|borrowed| {
            let QuotaLoan { position, part } = borrowed.loan;
            count_slots(position, endpoint, capacity, |point| part.contains(point))
        });
        kept + borrowed.sum::<u32>()
    }

    /// How many slots this host may use at `at`, with the loans that it has now.
    pub(super) fn held_slots(&self, at: TimePoint, own: HostPosition, totals: &QuotaTotals) -> f64 {
        if !totals.has_few_slots(own) {
            return self.share(at, own) * totals.slot_count();
        }
        let of_endpoint = |(endpoint, capacity): &(EndpointId, u32)| self.slots(at, own, endpoint, *capacity);
        totals.slots.iter().map(of_endpoint).sum::<u32>().into()
    }

    /// Lends a part of this host's quota, at most the fraction `wanted` and the rest of a slot; `None` if it has none to
    /// spare.
    ///
    /// A part that the borrower still has is never made smaller: it may be using it.
    pub(super) fn lend(
        &mut self,
        now: TimePoint,
        borrower: &Name,
        wanted: f64,
        own: HostPosition,
        totals: &QuotaTotals,
    ) -> Option<QuotaPart> {
        self.lent.retain(|_, lent| now < lent.until);
        let points = SlotPoints::new(own, &totals.slots);
        let kept = self.kept_rate(now, own, totals).max(self.kept_slots(now, &points, totals));
        let known = self.lent.get(borrower).map(|lent| lent.part);
        let others: Vec<QuotaPart> =
            self.lent.iter().filter(|(host, _)| *host != borrower).map(|(_, lent)| lent.part).collect();
        let slots = (wanted * points.len() as f64 - ROUNDING).ceil() as usize;
        let part = match known {
            Some(known) => extend(known, wanted, slots, &points, kept, &others),
            None => take(largest_gap(kept, &others, &points), wanted, slots, &points),
        };
        let has_rate = (totals.rate > 0.0 || totals.slots.is_empty()) && part.size() >= MIN_LENT;
        if part.from < kept || !(has_rate || points.count_in(part) > 0) {
            return None;
        }
        self.lent.insert(Name::clone(borrower), TimedPart { part, until: now + LOAN_TIME });
        Some(part)
    }

    /// The fraction of its quota that this host keeps for its own requests to endpoints with a rate limit.
    fn kept_rate(&self, now: TimePoint, own: HostPosition, totals: &QuotaTotals) -> f64 {
        let least = if self.is_short(now) { KEPT_WHEN_SHORT } else { MIN_KEPT };
        if totals.rate <= 0.0 {
            return if totals.slots.is_empty() { least } else { 0.0 };
        }
        let count = own.count.max(1) as f64;
        let of_one = (KEPT_SENDS * count / totals.rate).min(MAX_KEPT);
        (self.usage.sent(now, totals) * count * KEPT_FACTOR).max(least).max(of_one)
    }

    /// The end of the part with the slots that this host keeps for its own requests.
    ///
    /// The most that were open at a time are a peak already. A single slot that is idle is lent: where hosts have no more
    /// than that, a host that has callers gets a second one only from those that have none.
    fn kept_slots(&self, now: TimePoint, points: &SlotPoints, totals: &QuotaTotals) -> f64 {
        if totals.slots.is_empty() {
            return 0.0;
        }
        let least = match points.len() {
            _ if self.is_short_of_slots(now) => KEPT_WHEN_SHORT,
            1 => 0.0,
            _ => MIN_KEPT,
        };
        let least = (least * points.len() as f64).ceil() as usize;
        points.end_of_first(least.max(self.usage.lately_open(now) as usize))
    }

    /// Adds a loan that was asked for at `asked_at`; a later loan of the same lender replaces an earlier one.
    pub(super) fn add_loan(&mut self, asked_at: TimePoint, lender: &Name, loan: QuotaLoan) {
        self.borrowed.retain(|_, borrowed| asked_at < borrowed.until);
        self.borrowed.insert(Name::clone(lender), TimedLoan { loan, until: asked_at + LOAN_TIME });
    }
}

/// A part grown to the size `wanted` and to a number of slots, as far as the parts of others and what the lender keeps
/// allow.
fn extend(
    known: QuotaPart,
    wanted: f64,
    slots: usize,
    points: &SlotPoints,
    kept: f64,
    others: &[QuotaPart],
) -> QuotaPart {
    let above = others.iter().map(|part| part.from).filter(|from| *from >= known.to).fold(1.0, f64::min);
    let below = others.iter().map(|part| part.to).filter(|to| *to <= known.from).fold(kept, f64::max);
    let to = above.min(known.from + wanted).max(known.to);
    let from = below.max(to - wanted).min(known.from);
    points.grow_down(QuotaPart { from, to }, slots, below)
}

/// The part above `kept` that is not lent and has the most slots, or else the largest.
fn largest_gap(kept: f64, others: &[QuotaPart], points: &SlotPoints) -> QuotaPart {
    let mut parts = others.to_vec();
    parts.sort_by(|a, b| a.from.total_cmp(&b.from));
    let begins = std::iter::once(kept).chain(parts.iter().map(|part| part.to));
    let ends = parts.iter().map(|part| part.from).chain(std::iter::once(1.0));
    let gaps = begins.zip(ends).map(|(from, to)| QuotaPart { from: from.max(kept), to });
    let by_size = |a: &QuotaPart, b: &QuotaPart| {
        points.count_in(*a).cmp(&points.count_in(*b)).then(a.size().total_cmp(&b.size()))
    };
    gaps.max_by(by_size).unwrap_or(QuotaPart { from: 1.0, to: 1.0 })
}

/// The upper end of a gap, of the size `wanted` or with as many slots, whichever is more.
fn take(gap: QuotaPart, wanted: f64, slots: usize, points: &SlotPoints) -> QuotaPart {
    let part = QuotaPart { from: gap.from.max(gap.to - wanted), ..gap };
    points.grow_down(part, slots, gap.from)
}

/// The number of a host's slots at an endpoint whose points in the unit interval satisfy `is_held`.
fn count_slots(position: HostPosition, endpoint: &str, capacity: u32, is_held: impl Fn(f64) -> bool) -> u32 {
    let slots = position.own_slots(endpoint, capacity);
    (0..slots).filter(|slot| is_held(slot_weight(endpoint, position.index, *slot))).count() as u32
}
