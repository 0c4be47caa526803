use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hollyhook_core::{Name, OriginAnswer};
use hollyhook_kernel::TimerService;
use http::Response;
use serde::{Deserialize, Serialize};

use crate::net::{ExchangeError, PersistentClient, encode_message};

/// The path at which a host takes copies of origins.
pub(super) const COPY_PATH: &str = "/origins";
/// The path at which a host tells what it knows of one origin.
pub(super) const FIND_PATH: &str = "/origins/find";

/// Copies of origins: the version at which the stream of each client attempt began.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct OriginCopies {
    pub(super) origins: BTreeMap<Name, Name>,
}

/// A question about the origin of one stream.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct OriginQuestion {
    pub(super) service: Name,
    /// The client attempt that brought the stream's first event.
    pub(super) first_attempt: Name,
}

/// What a host knows of the origin asked for.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct OriginReply {
    version: Option<Name>,
    versions: BTreeSet<Name>,
    /// Hosts of earlier releases don't say; what they have seen since their start may not be all.
    #[serde(default)]
    is_complete: bool,
}

impl From<OriginAnswer> for OriginReply {
    fn from(answer: OriginAnswer) -> Self {
        Self { version: answer.version, versions: answer.versions, is_complete: answer.is_complete }
    }
}

impl From<OriginReply> for OriginAnswer {
    fn from(reply: OriginReply) -> Self {
        Self { version: reply.version, versions: reply.versions, is_complete: reply.is_complete }
    }
}

/// Sends a message about origins to another host; returns its response.
///
/// # Errors
///
/// If the message can't be encoded, or the exchange fails or takes longer than `limit`.
pub(super) async fn post_message(
    timer: &TimerService,
    address: SocketAddr,
    path: &str,
    message: &impl Serialize,
    limit: Duration,
) -> Result<Response<Bytes>, ExchangeError> {
    PersistentClient::new(timer.clone()).post(address, path, encode_message(message)?, limit).await
}
