//! Reading the body of a caller's request within the memory account.

use std::time::Duration;

use bytes::Bytes;
use egret_routes::CallerLimits;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::{
    caller_request::RequestReadError, core::Core, memory_account::MemoryUse, timed_io::ActivityCell,
};

/// How many bytes may be read for each byte of a body: a chunk of one byte takes six, and more where its
/// size has leading zeros.
const FRAMING_FACTOR: usize = 16;
/// How many bytes may be read beyond that: chunk extensions and trailers.
const FRAMING_BYTES_MAX: usize = 64 << 10;

/// Reads a whole body. Its memory is charged before it is kept, with as much again for a copy in a message
/// to another host.
pub(crate) async fn read_caller_body(
    core: &Core,
    body: Incoming,
    limits: CallerLimits,
    time_max: Duration,
    activity: &ActivityCell,
) -> Result<Bytes, RequestReadError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(RequestReadError::BodyTooLarge);
    }
    // The connection's buffer, into which bytes are read ahead, may be as large as a head.
    activity.begin_body(FRAMING_BYTES_MAX + limits.header_bytes);
    let result = tokio::select! {
        biased;
        () = activity.evicted() => Err(RequestReadError::NoMemory),
        read = tokio::time::timeout(time_max, read(core, body, limits.body_bytes, activity)) => {
            read.unwrap_or(Err(RequestReadError::BodyTooSlow))
        }
    };
    activity.end_body();
    result
}

async fn read(
    core: &Core,
    mut body: Incoming,
    bytes_max: usize,
    activity: &ActivityCell,
) -> Result<Bytes, RequestReadError> {
    let mut whole = core.memory.buffer(MemoryUse::LargeBodies, bytes_max);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestReadError::BodyBroken)?;
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > bytes_max {
            return Err(RequestReadError::BodyTooLarge);
        }
        if !core.make_room(Some(activity), || whole.add(&data)).await {
            return Err(RequestReadError::NoMemory);
        }
        activity.body_grew(whole.len(), FRAMING_FACTOR * data.len());
    }
    if !core.make_room(Some(activity), || whole.charge_copy()).await {
        return Err(RequestReadError::NoMemory);
    }
    Ok(whole.freeze())
}
