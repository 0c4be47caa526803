use std::time::Duration;

use futures::future::join_all;
use hollyhook_core::{
    AttemptNumber, EndpointId, GenerationId, GenerationRelay, PrefixDigest, RouteQuery, StreamCursor,
};
use hollyhook_settings::GenerationSettings;
use hollyhook_wire::GenerationState;

use crate::fleet::HostContext;

/// Timeout for querying the endpoints that may hold a generation.
const FIND_TIMEOUT: Duration = Duration::from_millis(300);

/// Starting point of a generation on this host: new, taken over, or to be replayed.
#[derive(Debug)]
pub(crate) struct GenerationStart {
    pub(crate) generation: GenerationId,
    pub(crate) relay: GenerationRelay,
    /// Whether the generation is placed by its id, so that every host chooses among the same few endpoints.
    pub(crate) has_affinity: bool,
    /// Whether the caller already has a part of the stream.
    pub(crate) is_continued: bool,
}

/// Takes over a running generation, found by the caller's cursor or idempotency key, or starts a new one.
///
/// If no endpoint is found to hold the generation, it is replayed for a caller with a cursor and started otherwise.
pub(crate) async fn resolve_start(
    context: &HostContext,
    service: &str,
    settings: &GenerationSettings,
    cursor: Option<StreamCursor>,
    keyed_generation: Option<GenerationId>,
) -> GenerationStart {
    let relay = GenerationRelay::new(settings.policy.clone());
    if let Some(cursor) = cursor {
        return continue_stream(context, relay, cursor).await;
    }
    let Some(generation) = keyed_generation else {
        let generation = GenerationId::from_bits(rand::random());
        return GenerationStart { generation, relay, has_affinity: false, is_continued: false };
    };
    let relay = match find_by_key(context, service, settings, generation).await {
        Some((endpoint, held)) => {
            context.recorder.count("takeover_by_key");
            relay.taken_over(Some(endpoint), held.attempt.takeover(), 0, PrefixDigest::default())
        }
        None => relay,
    };
    GenerationStart { generation, relay, has_affinity: true, is_continued: false }
}

async fn continue_stream(context: &HostContext, relay: GenerationRelay, cursor: StreamCursor) -> GenerationStart {
    let held = match context.fleet.address(&cursor.endpoint) {
        Some(address) => context.engine.generation_state(address, cursor.generation, FIND_TIMEOUT).await.ok().flatten(),
        None => None,
    };
    context.recorder.count(if held.is_some() { "takeover_by_cursor" } else { "takeover_by_replay" });
    let newest = held.map_or(AttemptNumber::FIRST, |held| held.attempt).max(cursor.attempt);
    let endpoint = held.map(|_| EndpointId::clone(&cursor.endpoint));
    GenerationStart {
        generation: cursor.generation,
        relay: relay.taken_over(endpoint, newest.takeover(), cursor.position, cursor.digest),
        has_affinity: false,
        is_continued: true,
    }
}

async fn find_by_key(
    context: &HostContext,
    service: &str,
    settings: &GenerationSettings,
    generation: GenerationId,
) -> Option<(EndpointId, GenerationState)> {
    let query = RouteQuery::new(service).binding(&settings.binding);
    let candidates = context.fleet.lock().affinity_candidates(&query, generation.bits());
    let queries = candidates.into_iter().map(|id| async move {
        let address = context.fleet.address(&id)?;
        let held = context.engine.generation_state(address, generation, FIND_TIMEOUT).await.ok()??;
        Some((id, held))
    });
    let found = join_all(queries).await;
    found.into_iter().flatten().max_by_key(|(_, held)| held.attempt)
}
