//! The framing of the replies to a gather call: each is preceded by its length.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    charged_buffer::ChargedBuffer,
    clock::now,
    connection::Connection,
    delegate::DelegateError,
    gather_call::GatherReply,
    memory_account::{Charge, MemoryUse},
    target::{InFlightGuard, Target},
};

/// The size of the length before each reply, in bytes.
const LENGTH_BYTES: usize = 4;
/// How long the end of the body may take after the last reply, which it usually arrives with. The connection is
/// not reused otherwise.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(10);
/// A reply that is sent in frames.
pub(crate) trait Framed: Serialize + DeserializeOwned {
    /// The limit of one reply, in bytes.
    const BYTES_MAX: usize;

    /// Returns whether no further reply follows.
    fn is_last(&self) -> bool;

    /// Keeps the charge of the decoded reply's memory with its largest part, until that is dropped.
    fn hold(self, charge: Charge) -> Self;
}

impl Framed for GatherReply {
    /// It holds the parts of many shards.
    const BYTES_MAX: usize = 4 << 20;

    fn is_last(&self) -> bool {
        self.is_last
    }

    fn hold(self, charge: Charge) -> Self {
        Self { records: charge.hold(self.records), ..self }
    }
}

/// Encodes a reply, preceded by its length.
pub(crate) fn encode_frame(reply: &impl Framed) -> Bytes {
    let body = egret_wire::encode_compact(reply);
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.put_u32(body.len() as u32);
    frame.extend_from_slice(&body);
    frame.freeze()
}

/// Reads the replies of a gatherer. Dropping it before the last reply closes the connection, which
/// makes the gatherer abort the gather.
#[derive(Debug)]
pub(crate) struct FrameReader {
    gatherer: Arc<Target>,
    connection: Option<Connection>,
    running: InFlightGuard,
    body: Incoming,
    /// Boxed, as the reader is held in the events of fan-outs.
    buf: Box<ChargedBuffer>,
    /// Until when replies are waited for.
    end_at: Instant,
}

impl FrameReader {
    pub(crate) fn new(
        connection: Connection,
        running: InFlightGuard,
        body: Incoming,
        end_at: Instant,
    ) -> Self {
        let gatherer = Arc::clone(&running.target);
        let buf = Box::new(gatherer.memory.buffer(MemoryUse::Replies, LENGTH_BYTES));
        Self { gatherer, connection: Some(connection), running, body, buf, end_at }
    }

    pub(crate) fn gatherer_id(&self) -> Arc<str> {
        Arc::clone(&self.gatherer.replica.id)
    }

    /// Reads the next reply.
    ///
    /// # Errors
    /// Returns [`DelegateError::Broken`] if the connection ends, the reply cannot be decoded or there is no memory
    /// for it, and
    /// [`DelegateError::TimedOut`] if the reply is not here in time.
    pub(crate) async fn next<R: Framed>(&mut self) -> Result<R, DelegateError> {
        loop {
            if let Some(reply) = self.take_frame::<R>()? {
                if reply.is_last() {
                    self.finish().await;
                }
                return Ok(reply);
            }
            let frame = tokio::time::timeout_at(self.end_at.into(), self.body.frame()).await;
            let frame = frame.map_err(|_| DelegateError::TimedOut)?.ok_or(DelegateError::Broken)?;
            let frame = frame.map_err(|_| DelegateError::Broken)?;
            if let Ok(data) = frame.into_data()
                && !self.buf.add(&data)
            {
                return Err(self.lose_for_memory());
            }
        }
    }

    /// Decodes the next reply in the buffer; returns `None` if it has not arrived completely.
    fn take_frame<R: Framed>(&mut self) -> Result<Option<R>, DelegateError> {
        let Some(head) = (*self.buf).as_ref().first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if length > R::BYTES_MAX {
            return Err(DelegateError::Broken);
        }
        let end = LENGTH_BYTES + length;
        self.buf.set_bytes_max(end);
        let Some(body) = (*self.buf).as_ref().get(LENGTH_BYTES..end) else { return Ok(None) };
        // The decoded reply is a copy.
        let Some(charge) = self.gatherer.memory.charge(MemoryUse::Replies.for_size(length), length) else {
            return Err(self.lose_for_memory());
        };
        let reply = egret_wire::decode::<R>(body).map_err(|_| DelegateError::Broken)?;
        self.buf.consume(end);
        Ok(Some(reply.hold(charge)))
    }

    /// The gatherer may have run what it was asked for, as if the connection had broken.
    fn lose_for_memory(&self) -> DelegateError {
        self.gatherer.memory.note_lost_answer();
        DelegateError::Broken
    }

    /// Ends the exchange after the last reply, and keeps the connection for reuse if the body ends
    /// there, too.
    async fn finish(&mut self) {
        self.running.end(now(), egret_policy::ExchangeEnd::Answered);
        let end = tokio::time::timeout(BODY_END_TIMEOUT, self.body.frame()).await;
        if matches!(end, Ok(None))
            && let Some(connection) = self.connection.take()
        {
            connection.keep(&self.gatherer);
        }
    }
}
