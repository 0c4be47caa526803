//! The OpenAI-style API that callers use, and the endpoint API that extends it.

mod api_error;
mod caller_client;
mod caller_request;
mod engine_api;
mod engine_client;
mod stream_writer;

pub use api_error::{ApiError, ApiErrorBody};
pub use caller_client::{CallerClient, CallerItem, CallerResponse, CallerStream, completion_body};
pub use caller_request::{ApiStyle, CallerRequest, RequestLimits};
pub use engine_api::{
    ChunkChoice, ChunkDelta, EngineChunk, EngineExtension, EngineLoad, EngineUsage, EngineWork, GenerationState,
};
pub use engine_client::{EngineClient, EngineStream, LOAD_HEADER, StreamItem};
pub(crate) use engine_client::{decode, request_to};
pub use stream_writer::{CompletionResponse, StreamWriter};
