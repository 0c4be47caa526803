use statrs::distribution::{Binomial, ContinuousCDF, DiscreteCDF, StudentsT};

use super::{TimeTally, TrialEvidence, VersionTally};

/// Answers of the target that are needed for a good verdict: a version that fails three requests in ten has at most two
/// failures among these once in 10,000 trials.
const MIN_ANSWERS: u32 = 40;
/// Answers of the target that are needed on each route with a major part of the service's answers.
const MIN_ROUTE_ANSWERS: u32 = 5;
/// Part of the service's answers above which a route is a major one.
const MAJOR_ROUTE_PART: f64 = 0.05;

/// Significance level at which a difference counts as a fault of the version. Low, since a trial is evaluated about
/// twenty times, on a few routes, for failures and two kinds of durations.
const SIGNIFICANCE: f64 = 0.000_1;
/// Significance level at which the difference has to remain when any one of the target's endpoints is left out.
const REST_SIGNIFICANCE: f64 = 0.05;

/// Errors of one kind of the target from which a difference counts even if it comes from one endpoint: callers should
/// not see more.
const MAX_ERRORS: u32 = 15;
/// Tolerated ratio of the target's error rate to that of the other versions, since their endpoints differ.
const FAILURE_FACTOR: f64 = 1.25;
/// Error rate that is tolerated in addition, also where the other versions never fail.
const FAILURE_MARGIN: f64 = 0.01;

/// Durations that either side needs for a comparison.
const MIN_DURATIONS: u32 = 8;
/// Tolerated ratio of the target's durations to those of the other versions: endpoints that have just started are
/// slower.
const SLOW_FACTOR: f64 = 1.6;

/// The way in which a version is worse than the other versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionFault {
    /// A larger share of its answers are failures.
    Failures,
    /// A larger share of its answers blame the request.
    ClientErrors,
    /// A larger share of its answers break off or never come.
    LostAnswers,
    /// Its answers, or the first events of its streams, take much longer.
    SlowAnswers,
    /// The events of its streams follow each other much more slowly.
    SlowStreams,
}

impl VersionFault {
    /// The name of the fault in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::ClientErrors => "client_errors",
            Self::LostAnswers => "lost_answers",
            Self::SlowAnswers => "slow_answers",
            Self::SlowStreams => "slow_streams",
        }
    }
}

/// The verdict on a version on trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionVerdict {
    /// Too few answers for a verdict.
    Open,
    /// Enough answers, and no fault found.
    Good,
    /// The version is worse than the other versions.
    Bad(VersionFault),
}

/// Evaluates the target of a roll-out by comparing the answers that all hosts counted with those of the other versions.
///
/// Compares all answers together and those of each route, since a version may fail on one route only. If the target has
/// several endpoints, a fault has to show without any one of them too, since an endpoint may be faulty by itself.
/// Lost answers are compared apart, see [`LossMatcher`](super::LossMatcher): a whole zone loses them at once.
pub fn evaluate_version(evidence: &TrialEvidence) -> VersionVerdict {
    let routes = evidence.routes();
    let slices =
        std::iter::once(evidence.clone()).chain(routes.iter().map(|name| evidence.on_routes(|route| route == *name)));
    for slice in slices {
        if let Some(fault) = find_fault(&slice) {
            return VersionVerdict::Bad(fault);
        }
    }
    if has_enough_answers(evidence) { VersionVerdict::Good } else { VersionVerdict::Open }
}

fn has_enough_answers(evidence: &TrialEvidence) -> bool {
    if evidence.target_answers() < MIN_ANSWERS {
        return false;
    }
    let total: u32 = evidence.others.values().map(|tally| tally.answers).sum();
    let major =
        evidence.others.iter().filter(|(_, tally)| f64::from(tally.answers) > MAJOR_ROUTE_PART * f64::from(total));
    major
        .map(|(name, _)| evidence.on_routes(|route| route == name))
        .all(|slice| slice.target_answers() >= MIN_ROUTE_ANSWERS)
}

/// Tests whether the target's tally (first) is worse than that of the other versions (second) at a significance level.
type Comparison = fn(&VersionTally, &VersionTally, f64) -> bool;

impl VersionFault {
    const ALL: [Self; 5] =
        [Self::Failures, Self::ClientErrors, Self::LostAnswers, Self::SlowAnswers, Self::SlowStreams];

    /// The comparison that shows the fault.
    fn comparison(self) -> Comparison {
        match self {
            Self::Failures => |target, others, level| {
                occurs_more((target.failures, target.answers), (others.failures, others.answers), level)
            },
            Self::ClientErrors => |target, others, level| {
                occurs_more((target.client_errors, target.answers), (others.client_errors, others.answers), level)
            },
            Self::LostAnswers => |target, others, level| {
                occurs_more((target.lost, target.compared), (others.lost, others.compared), level)
            },
            Self::SlowAnswers => |target, others, level| is_slower(&target.first, &others.first, level),
            Self::SlowStreams => |target, others, level| is_slower(&target.gap, &others.gap, level),
        }
    }

    /// The attempts that may show the fault.
    fn attempts(self, target: &VersionTally) -> u32 {
        match self {
            Self::LostAnswers => target.compared,
            Self::Failures | Self::ClientErrors | Self::SlowAnswers | Self::SlowStreams => target.answers,
        }
    }

    /// The errors of callers that this fault consists of; one endpoint's suffice from [`MAX_ERRORS`] on.
    fn errors(self, target: &VersionTally) -> u32 {
        match self {
            Self::Failures => target.failures,
            Self::ClientErrors => target.client_errors,
            // Not clearly the endpoint's own doing.
            Self::LostAnswers | Self::SlowAnswers | Self::SlowStreams => 0,
        }
    }
}

fn find_fault(slice: &TrialEvidence) -> Option<VersionFault> {
    let others: VersionTally = slice.others.values().sum();
    VersionFault::ALL.into_iter().find(|fault| shows_throughout(slice, &others, *fault))
}

/// Whether the target has the fault, and has it also when any one of its endpoints is left out; see [`MAX_ERRORS`].
fn shows_throughout(slice: &TrialEvidence, others: &VersionTally, fault: VersionFault) -> bool {
    let mut endpoints = slice.target_by_endpoint();
    // Without attempts an endpoint can't confirm the fault of another one.
    endpoints.retain(|_, tally| fault.attempts(tally) > 0);
    let target: VersionTally = endpoints.values().sum();
    let is_worse = fault.comparison();
    if !is_worse(&target, others, SIGNIFICANCE) {
        return false;
    }
    if endpoints.len() == 1 || fault.errors(&target) >= MAX_ERRORS {
        return true;
    }
    endpoints.keys().all(|left_out| {
        let rest: VersionTally = endpoints.iter().filter(|(id, _)| *id != left_out).map(|(_, tally)| tally).sum();
        is_worse(&rest, others, REST_SIGNIFICANCE)
    })
}

/// Tests whether errors make up more of the target's attempts (first) than of those of the other versions (second); both
/// are given as errors and attempts.
fn occurs_more((errors, attempts): (u32, u32), (others_errors, others_attempts): (u32, u32), level: f64) -> bool {
    let Some(fewer) = u64::from(errors).checked_sub(1) else {
        return false;
    };
    // Adds half an error, since among few attempts an error rate of zero says little.
    let baseline = (f64::from(others_errors) + 0.5) / (f64::from(others_attempts) + 1.0);
    let bound = (baseline * FAILURE_FACTOR + FAILURE_MARGIN).min(1.0);
    let p_value = Binomial::new(bound, u64::from(attempts)).map(|binomial| binomial.sf(fewer));
    p_value.is_ok_and(|p_value| p_value < level)
}

/// Welch's t-test of the mean logarithms, with the larger of both variances as the target's.
fn is_slower(target: &TimeTally, others: &TimeTally, level: f64) -> bool {
    if target.count < MIN_DURATIONS || others.count < MIN_DURATIONS {
        return false;
    }
    let variance = target.variance().max(others.variance());
    let error = (variance / f64::from(target.count) + others.variance() / f64::from(others.count)).sqrt();
    let excess = target.mean() - others.mean() - SLOW_FACTOR.ln();
    if error == 0.0 {
        return excess > 0.0;
    }
    let degrees_of_freedom = f64::from(target.count.min(others.count) - 1);
    let p_value = StudentsT::new(0.0, 1.0, degrees_of_freedom).map(|student| student.sf(excess / error));
    p_value.is_ok_and(|p_value| p_value < level)
}
