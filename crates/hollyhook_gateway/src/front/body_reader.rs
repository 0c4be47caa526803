use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hollyhook_core::{Error, ErrorKind, Result, TimePoint};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::gateway::{BodyClaim, GatewayContext};

/// How long a body may take to arrive, if neither caller nor route gives up sooner.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// When a caller should come back for whom there is no memory.
const MEMORY_RETRY: Duration = Duration::from_millis(500);

/// Reads a caller's body whole, within its limits; the claim holds its memory.
pub(super) async fn read_body(
    body: Incoming,
    most: usize,
    deadline: TimePoint,
    context: &Arc<GatewayContext>,
) -> Result<(Bytes, BodyClaim)> {
    let limit = deadline.since(context.timer.now()).min(BODY_TIMEOUT);
    let mut claim = context.load.claim_body();
    let read = context.timer.within(limit, collect(body, most, &mut claim)).await;
    let late = || Err(Error::new(ErrorKind::RequestTimeout, "the body did not arrive in time"));
    let bytes = read.unwrap_or_else(late)?;
    Ok((bytes, claim))
}

async fn collect(mut body: Incoming, most: usize, claim: &mut BodyClaim) -> Result<Bytes> {
    if body.size_hint().lower() > most as u64 {
        return Err(too_large(most));
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| {
            Error::new(ErrorKind::MalformedHead, "the body is not framed as HTTP/1.1 says, or broke off")
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > most {
            return Err(too_large(most));
        }
        if !claim.grow(data.len()) {
            let why = "requests under way take all memory for bodies";
            return Err(Error::new(ErrorKind::Overloaded, why).retry_after(MEMORY_RETRY));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

fn too_large(most: usize) -> Error {
    Error::new(ErrorKind::BodyTooLarge, format!("the body is larger than {most} bytes"))
}
