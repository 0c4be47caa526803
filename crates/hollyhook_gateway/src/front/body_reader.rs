use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hollyhook_core::{Error, ErrorKind, Result, TimePoint};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::gateway::{BodyReservation, GatewayContext};

/// Time limit for receiving a body, if the request's deadline is not sooner.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Retry-After delay if the memory for bodies is used up.
const MEMORY_RETRY: Duration = Duration::from_millis(500);

/// Reads a caller's whole body within the size and time limits; the returned reservation accounts for the
/// body's memory.
pub(super) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    deadline: TimePoint,
    context: &Arc<GatewayContext>,
) -> Result<(Bytes, BodyReservation)> {
    let limit = deadline.since(context.timer.now()).min(BODY_TIMEOUT);
    let mut reservation = context.load.reserve_body();
    let read = context.timer.within(limit, collect(body, max_bytes, &mut reservation)).await;
    let timed_out = || Err(Error::new(ErrorKind::RequestTimeout, "the body did not arrive in time"));
    let bytes = read.unwrap_or_else(timed_out)?;
    Ok((bytes, reservation))
}

async fn collect(mut body: Incoming, max_bytes: usize, reservation: &mut BodyReservation) -> Result<Bytes> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large(max_bytes));
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| {
            Error::new(ErrorKind::MalformedHead, "the body is not framed as HTTP/1.1 says, or broke off")
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max_bytes {
            return Err(too_large(max_bytes));
        }
        if !reservation.grow(data.len()) {
            let why = "requests under way take all memory for bodies";
            return Err(Error::new(ErrorKind::Overloaded, why).retry_after(MEMORY_RETRY));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

fn too_large(max_bytes: usize) -> Error {
    Error::new(ErrorKind::BodyTooLarge, format!("the body is larger than {max_bytes} bytes"))
}
