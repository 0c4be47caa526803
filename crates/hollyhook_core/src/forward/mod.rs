//! Forwarding of opaque requests: request and answer heads, verdicts on answers, and limits on further attempts.

mod answer_verdict;
mod attempt_ledger;
mod caller_head;

pub use answer_verdict::{AnswerHead, AnswerVerdict, AttemptFailure, evaluate_answer};
pub use attempt_ledger::{AttemptLedger, StopReason};
pub use caller_head::{CallerHead, PromptSize};
