//! The protocols of hollyhook: HTTP with limits, server-sent events, the callers' and the endpoints' API, the
//! platform's objects, and the calls between daemons.

mod api;
mod http;
mod peer;
mod platform;
mod sse;

pub use api::{
    ApiError, ApiErrorBody, ApiStyle, CallerAnswer, CallerClient, CallerItem, CallerRequest, CallerStream, ChunkChoice,
    ChunkDelta, EngineChunk, EngineClient, EngineExtension, EngineLoad, EngineStream, EngineUsage, EngineWork,
    GenerationState, LOAD_FIELD, RequestLimits, StreamItem, StreamWriter, WholeAnswer, completion_body,
};
pub use http::{
    BodyFeed, ClientAnswer, ConnectionGate, HttpClient, HttpServer, ServerLimits, feed_body, listen, read_body,
};
pub use peer::{
    CounterRow, EndpointRow, HistogramRow, HostReport, PeerCallsClient, PeerServer, StatusReport, connect_peer,
    serve_peers,
};
pub use platform::{
    ObjectChange, ObjectList, ObjectVersion, PlatformClient, PlatformError, StoredObject, WriteCondition,
};
pub use sse::{SseEvent, SseParser};
