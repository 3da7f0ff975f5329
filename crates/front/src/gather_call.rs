//! The request of one host to another to gather, and its answer.

use std::sync::Arc;

use bytes::Bytes;
use egret_model::{Fingerprint, record};

record! {
    /// A caller's request, for the host that asks the targets.
    pub struct GatherCall {
        /// The route.
        pub route: Arc<str>,
        /// The plan that the sender goes by; the receiver must go by the same.
        pub plan: Fingerprint,
        /// The method.
        pub method: String,
        /// Path and query, as the caller sent them.
        pub path: String,
        /// Names and values of the headers that go on.
        pub headers: Vec<(String, Bytes)>,
        /// The body.
        pub body: Bytes,
        /// Milliseconds for which the caller waits, from its request's arrival.
        pub deadline_ms: u64,
        /// Milliseconds that have passed since then.
        pub age_ms: u64,
        /// Microseconds after which the sender needs the answer to pass it on in time.
        pub answer_in_us: u64,
        /// Indices of the shards whose parts are wanted; `None` asks for a whole answer.
        pub shards: Option<Vec<u32>>,
        /// Whether another host may have asked targets for this request already.
        pub is_repeat: bool,
    }
}

record! {
    /// What came of a gather.
    pub struct GatherReply {
        /// Whether nothing follows; the parts of other data centres come in several replies.
        pub is_last: bool,
        /// Microseconds from the call's arrival until this reply, in the last one.
        pub held_us: u64,
        /// Whether enough parts are in for an answer.
        pub is_enough: bool,
        /// Copies beyond the first of each shard.
        pub extra: u32,
        /// Whether a target may have run the request.
        pub may_have_run: bool,
        /// Set where nothing was sent because of overload: milliseconds after which to come back.
        pub come_back_ms: Option<u64>,
        /// Indices of shards that were left out because they are overloaded.
        pub overloaded: Vec<u32>,
        /// Indices of shards for which no target was asked, in the last reply.
        pub not_asked: Vec<u32>,
        /// The receipts of the parts that are in, each with the index of its shard.
        pub receipts: Vec<(u32, Bytes)>,
        /// The greatest records of these parts.
        pub records: Bytes,
    }
}

impl GatherReply {
    /// Creates the reply of a gather that sent nothing.
    #[must_use]
    pub(crate) fn not_run() -> Self {
        Self {
            is_last: true,
            held_us: 0,
            is_enough: false,
            extra: 0,
            may_have_run: false,
            come_back_ms: None,
            overloaded: Vec::new(),
            not_asked: Vec::new(),
            receipts: Vec::new(),
            records: Bytes::new(),
        }
    }
}
