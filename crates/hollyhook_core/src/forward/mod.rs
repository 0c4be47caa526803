//! Forwarding of opaque requests: what callers sent, what endpoints answered, and what that means.

mod answer_verdict;
mod attempt_ledger;
mod caller_head;

pub use answer_verdict::{AnswerHead, AnswerVerdict, AttemptFailure, judge_answer};
pub use attempt_ledger::{AttemptLedger, StopReason};
pub use caller_head::{CallerHead, PromptSize};
