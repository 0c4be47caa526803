//! The network protocols of hollyhook: HTTP with limits, server-sent events, the APIs of callers and endpoints, the
//! platform's object store, and remote procedure calls between daemons.

mod api;
mod http;
mod peer;
mod platform;
mod sse;

pub use api::{
    ApiError, ApiErrorBody, ApiStyle, CallerClient, CallerItem, CallerRequest, CallerResponse, CallerStream,
    ChunkChoice, ChunkDelta, CompletionResponse, EngineChunk, EngineClient, EngineExtension, EngineLoad, EngineStream,
    EngineUsage, EngineWork, GenerationState, LOAD_HEADER, RequestLimits, StreamItem, StreamWriter, completion_body,
};
pub use http::{
    BodySender, ClientResponse, ConnectionGate, HttpClient, HttpServer, ServerLimits, body_channel,
    bound_caller_buffers, bound_endpoint_buffers, listen, read_body,
};
pub use peer::{
    CounterRow, EndpointRow, HistogramRow, HostReport, PeerCallsClient, PeerServer, StatusReport, connect_peer,
    serve_peers,
};
pub use platform::{
    ObjectChange, ObjectList, ObjectVersion, PlatformClient, PlatformError, StoredObject, WriteCondition,
};
pub use sse::{SseEvent, SseParser};
