use std::time::Duration;

use rand::Rng;

use crate::TimePoint;

/// The fraction of a limit that all hosts together use: their slots coincide by chance, and each host learns late how
/// many hosts share the limit.
const USED_SHARE: f64 = 0.8;
/// How long a slot may be used after it opens. If it stayed valid for longer, the unused slots of many hosts would add
/// up to a burst.
const SLOT_LIFETIME: Duration = Duration::from_secs(1);
/// The lowest rate that is enforced, in requests per second: an endpoint that gets no requests can't state that its
/// limit has ended.
const MIN_RATE: f64 = 0.1;

/// The lowest share of a host that is used, as a multiple of an equal one.
const MIN_FACTOR: f64 = 1e-3;

/// This host's share of an endpoint's rate limit, which holds for all hosts together.
///
/// Each host has a slot for one request at a fixed interval, given by its share of the rate; the first slot opens at a
/// random time. An unused slot expires after a second. Over a few seconds, the requests of all hosts therefore stay
/// near the limit, whatever the number of hosts and however uneven their load, without any messages between hosts.
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
    hosts: usize,
    /// This host's share as a multiple of an equal one.
    factor: f64,
    interval: Duration,
    slot_at: TimePoint,
    /// What was leased, where the limit is not divided.
    leased: Option<LeasedSends>,
}

/// Requests that may be sent until a time.
#[derive(Debug, Clone, Copy, Default)]
struct LeasedSends {
    count: u32,
    until: TimePoint,
    /// Until when the divided share may be used, too.
    divided_until: TimePoint,
}

impl LeasedSends {
    fn left(self, now: TimePoint) -> u32 {
        if now < self.until { self.count } else { 0 }
    }
}

impl RateShare {
    /// The share of one of `hosts` hosts in a limit of `rate` requests per second.
    pub fn new(now: TimePoint, rate: f64, hosts: usize, rng: &mut impl Rng) -> Self {
        let interval = interval(rate, hosts, 1.0);
        Self { rate, hosts, factor: 1.0, interval, slot_at: now + interval.mul_f64(rng.random::<f64>()), leased: None }
    }

    /// The rate limit for all hosts together, in requests per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate limit or the number of hosts. The next slot moves only if it is more than one new interval
    /// away.
    pub fn update(&mut self, now: TimePoint, rate: f64, hosts: usize) {
        self.rate = rate;
        self.hosts = hosts;
        self.set_interval(now);
    }

    /// Changes this host's share, which is a multiple of an equal one.
    pub fn set_factor(&mut self, now: TimePoint, factor: f64) {
        self.factor = factor;
        self.set_interval(now);
    }

    fn set_interval(&mut self, now: TimePoint) {
        // Slots of the earlier share that were not used expire with it.
        self.slot_at = self.next_slot(now);
        self.interval = interval(self.rate, self.hosts, self.factor);
        self.slot_at = self.slot_at.min(now + self.interval);
    }

    /// Sets whether sends are leased rather than divided; the first leased ones are still to come.
    pub fn set_leased(&mut self, is_leased: bool) {
        if is_leased != self.leased.is_some() {
            self.leased = is_leased.then(LeasedSends::default);
        }
    }

    /// Adds leased sends, which may be used until `until`.
    pub fn add_leased(&mut self, now: TimePoint, count: u32, until: TimePoint) {
        if let Some(leased) = &mut self.leased {
            *leased = LeasedSends { count: leased.left(now) + count, until, ..*leased };
        }
    }

    /// Allows the divided share beside what is leased, until `until`.
    pub fn allow_divided(&mut self, until: TimePoint) {
        if let Some(leased) = &mut self.leased {
            leased.divided_until = until;
        }
    }

    /// The leased sends that have not been used.
    pub fn leased_left(&self, now: TimePoint) -> u32 {
        self.leased.map_or(0, |leased| leased.left(now))
    }

    /// The time until a request may be sent; zero if one may be sent now. Where sends are leased, it is the interval at
    /// which the limit would allow them.
    pub fn opens_in(&self, now: TimePoint) -> Duration {
        match self.leased {
            Some(leased) if leased.left(now) > 0 => Duration::ZERO,
            Some(leased) if now >= leased.divided_until => self.interval,
            Some(_) | None => self.next_slot(now).since(now),
        }
    }

    /// Whether a request may be sent now; if so, uses up the slot.
    pub fn try_use(&mut self, now: TimePoint) -> bool {
        if let Some(leased) = &mut self.leased {
            if leased.left(now) > 0 {
                leased.count -= 1;
                return true;
            }
            if now >= leased.divided_until {
                return false;
            }
        }
        let slot_at = self.next_slot(now);
        if slot_at > now {
            return false;
        }
        self.slot_at = slot_at + self.interval;
        true
    }

    /// The opening time of the oldest slot that has not expired; it may lie in the future.
    fn next_slot(&self, now: TimePoint) -> TimePoint {
        let overdue = now.since(self.slot_at + SLOT_LIFETIME);
        if overdue.is_zero() {
            return self.slot_at;
        }
        let expired = overdue.as_secs_f64() / self.interval.as_secs_f64();
        self.slot_at + self.interval.mul_f64(expired.ceil())
    }
}

/// The interval between the slots of one host.
fn interval(rate: f64, hosts: usize, factor: f64) -> Duration {
    let used = rate.max(MIN_RATE) * USED_SHARE * factor.max(MIN_FACTOR);
    let interval = Duration::from_secs_f64(hosts.max(1) as f64 / used);
    interval.max(Duration::from_micros(1))
}
