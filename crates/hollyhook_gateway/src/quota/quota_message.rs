use std::time::Duration;

use hollyhook_core::{HostRecord, Name, QuotaLoan};
use hollyhook_kernel::TimerService;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::net::{ExchangeError, PersistentClient, encode_message};

/// The path at which a host lends a part of its quota.
pub(super) const LOAN_PATH: &str = "/quota";
/// Maximum size of a message.
pub(super) const MAX_BODY_BYTES: usize = 4 << 10;
/// Longest name of a service in a message, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Time limit for a message and its answer.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(200);

/// A host's question for a part of another's quota.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct LoanQuestion {
    /// The host that asks.
    pub(super) host: Name,
    pub(super) service: Name,
    /// The fraction of the other's quota that it wants in all.
    pub(super) wanted: f64,
}

/// The answer to a question.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct LoanAnswer {
    pub(super) loan: Option<QuotaLoan>,
}

impl LoanQuestion {
    /// Reads a question; `None` if it is malformed or beyond its bounds.
    pub(super) fn read(body: &[u8]) -> Option<Self> {
        let question: Self = serde_json::from_slice(body).ok()?;
        let has_valid_name = (1..=MAX_NAME_BYTES).contains(&question.service.len());
        (has_valid_name && (0.0..=1.0).contains(&question.wanted)).then_some(question)
    }
}

/// Asks another host for a part of its quota; returns what it lends.
///
/// # Errors
///
/// If the exchange fails or takes too long, or the host refuses the question or gives an answer that can't be used.
pub(super) async fn ask_loan(
    timer: &TimerService,
    lender: &HostRecord,
    question: &LoanQuestion,
) -> Result<Option<QuotaLoan>, ExchangeError> {
    let body = encode_message(question)?;
    let response = PersistentClient::new(timer.clone()).post(lender.address, LOAN_PATH, body, MESSAGE_TIMEOUT).await?;
    if response.status() != StatusCode::OK {
        return Err(ExchangeError("the host lends nothing to this one"));
    }
    let answer: LoanAnswer =
        serde_json::from_slice(response.body()).map_err(|_error| ExchangeError("the answer can't be parsed"))?;
    if answer.loan.is_some_and(|loan| !loan.is_valid()) {
        return Err(ExchangeError("the loan is not a part of a quota"));
    }
    Ok(answer.loan)
}
