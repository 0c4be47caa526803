use statrs::distribution::{Binomial, ContinuousCDF, DiscreteCDF, StudentsT};

use super::{TimeTally, TrialEvidence, VersionTally};

/// Answers of the target from which on it may be taken over: of a version that fails three in ten times, all but two of these
/// are good once in 10,000 trials.
const ENOUGH_ANSWERS: u32 = 40;
/// The same on each route that carries a good part of the service.
const ENOUGH_ON_ROUTE: u32 = 5;
/// From this part of the service's answers on a route is one of those.
const ROUTE_PART: f64 = 0.05;

/// Chance at which what was seen is taken for a fault of the version. It is looked at some twenty times in a trial, on a few
/// routes, for failures and two kinds of time.
const RISK: f64 = 0.000_1;
/// The same for what is left without the worst endpoint.
const RISK_OF_REST: f64 = 0.05;

/// Failures that condemn it even if all of them are one endpoint's: no user is to pay for more.
const MOST_FAILURES: u64 = 15;
/// How much worse than that of the other versions the target's share of failures may be: their endpoints differ.
const FAILURE_FACTOR: f64 = 1.25;
/// And this much more, also where the others never fail.
const FAILURE_MARGIN: f64 = 0.01;

/// Times of either side that are needed for a comparison.
const LEAST_TIMES: u32 = 8;
/// How much slower than the other versions the target may be: endpoints that have just started are.
const SLOW_FACTOR: f64 = 1.6;

/// What speaks against a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionFault {
    /// More of its answers are failures.
    Failures,
    /// Its answers, or first events, take several times as long.
    SlowAnswers,
    /// Its streams are several times as slow.
    SlowStreams,
}

impl VersionFault {
    /// A short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failures => "failures",
            Self::SlowAnswers => "slow_answers",
            Self::SlowStreams => "slow_streams",
        }
    }
}

/// What is held of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionVerdict {
    /// Too little was seen.
    Open,
    /// Nothing speaks against it.
    Good,
    /// It is worse than the others.
    Bad(VersionFault),
}

/// Judges the target of a roll-out by what all hosts saw of it and of the others beside it.
///
/// Taken together and route by route, since a version may fail on one alone. Only what shows at more than one endpoint, if
/// there are more, counts: an endpoint may be faulty by itself. Connections that broke are no evidence: whole zones
/// lose theirs at once.
pub fn evaluate_version(evidence: &TrialEvidence) -> VersionVerdict {
    let routes = evidence.routes();
    let slices =
        std::iter::once(evidence.clone()).chain(routes.iter().map(|name| evidence.on_routes(|route| route == *name)));
    for slice in slices {
        if let Some(fault) = find_fault(&slice) {
            return VersionVerdict::Bad(fault);
        }
    }
    if is_enough(evidence) { VersionVerdict::Good } else { VersionVerdict::Open }
}

fn is_enough(evidence: &TrialEvidence) -> bool {
    if evidence.target_answers() < ENOUGH_ANSWERS {
        return false;
    }
    let total: u32 = evidence.others.values().map(|tally| tally.answers).sum();
    let large = evidence.others.iter().filter(|(_, tally)| f64::from(tally.answers) > ROUTE_PART * f64::from(total));
    large
        .map(|(name, _)| evidence.on_routes(|route| route == name))
        .all(|slice| slice.target_answers() >= ENOUGH_ON_ROUTE)
}

/// A way in which the target may be worse: whether it is, by the tallies of the target and of the others, at that risk.
type Comparison = fn(&VersionTally, &VersionTally, f64) -> bool;

fn find_fault(slice: &TrialEvidence) -> Option<VersionFault> {
    let others: VersionTally = slice.others.values().sum();
    let comparisons: [(VersionFault, Comparison); 3] = [
        (VersionFault::Failures, fails_more),
        (VersionFault::SlowAnswers, |target, others, risk| is_slower(&target.first, &others.first, risk)),
        (VersionFault::SlowStreams, |target, others, risk| is_slower(&target.gap, &others.gap, risk)),
    ];
    let found = comparisons.into_iter().find(|(_, is_worse)| is_worse_throughout(slice, &others, *is_worse));
    found.map(|(fault, _)| fault)
}

/// Whether the target is worse, also without any one of its endpoints.
fn is_worse_throughout(slice: &TrialEvidence, others: &VersionTally, is_worse: Comparison) -> bool {
    let endpoints = slice.target_by_endpoint();
    let target: VersionTally = endpoints.values().sum();
    if !is_worse(&target, others, RISK) {
        return false;
    }
    if endpoints.len() == 1 || u64::from(target.failures) >= MOST_FAILURES {
        return true;
    }
    endpoints.keys().all(|left_out| {
        let rest: VersionTally = endpoints.iter().filter(|(id, _)| *id != left_out).map(|(_, tally)| tally).sum();
        is_worse(&rest, others, RISK_OF_REST)
    })
}

fn fails_more(target: &VersionTally, others: &VersionTally, risk: f64) -> bool {
    let Some(fewer) = u64::from(target.failures).checked_sub(1) else {
        return false;
    };
    // Half a failure more than was seen: of few answers a share of zero says little.
    let usual = (f64::from(others.failures) + 0.5) / (f64::from(others.answers) + 1.0);
    let bound = (usual * FAILURE_FACTOR + FAILURE_MARGIN).min(1.0);
    let chance = Binomial::new(bound, u64::from(target.answers)).map(|binomial| binomial.sf(fewer));
    chance.is_ok_and(|chance| chance < risk)
}

/// Welch's comparison of the mean logarithms, with the larger of both variances for the target's.
fn is_slower(target: &TimeTally, others: &TimeTally, risk: f64) -> bool {
    if target.count < LEAST_TIMES || others.count < LEAST_TIMES {
        return false;
    }
    let variance = target.variance().max(others.variance());
    let error = (variance / f64::from(target.count) + others.variance() / f64::from(others.count)).sqrt();
    let excess = target.mean() - others.mean() - SLOW_FACTOR.ln();
    if error == 0.0 {
        return excess > 0.0;
    }
    let freedom = f64::from(target.count.min(others.count) - 1);
    let chance = StudentsT::new(0.0, 1.0, freedom).map(|student| student.sf(excess / error));
    chance.is_ok_and(|chance| chance < risk)
}
