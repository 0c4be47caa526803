use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::{CrashRecord, RequestDigest};
use crate::Name;

/// Number of endpoint crashes from which requests with a part are refused.
const CRASH_THRESHOLD: usize = 4;
/// Number of different requests that the crashes must come from; those of one request are charged to that request.
const REQUEST_THRESHOLD: usize = 2;
/// Crashes of requests that first crashed an endpoint after a longer run, in milliseconds, are not charged to parts. Many
/// requests share a part, so that the loss of many endpoints would make it suspect until one of them has run to its end,
/// and all would wait for the verdict.
const MAX_FIRST_RUN_TIME: u64 = 2_000;
/// A part is as suspect as another one if it was there at all but one in this many of the other's crashes.
const TIE_FRACTION: usize = 4;

/// The records of one host, its own and those of others.
type KnownRecords<'a> = BTreeMap<RequestDigest, &'a CrashRecord>;

/// Parts of prompts that may crash endpoints, and the endpoints that crashed while running requests with all of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SuspectParts {
    pub(super) parts: BTreeSet<u64>,
    pub(super) crashes: BTreeSet<Name>,
    /// The time of the latest crash, in Unix milliseconds.
    pub(super) crashed_at: u64,
}

#[derive(Debug, Default)]
struct PartCrashes {
    crashes: BTreeSet<Name>,
    requests: usize,
    crashed_at: u64,
}

/// Finds the parts whose crashes neither survivals nor a single request explain.
///
/// Parts that were there at about the same crashes can't be told apart: requests that have only some of them are still
/// run, and tell which part it is.
pub(super) fn find_suspect_parts(records: &KnownRecords<'_>) -> Vec<SuspectParts> {
    let mut candidates: Vec<(u64, PartCrashes)> = crashes_by_part(records).into_iter().collect();
    candidates.retain(|(_, part)| is_suspect(part, records));
    candidates.sort_by_key(|(_, part)| Reverse(part.crashes.len()));
    let mut found: Vec<SuspectParts> = Vec::new();
    for (_, part) in &candidates {
        let explained = |crash: &&Name| found.iter().any(|suspect| suspect.crashes.contains(*crash));
        if part.crashes.iter().filter(|crash| !explained(crash)).count() >= CRASH_THRESHOLD {
            found.push(join_ties(part, &candidates));
        }
    }
    found
}

/// The crashes of each part that no later run of a request with it explains.
fn crashes_by_part(records: &KnownRecords<'_>) -> BTreeMap<u64, PartCrashes> {
    let mut parts: BTreeMap<u64, PartCrashes> = BTreeMap::new();
    for record in records.values() {
        for part in &record.parts {
            let runs = records.get(&RequestDigest::of_part(*part)).copied();
            let charged: Vec<(&Name, u64)> = charged_crashes(record, runs).collect();
            let Some(crashed_at) = charged.iter().map(|(_, at)| *at).max() else {
                continue;
            };
            let known = parts.entry(*part).or_default();
            known.crashes.extend(charged.into_iter().map(|(endpoint, _)| Name::clone(endpoint)));
            known.requests += 1;
            known.crashed_at = known.crashed_at.max(crashed_at);
        }
    }
    parts
}

/// The crashes of a request, with their times, that are charged to a part of its prompt; `runs` are the runs without a
/// crash of all requests with the part.
pub(super) fn charged_crashes<'a>(
    record: &'a CrashRecord,
    runs: Option<&'a CrashRecord>,
) -> impl Iterator<Item = (&'a Name, u64)> {
    let first_run_time = record.crashes.keys().map(|endpoint| record.run_time(endpoint)).min();
    let is_charged = move |endpoint: &Name, at: u64| {
        first_run_time <= Some(MAX_FIRST_RUN_TIME)
            && !record.excuses(record, endpoint, at)
            && !runs.is_some_and(|runs| runs.excuses(record, endpoint, at))
    };
    record.crashes.iter().map(|(endpoint, at)| (endpoint, *at)).filter(move |(endpoint, at)| is_charged(endpoint, *at))
}

fn is_suspect(part: &PartCrashes, records: &KnownRecords<'_>) -> bool {
    let has_enough = part.crashes.len() >= CRASH_THRESHOLD && part.requests >= REQUEST_THRESHOLD;
    let is_explained =
        || records.values().any(|record| part.crashes.iter().all(|crash| record.crashes.contains_key(crash)));
    has_enough && !is_explained()
}

fn join_ties(part: &PartCrashes, candidates: &[(u64, PartCrashes)]) -> SuspectParts {
    let is_tie = |other: &PartCrashes| {
        let absent = part.crashes.difference(&other.crashes).count();
        absent * TIE_FRACTION <= part.crashes.len()
    };
    SuspectParts {
        parts: candidates.iter().filter(|(_, other)| is_tie(other)).map(|(id, _)| *id).collect(),
        crashes: part.crashes.clone(),
        crashed_at: part.crashed_at,
    }
}
