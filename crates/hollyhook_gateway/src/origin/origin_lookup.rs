use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hollyhook_core::{HostRecord, Name, OriginAnswer, StreamOrigin};
use http::StatusCode;

use super::origin_message::{FIND_PATH, OriginQuestion, OriginReply, post_message};
use crate::gateway::GatewayContext;
use crate::net::ExchangeError;

/// Time limit for the answers of other hosts. A host that is lost does not answer at all, and the caller of a stream
/// that has stopped waits.
const FIND_TIMEOUT: Duration = Duration::from_millis(250);

/// Finds which software versions may continue a stream that its caller takes up.
///
/// `first_attempt` is the client attempt that brought the stream's first event; `None` if the caller does not name it.
pub(crate) async fn find_origin(
    context: &GatewayContext,
    service: &Name,
    first_attempt: Option<&Name>,
) -> StreamOrigin {
    let own = context.origins.answer(service, first_attempt.map_or("", |id| id));
    let Some(first_attempt) = first_attempt else {
        return StreamOrigin::resolve([&own]);
    };
    let is_settled = own.version.is_some() || (own.versions.len() <= 1 && context.origins.has_whole_history());
    if is_settled {
        return StreamOrigin::resolve([&own]);
    }
    let holders = context.origins.holders(first_attempt);
    let question = OriginQuestion { service: Name::clone(service), first_attempt: Name::clone(first_attempt) };
    let mut asked: FuturesUnordered<_> = holders.iter().map(|holder| ask(context, holder, &question)).collect();
    let mut answers = vec![own];
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
    StreamOrigin::resolve(&answers)
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
