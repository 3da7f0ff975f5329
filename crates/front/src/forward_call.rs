//! The message that asks another host to send a request to one target, and its reply.

use std::sync::Arc;

use bytes::Bytes;
use egret_model::record;

use crate::{gather_frames::Framed, memory_account::Charge};

/// The limit of a reply, in bytes: a whole answer with its headers fits.
const REPLY_BYTES_MAX: usize = 9 << 20;

record! {
    /// A caller's request on a route that needs one target, as it is sent to a gatherer.
    pub struct ForwardCall {
        /// The name of the route.
        pub route: Arc<str>,
        /// The service that the sender chose; the receiver's route must name it, too.
        pub service: Arc<str>,
        /// Whether the sender's route allows the request to run more than once; the receiver's must agree.
        pub idempotent: bool,
        /// The method of the caller's request.
        pub method: String,
        /// Path and query, as the caller sent them.
        pub path: String,
        /// Names and values of the headers that are passed on.
        pub headers: Vec<(String, Bytes)>,
        /// The body of the caller's request.
        pub body: Bytes,
        /// Milliseconds that the caller waits, from its request's arrival.
        pub deadline_ms: u64,
        /// Milliseconds since the request's arrival.
        pub age_ms: u64,
        /// Microseconds until the sender needs the answer, to pass it on by the latency objective.
        pub answer_in_us: u64,
        /// The most targets that the receiver may send the request to.
        pub attempts_max: u32,
        /// Whether another host may have sent this request to targets already.
        pub is_repeat: bool,
    }
}

record! {
    /// The only reply to a [`ForwardCall`].
    #[derive(Default)]
    pub struct ForwardReply {
        /// The target's answer; without one, the request failed.
        pub answer: Option<ForwardedAnswer>,
        /// Whether a target may have run the request.
        pub may_have_run: bool,
        /// Milliseconds until a target accepts requests, if all are in backoff.
        pub backoff_ms: Option<u64>,
    }
}

record! {
    /// A target's complete answer.
    pub struct ForwardedAnswer {
        /// The status.
        pub status: u16,
        /// Names and values of the headers.
        pub headers: Vec<(String, Bytes)>,
        /// The target's signature over its answer.
        pub receipt: Option<Bytes>,
        /// The whole body.
        pub body: Bytes,
    }
}

impl Framed for ForwardReply {
    const BYTES_MAX: usize = REPLY_BYTES_MAX;

    fn is_last(&self) -> bool {
        true
    }

    fn hold(self, charge: Charge) -> Self {
        let hold = |answer: ForwardedAnswer| ForwardedAnswer { body: charge.hold(answer.body), ..answer };
        Self { answer: self.answer.map(hold), ..self }
    }
}
