use std::time::Duration;

/// Number of tests that an endpoint must fail at each host that tests it itself.
const ROUNDS: u32 = 2;
/// Number of other hosts that are asked in each round. If half of all hosts lose their paths alike, one inquiry in 64 asks
/// none but these.
const HOSTS_PER_ROUND: usize = 3;
/// How many answers of other hosts must say that the endpoint is gone; all of them if there are fewer.
const REQUIRED_ANSWERS: u32 = 3;
/// Delay between the two rounds. Live endpoints reset some connections.
const ROUND_DELAY: Duration = Duration::from_millis(20);
/// Delay between the two rounds if connections to other endpoints are lost at the same time: the paths of all hosts may be
/// going down, and not all at the same moment.
const BURST_DELAY: Duration = Duration::from_millis(100);

/// What a host found when it tested an endpoint with new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointFinding {
    /// The endpoint answered.
    Reached,
    /// The endpoint refused or broke the connection. Of another host it also means that another endpoint of the group
    /// answered it.
    Gone,
    /// Neither is known.
    Unknown,
}

/// Decides whether an endpoint has crashed, from what this host and others find.
///
/// A host that loses its links sees the same as one whose endpoint crashes, and so do others that lose theirs with it. So
/// the endpoint must be gone in each of two rounds, for this host and for others that reach another endpoint, and may be
/// reached by none. This host's path is tested in between: if it is lost or comes back, one of the rounds shows it.
///
/// ```
/// use hollyhook_core::{CrashInquiry, EndpointFinding};
///
/// let mut inquiry = CrashInquiry::new(false, true);
/// for _round in 0..CrashInquiry::rounds() {
///     inquiry.add_own(EndpointFinding::Gone);
///     inquiry.add_answer(EndpointFinding::Gone);
/// }
/// assert!(!inquiry.has_crashed());
/// inquiry.add_path_test(true);
/// assert!(inquiry.has_crashed());
/// inquiry.add_answer(EndpointFinding::Reached);
/// assert!(!inquiry.has_crashed());
/// ```
#[derive(Debug, Clone)]
pub struct CrashInquiry {
    /// Whether this host's path to the endpoint is known to be lost, so that its own tests say nothing.
    is_path_lost: bool,
    has_other_hosts: bool,
    is_refuted: bool,
    /// The number of tests of this host that are still to be added.
    own_tests_left: u32,
    /// Answers of other hosts, and how many of them say that the endpoint is gone.
    answers: u32,
    answers_gone: u32,
}

impl CrashInquiry {
    /// An inquiry without findings.
    pub fn new(is_path_lost: bool, has_other_hosts: bool) -> Self {
        let own_tests_left = if is_path_lost { 0 } else { ROUNDS + 1 };
        Self { is_path_lost, has_other_hosts, is_refuted: false, own_tests_left, answers: 0, answers_gone: 0 }
    }

    /// The number of rounds of tests.
    pub fn rounds() -> u32 {
        ROUNDS
    }

    /// The number of other hosts to ask in each round, each round others if there are enough.
    pub fn hosts_per_round() -> usize {
        HOSTS_PER_ROUND
    }

    /// The delay between two rounds; `is_burst` if connections to other endpoints are lost at the same time.
    pub fn round_delay(is_burst: bool) -> Duration {
        if is_burst { BURST_DELAY } else { ROUND_DELAY }
    }

    /// Whether this host is to test the endpoint itself.
    pub fn needs_own_tests(&self) -> bool {
        !self.is_path_lost
    }

    /// Adds what this host found in a round.
    pub fn add_own(&mut self, finding: EndpointFinding) {
        self.own_tests_left = self.own_tests_left.saturating_sub(1);
        self.is_refuted |= finding != EndpointFinding::Gone;
    }

    /// Adds whether another endpoint of the group answered this host between the rounds.
    pub fn add_path_test(&mut self, is_answered: bool) {
        self.own_tests_left = self.own_tests_left.saturating_sub(1);
        self.is_refuted |= !is_answered;
    }

    /// Adds what another host found.
    pub fn add_answer(&mut self, finding: EndpointFinding) {
        self.answers += 1;
        self.answers_gone += u32::from(finding == EndpointFinding::Gone);
        self.is_refuted |= finding == EndpointFinding::Reached;
    }

    /// Whether further tests can't show that the endpoint has crashed.
    pub fn is_refuted(&self) -> bool {
        self.is_refuted
    }

    /// How many answers of other hosts say that the endpoint is gone, and how many there are.
    pub fn answers(&self) -> (u32, u32) {
        (self.answers_gone, self.answers)
    }

    /// Whether the endpoint has crashed, as far as all findings tell.
    ///
    /// A host that knows others, of which none can be asked now, can't tell.
    pub fn has_crashed(&self) -> bool {
        let is_confirmed = if self.has_other_hosts {
            self.answers > 0 && self.answers_gone >= REQUIRED_ANSWERS.min(self.answers)
        } else {
            !self.is_path_lost
        };
        !self.is_refuted && self.own_tests_left == 0 && is_confirmed
    }
}
