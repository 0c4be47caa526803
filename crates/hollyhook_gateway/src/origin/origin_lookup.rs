use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hollyhook_core::{HostRecord, Name, OriginAnswer, StreamKey, StreamOrigin, TimePoint};
use http::StatusCode;

use super::EvidenceReader;
use super::origin_message::{FIND_PATH, OriginQuestion, OriginReply, post_message};
use crate::gateway::GatewayContext;
use crate::net::ExchangeError;

/// Time limit for the answers of other hosts. A host that is lost does not answer at all, and the caller of a stream
/// that has stopped waits.
const FIND_TIMEOUT: Duration = Duration::from_millis(250);
/// How often a stream that waits for the record of its service's versions checks whether it has been read.
const READ_CHECK: Duration = Duration::from_millis(10);
/// Time limit for reading the origin snapshots of all hosts, in a few pages. The caller has no other way to go on.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Which software versions may continue a stream, and how that was found.
#[derive(Debug, Clone)]
pub(crate) struct FoundOrigin {
    pub(crate) origin: StreamOrigin,
    pub(crate) source: OriginSource,
}

/// How the version that began a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OriginSource {
    /// This host knew it.
    Own,
    /// Another host knew it.
    OtherHost,
    /// No other version may have begun streams that come back.
    OnlyVersion,
    /// The origin snapshots in the store told it.
    Snapshots,
    /// Nothing told it.
    None,
}

impl OriginSource {
    /// The name of the source in logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::OtherHost => "other_host",
            Self::OnlyVersion => "only_version",
            Self::Snapshots => "snapshots",
            Self::None => "none",
        }
    }

    /// The source of an origin that follows from the answers of hosts, this one first.
    fn of(origin: &StreamOrigin, answers: &[OriginAnswer]) -> Self {
        let is_told = |answer: &OriginAnswer| answer.version.is_some();
        match origin {
            StreamOrigin::Version(_) if answers.first().is_some_and(is_told) => Self::Own,
            StreamOrigin::Version(_) if answers.iter().any(is_told) => Self::OtherHost,
            StreamOrigin::Version(_) | StreamOrigin::Open => Self::OnlyVersion,
            StreamOrigin::Unknown | StreamOrigin::Untraceable => Self::None,
        }
    }
}

/// Finds which software versions may continue a stream that its caller takes up.
///
/// `first_attempt` is the client attempt that brought the stream's first event; `None` if the caller does not name it.
pub(crate) async fn find_origin(
    context: &Arc<GatewayContext>,
    service: &Name,
    first_attempt: Option<&Name>,
) -> FoundOrigin {
    let own_answer = || context.origins.answer(service, first_attempt.map_or("", |id| id));
    let own = own_answer();
    let is_settled = own.version.is_some() || (own.versions.len() <= 1 && context.versions.has_whole_history());
    let mut answers = vec![own];
    if !is_settled {
        let limit = context.timer.now() + FIND_TIMEOUT;
        if let Some(first_attempt) = first_attempt {
            answers.extend(ask_holders(context, service, first_attempt).await);
        }
        if answers.iter().all(|answer| answer.version.is_none()) {
            wait_until_read(context, service, limit).await;
            answers.push(own_answer());
        }
    }
    let origin = StreamOrigin::resolve(&answers);
    if let (StreamOrigin::Unknown, Some(first_attempt)) = (&origin, first_attempt) {
        return find_in_snapshots(context, service, first_attempt, &answers).await;
    }
    let source = OriginSource::of(&origin, &answers);
    FoundOrigin { origin, source }
}

/// Finds the version that began a stream in what lost hosts have written; `answers` name the versions that hosts know.
async fn find_in_snapshots(
    context: &Arc<GatewayContext>,
    service: &Name,
    first_attempt: &Name,
    answers: &[OriginAnswer],
) -> FoundOrigin {
    let Some(evidence) = EvidenceReader::read(context, READ_TIMEOUT).await else {
        return FoundOrigin { origin: StreamOrigin::Unknown, source: OriginSource::None };
    };
    let versions = answers.iter().flat_map(|answer| &answer.versions).cloned().collect();
    let hosts = context.feed.all_hosts();
    let origin = evidence.resolve(service, StreamKey::new(first_attempt), hosts.as_ref(), &versions);
    let source = if origin == StreamOrigin::Unknown { OriginSource::None } else { OriginSource::Snapshots };
    FoundOrigin { origin, source }
}

/// What the hosts that keep copies of an origin know of it, up to the first one that knows the version.
async fn ask_holders(context: &GatewayContext, service: &Name, first_attempt: &Name) -> Vec<OriginAnswer> {
    let holders = context.origins.holders(first_attempt);
    let question = OriginQuestion { service: Name::clone(service), first_attempt: Name::clone(first_attempt) };
    let mut asked: FuturesUnordered<_> = holders.iter().map(|holder| ask(context, holder, &question)).collect();
    let mut answers = Vec::new();
    while let Some(answer) = asked.next().await {
        let Some(answer) = answer else {
            continue;
        };
        let has_version = answer.version.is_some();
        answers.push(answer);
        if has_version {
            break;
        }
    }
    answers
}

/// Waits, until `limit` at most, for the record of the service's versions, which a host reads when it has started.
async fn wait_until_read(context: &GatewayContext, service: &Name, limit: TimePoint) {
    while !context.versions.is_complete(service) && context.timer.now() < limit {
        context.timer.wait(READ_CHECK).await;
    }
}

/// What another host knows of an origin; `None` if it does not answer.
async fn ask(context: &GatewayContext, holder: &HostRecord, question: &OriginQuestion) -> Option<OriginAnswer> {
    match try_ask(context, holder, question).await {
        Ok(answer) => Some(answer),
        Err(error) => {
            tracing::info!(host = %holder.host, request = %question.first_attempt, reason = error.0, "origin.not_answered");
            None
        }
    }
}

async fn try_ask(
    context: &GatewayContext,
    holder: &HostRecord,
    question: &OriginQuestion,
) -> Result<OriginAnswer, ExchangeError> {
    let response = post_message(&context.timer, holder.address, FIND_PATH, question, FIND_TIMEOUT).await?;
    if response.status() != StatusCode::OK {
        return Err(ExchangeError("the host refuses to answer"));
    }
    let reply: OriginReply =
        serde_json::from_slice(response.body()).map_err(|_error| ExchangeError("the answer can't be parsed"))?;
    Ok(OriginAnswer::from(reply))
}
