use std::time::Duration;

use rand::Rng;

use crate::TimePoint;

/// The part of a limit that all hosts together use. Their slots overlap by chance, and each learns of others late.
const USED_SHARE: f64 = 0.8;
/// How long a slot may be used after it has come. Kept for longer, the unused ones of many hosts would add up to a burst.
const SLOT_LIFE: Duration = Duration::from_secs(1);
/// The least rate, in requests a second, that is taken for a limit: an endpoint that gets nothing can't say that its limit has
/// ended.
const LEAST_RATE: f64 = 0.1;

/// This host's share of the requests a second that an endpoint takes from all hosts together.
///
/// Each host has a slot for one request every so many seconds, as its share of the rate is, and begins at a time drawn at
/// random. An unused slot is lost after a second. So the requests of all hosts in some seconds stay near the limit, whatever
/// the number of hosts and however uneven their load, without a message between them.
///
/// ```
/// use hollyhook_core::{RateShare, TimePoint};
/// use rand_pcg::{Pcg64, rand_core::SeedableRng};
///
/// let start = TimePoint::from_millis(1);
/// let mut share = RateShare::new(start, 2.0, 8, &mut Pcg64::seed_from_u64(1));
/// let open_at = start + share.opens_in(start);
/// assert!(share.try_use(open_at));
/// assert!(!share.try_use(open_at));
/// ```
#[derive(Debug)]
pub struct RateShare {
    rate: f64,
    interval: Duration,
    slot_at: TimePoint,
}

impl RateShare {
    /// One host's share of `rate` requests a second, of so many hosts.
    pub fn new(now: TimePoint, rate: f64, hosts: usize, rng: &mut impl Rng) -> Self {
        let interval = interval(rate, hosts);
        Self { rate, interval, slot_at: now + interval.mul_f64(rng.random::<f64>()) }
    }

    /// The rate of which this is a share, in requests a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Takes another rate, or another number of hosts. A slot that is as near as before stays where it is.
    pub fn update(&mut self, now: TimePoint, rate: f64, hosts: usize) {
        self.rate = rate;
        self.interval = interval(rate, hosts);
        self.slot_at = self.slot_at.min(now + self.interval);
    }

    /// How long until a request may be sent; zero if one may be sent now.
    pub fn opens_in(&self, now: TimePoint) -> Duration {
        self.next_slot(now).since(now)
    }

    /// Whether a request may be sent now; if so, the slot is used.
    pub fn try_use(&mut self, now: TimePoint) -> bool {
        let slot_at = self.next_slot(now);
        if slot_at > now {
            return false;
        }
        self.slot_at = slot_at + self.interval;
        true
    }

    /// When the oldest slot came that is not lost yet, or the next one comes.
    fn next_slot(&self, now: TimePoint) -> TimePoint {
        let overdue = now.since(self.slot_at + SLOT_LIFE);
        if overdue.is_zero() {
            return self.slot_at;
        }
        let lost = overdue.as_secs_f64() / self.interval.as_secs_f64();
        self.slot_at + self.interval.mul_f64(lost.ceil())
    }
}

/// The time between two slots of one host.
fn interval(rate: f64, hosts: usize) -> Duration {
    let interval = Duration::from_secs_f64(hosts.max(1) as f64 / (rate.max(LEAST_RATE) * USED_SHARE));
    interval.max(Duration::from_micros(1))
}
