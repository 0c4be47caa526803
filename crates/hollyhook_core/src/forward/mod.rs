//! Forwarding of opaque requests: request and answer heads, verdicts on answers, attempts that race, and limits on
//! further attempts.

mod answer_verdict;
mod attempt_ledger;
mod attempt_race;
mod caller_head;

pub use answer_verdict::{AnswerHead, AnswerVerdict, AttemptFailure, evaluate_answer};
pub use attempt_ledger::{AttemptLedger, StopReason};
pub use attempt_race::{AttemptBasis, AttemptKey, AttemptRace, RaceClosure, RaceStep};
pub use caller_head::{CallerHead, PromptSize};
