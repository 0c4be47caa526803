use bytes::Bytes;
use hollyhook_core::{AttemptFailure, EndpointId};
use http::response::Parts;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::attempt::OpenResponse;
use crate::gateway::GatewayContext;
use crate::pool::keep_alive_time;

/// An endpoint's response with its whole body in memory.
#[derive(Debug)]
pub(super) struct EndpointReply {
    pub(super) parts: Parts,
    pub(super) body: Bytes,
}

impl OpenResponse {
    /// Reads a body of at most `limit` bytes to its end and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// `Broken` if the connection fails before the body is complete, `Failed` if the body is larger.
    pub(super) async fn read_to_end(
        self,
        context: &GatewayContext,
        id: &EndpointId,
        limit: usize,
    ) -> Result<EndpointReply, AttemptFailure> {
        let Self { parts, body, connection, .. } = self;
        let body = collect(body, limit).await?;
        context.pool.put(id, connection, keep_alive_time(&parts.headers));
        Ok(EndpointReply { parts, body })
    }

    /// Reads a body of at most `limit` bytes to its end and closes the connection.
    ///
    /// # Errors
    ///
    /// As [`read_to_end`](Self::read_to_end).
    pub(super) async fn read_and_close(self, limit: usize) -> Result<EndpointReply, AttemptFailure> {
        let Self { parts, body, connection, .. } = self;
        let body = collect(body, limit).await?;
        drop(connection);
        Ok(EndpointReply { parts, body })
    }
}

async fn collect(body: Incoming, limit: usize) -> Result<Bytes, AttemptFailure> {
    let collected = Limited::new(body, limit).collect().await.map_err(|error| {
        if error.is::<LengthLimitError>() { AttemptFailure::Failed } else { AttemptFailure::Broken }
    })?;
    Ok(collected.to_bytes())
}
