use serde::{Deserialize, Serialize};

use crate::HostPosition;

/// A part of one host's quota: an interval of the unit interval.
///
/// Limits that can be divided are divided by the size of parts. Whole slots belong to the part in which their hashes lie,
/// so that all hosts agree to whom a slot belongs without naming it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaPart {
    /// The begin of the interval, which belongs to it.
    pub from: f64,
    /// The end of the interval, which does not.
    pub to: f64,
}

impl QuotaPart {
    /// The size of the part, from 0 to 1.
    pub fn size(self) -> f64 {
        self.to - self.from
    }

    pub(super) fn contains(self, point: f64) -> bool {
        (self.from..self.to).contains(&point)
    }

    /// Whether the part, received from another host, is an interval within the unit interval.
    pub fn is_valid(self) -> bool {
        self.from >= 0.0 && self.from < self.to && self.to <= 1.0
    }
}

/// A part of a lender's quota that another host may use for a while.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaLoan {
    /// The lender's place among all hosts, which gives its quota.
    pub position: HostPosition,
    /// What is lent of it.
    pub part: QuotaPart,
}

impl QuotaLoan {
    /// Whether the loan, received from another host, can be used.
    pub fn is_valid(&self) -> bool {
        self.part.is_valid() && self.position.index < self.position.count
    }
}
