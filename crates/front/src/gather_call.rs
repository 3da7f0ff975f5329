//! The message that asks another host to gather, and its replies.

use std::sync::Arc;

use bytes::Bytes;
use egret_model::{Fingerprint, record};

record! {
    /// A caller's request, as it is sent to a gatherer.
    pub struct GatherCall {
        /// The name of the route.
        pub route: Arc<str>,
        /// The fingerprint of the sender's gather plan; the receiver's must be the same.
        pub plan: Fingerprint,
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
        /// Indices in the plan of the shards whose parts are requested; `None` requests the whole
        /// answer.
        pub shards: Option<Vec<u32>>,
        /// Whether another host may have sent this request to targets already.
        pub is_repeat: bool,
    }
}

record! {
    /// One reply to a [`GatherCall`]: the parts that arrived since the previous one.
    pub struct GatherReply {
        /// Whether this is the last reply; parts for another data centre come in several.
        pub is_last: bool,
        /// Microseconds from the call's arrival until this reply; set in the last one.
        pub held_us: u64,
        /// Whether enough parts arrived for an answer.
        pub is_enough: bool,
        /// Attempts beyond the first at each shard.
        pub extra: u32,
        /// Whether a target may have run the request.
        pub may_have_run: bool,
        /// Milliseconds after which the caller may retry; set if nothing was sent because of overload.
        pub come_back_ms: Option<u64>,
        /// Indices of shards that were skipped because they are overloaded.
        pub overloaded: Vec<u32>,
        /// Indices of shards of which no target was sent the request; set in the last reply.
        pub not_asked: Vec<u32>,
        /// The receipts of the parts in this reply, each with the index of its shard.
        pub receipts: Vec<(u32, Bytes)>,
        /// The top records of these parts, merged.
        pub records: Bytes,
    }
}

impl GatherReply {
    /// Creates the only reply of a gather that sent no request to a target.
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
