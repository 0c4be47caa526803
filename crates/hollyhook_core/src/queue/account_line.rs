use std::collections::BTreeSet;

use super::QueueRequest;
use crate::TimePoint;

/// The waiting requests of one account and priority.
///
/// Requests that can still meet their objective come first, in the order in which their objectives end. The others
/// follow in the order of their deadlines.
#[derive(Debug, Default)]
pub(super) struct AccountLine {
    /// Virtual time at which the next request of the account is due.
    pub(super) due: u64,
    /// End of the objective, deadline and id.
    in_time: BTreeSet<(TimePoint, TimePoint, u64)>,
    /// Deadline and id.
    late: BTreeSet<(TimePoint, u64)>,
}

impl AccountLine {
    pub(super) fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request; one whose objective ends before `first_end`, the earliest possible end of a call, is late.
    pub(super) fn insert(&mut self, request: &QueueRequest, first_end: TimePoint) {
        if request.objective_at < first_end {
            self.late.insert((request.deadline, request.id));
        } else {
            self.in_time.insert((request.objective_at, request.deadline, request.id));
        }
    }

    pub(super) fn remove(&mut self, request: &QueueRequest) {
        if !self.in_time.remove(&(request.objective_at, request.deadline, request.id)) {
            self.late.remove(&(request.deadline, request.id));
        }
    }

    /// The id of the next request to send, removed; `first_end` is the earliest possible end of a call.
    pub(super) fn pop(&mut self, first_end: TimePoint) -> Option<u64> {
        self.demote(first_end);
        if let Some((_, _, id)) = self.in_time.pop_first() {
            return Some(id);
        }
        self.late.pop_first().map(|(_, id)| id)
    }

    /// The id of the request that would be sent last.
    pub(super) fn last(&self) -> Option<u64> {
        let late = self.late.last().map(|(_, id)| *id);
        late.or_else(|| self.in_time.last().map(|(_, _, id)| *id))
    }

    /// How many requests of the account are sent before this one.
    pub(super) fn position(&self, request: &QueueRequest) -> usize {
        let key = (request.objective_at, request.deadline, request.id);
        if self.in_time.contains(&key) {
            return self.in_time.range(..key).count();
        }
        self.in_time.len() + self.late.range(..(request.deadline, request.id)).count()
    }

    /// The ids in the order in which they are sent.
    pub(super) fn ids(&self) -> impl Iterator<Item = u64> + '_ {
        let in_time = self.in_time.iter().map(|(_, _, id)| *id);
        in_time.chain(self.late.iter().map(|(_, id)| *id))
    }

    /// Moves the requests that can no longer meet their objective behind those that can.
    pub(super) fn demote(&mut self, first_end: TimePoint) {
        while let Some((objective_at, deadline, id)) = self.in_time.first().copied() {
            if objective_at >= first_end {
                return;
            }
            self.in_time.pop_first();
            self.late.insert((deadline, id));
        }
    }
}
