use std::time::Duration;

use hollyhook_core::{HostRecord, LeaseQuestion, LeaseRound, LeasedLimit, Name};
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::net::{ExchangeError, PersistentClient, encode_message};

/// The path at which a host leases the limits that it owns.
pub(super) const LEASE_PATH: &str = "/lease";
/// Maximum size of a message.
pub(super) const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum number of questions in a message: a host asks about each endpoint of a service at most twice.
const MAX_QUESTIONS: usize = 512;
/// Longest name in a message, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Time limit for a message and its answer.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(200);

/// A host's questions to an owner.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct LeaseMessage {
    /// The host that asks.
    pub(super) host: Name,
    /// Higher than in all earlier messages of this host's process.
    pub(super) number: u64,
    pub(super) questions: Vec<LeaseQuestion>,
}

/// The answer: how much is leased, in the order of the questions.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct LeaseReply {
    pub(super) leased: Vec<u32>,
}

impl LeaseMessage {
    /// Reads a message; `None` if it is malformed or beyond its bounds.
    pub(super) fn read(body: &[u8]) -> Option<Self> {
        let message: Self = serde_json::from_slice(body).ok()?;
        let is_valid = |question: &LeaseQuestion| {
            let has_valid_limit = match question.limit {
                LeasedLimit::Slots(_) => true,
                LeasedLimit::Rate(rate) => rate.is_finite() && rate >= 0.0,
            };
            has_valid_limit && (1..=MAX_NAME_BYTES).contains(&question.endpoint.len())
        };
        (message.questions.len() <= MAX_QUESTIONS && message.questions.iter().all(is_valid)).then_some(message)
    }
}

/// Asks an owner; returns how much it leases, in the order of the questions.
///
/// # Errors
///
/// If the exchange fails or takes too long, or the owner refuses the questions or gives an answer that can't be used.
pub(super) async fn ask_owner(
    client: &mut PersistentClient,
    host: &Name,
    owner: &HostRecord,
    round: &LeaseRound,
) -> Result<Vec<u32>, ExchangeError> {
    let message = LeaseMessage { host: Name::clone(host), number: round.number, questions: round.questions.clone() };
    let body = encode_message(&message)?;
    let response = client.post(owner.address, LEASE_PATH, body, MESSAGE_TIMEOUT).await?;
    if response.status() != StatusCode::OK {
        return Err(ExchangeError("the host leases nothing to this one"));
    }
    let reply: LeaseReply =
        serde_json::from_slice(response.body()).map_err(|_error| ExchangeError("the answer can't be parsed"))?;
    if reply.leased.len() != round.questions.len() {
        return Err(ExchangeError("the answer has not one number for each question"));
    }
    Ok(reply.leased)
}
