use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::QueueRequest;
use super::account_line::AccountLine;
use super::rate_meter::RateMeter;
use crate::{AccountName, TimePoint};

/// How long arriving requests count towards the rate at which a priority's requests arrive.
const INFLOW_MEMORY: Duration = Duration::from_secs(2);
/// How long after its last request a priority still accumulates its minimum share. If all waiting requests of a low
/// priority are refused, the next one gets the turn that has accumulated.
const DEMAND_TIME: Duration = Duration::from_secs(5);

/// The waiting requests of one priority, by account.
///
/// Accounts take turns by virtual time (start-time fair queueing with equal weights): each sent request advances the
/// virtual time of its account by one, and the account with the lowest virtual time is next.
#[derive(Debug)]
pub(super) struct PriorityLevel {
    accounts: BTreeMap<AccountName, AccountLine>,
    /// Accounts with waiting requests, by the virtual time at which they are due.
    order: BTreeSet<(u64, AccountName)>,
    virtual_time: u64,
    len: usize,
    /// Accumulated turns of this priority's minimum share; at most one.
    pub(super) credit: f64,
    inflow: RateMeter,
    requested_at: TimePoint,
}

impl PriorityLevel {
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            accounts: BTreeMap::new(),
            order: BTreeSet::new(),
            virtual_time: 0,
            len: 0,
            credit: 0.0,
            inflow: RateMeter::new(now, INFLOW_MEMORY),
            requested_at: now,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Counts a request that asks for a place, whether or not it gets one.
    pub(super) fn record_arrival(&mut self, now: TimePoint) {
        self.inflow.record(now);
        self.requested_at = now;
    }

    /// Requests per second of this priority.
    pub(super) fn inflow(&self, now: TimePoint) -> f64 {
        self.inflow.rough_rate(now)
    }

    /// Whether requests of this priority wait or were refused recently.
    pub(super) fn has_demand(&self, now: TimePoint) -> bool {
        !self.is_empty() || now.since(self.requested_at) < DEMAND_TIME
    }

    pub(super) fn insert(&mut self, request: &QueueRequest, first_end: TimePoint) {
        let line = self.accounts.entry(AccountName::clone(&request.account)).or_default();
        if line.is_empty() {
            line.due = line.due.max(self.virtual_time);
            self.order.insert((line.due, AccountName::clone(&request.account)));
        }
        line.insert(request, first_end);
        self.len += 1;
    }

    /// Inserts a request that was popped but not sent, and credits the turn to its account again.
    pub(super) fn restore(&mut self, request: &QueueRequest, first_end: TimePoint) {
        if let Some(line) = self.accounts.get_mut(&request.account) {
            let key = (line.due, AccountName::clone(&request.account));
            let is_listed = self.order.remove(&key);
            line.due = line.due.saturating_sub(1);
            self.virtual_time = self.virtual_time.min(line.due);
            if is_listed {
                self.order.insert((line.due, key.1));
            }
        }
        self.insert(request, first_end);
    }

    pub(super) fn remove(&mut self, request: &QueueRequest) {
        let Some(line) = self.accounts.get_mut(&request.account) else {
            return;
        };
        line.remove(request);
        self.len -= 1;
        if line.is_empty() {
            self.order.remove(&(line.due, AccountName::clone(&request.account)));
        }
        self.forget_if_empty();
    }

    /// The id of the next request to send, removed.
    pub(super) fn pop(&mut self, first_end: TimePoint) -> Option<u64> {
        let (due, account) = self.order.pop_first()?;
        let line = self.accounts.get_mut(&account)?;
        let id = line.pop(first_end)?;
        self.len -= 1;
        self.virtual_time = due;
        line.due = due + 1;
        if !line.is_empty() {
            self.order.insert((line.due, account));
        }
        Some(id)
    }

    /// Removes the state of all accounts if no requests wait: fairness between accounts matters only while requests
    /// wait, and the memory for accounts stays bounded.
    pub(super) fn forget_if_empty(&mut self) {
        if self.is_empty() {
            self.accounts.clear();
            self.virtual_time = 0;
        }
    }

    /// The request that is displaced first, the last one of the account with the most waiting requests, and their
    /// number.
    pub(super) fn last(&self) -> Option<(u64, usize)> {
        let line = self.accounts.values().max_by_key(|line| line.len())?;
        line.last().map(|id| (id, line.len()))
    }

    /// How many requests of an account wait.
    pub(super) fn account_len(&self, account: &str) -> usize {
        self.accounts.get(account).map_or(0, AccountLine::len)
    }

    /// How many requests of this priority are sent before a waiting one.
    pub(super) fn ahead(&self, request: &QueueRequest) -> usize {
        let position = self.accounts.get(&request.account).map_or(0, |line| line.position(request));
        let shares = self.accounts.values().map(|line| line.len().min(position + 1));
        shares.sum::<usize>().saturating_sub(1)
    }

    /// The waiting requests with how many of this priority are sent before each.
    pub(super) fn forecast(&mut self, first_end: TimePoint) -> Vec<(u64, usize)> {
        let longest = self.accounts.values().map(AccountLine::len).max().unwrap_or_default();
        // ends[k]: how many accounts have exactly k requests.
        let mut ends = vec![0; longest + 1];
        for line in self.accounts.values_mut() {
            line.demote(first_end);
            ends[line.len()] += 1;
        }
        let (mut longer, mut sent) = (self.accounts.len() - ends[0], 0);
        let mut ahead = Vec::with_capacity(longest);
        for ended in &ends[1..] {
            sent += longer;
            longer -= ended;
            ahead.push(sent.saturating_sub(1));
        }
        let lines = self.accounts.values();
        lines.flat_map(|line| line.ids().zip(ahead.iter().copied())).collect()
    }
}
