//! Sending parts to the other gatherer that asked for them.

use std::time::{Duration, Instant};

use bytes::Bytes;
use egret_policy::GatherLimits;
use egret_routes::merge_top_records;
use tokio::sync::mpsc;

use crate::{fan_out_result::FanOutResult, gather_call::GatherReply};

/// How long before the latency objective the first reply is sent, with the parts that arrived until
/// then.
const SEND_BEFORE_OBJECTIVE: Duration = Duration::from_millis(8);

/// Sends parts to another gatherer: those that arrive until shortly before the latency objective in
/// one reply, later ones one by one.
#[derive(Debug)]
pub(crate) struct PartsSender {
    first_due_at: Instant,
    /// The index of each shard in the plan, which the receiver uses.
    shards: Vec<u32>,
    top_k: usize,
    replies: mpsc::UnboundedSender<GatherReply>,
    has_sent_first: bool,
    /// Whether the part of each shard was sent.
    sent: Vec<bool>,
}

impl PartsSender {
    pub(crate) fn new(
        limits: &GatherLimits,
        shards: &[u32],
        top_k: usize,
        replies: mpsc::UnboundedSender<GatherReply>,
    ) -> Self {
        let first_due_at =
            limits.objective_at.checked_sub(SEND_BEFORE_OBJECTIVE).unwrap_or(limits.objective_at);
        Self {
            first_due_at,
            shards: shards.to_vec(),
            top_k,
            replies,
            has_sent_first: false,
            sent: vec![false; shards.len()],
        }
    }

    /// Returns when the first reply is due, until it is sent.
    pub(crate) fn due_at(&self) -> Option<Instant> {
        (!self.has_sent_first).then_some(self.first_due_at)
    }

    /// Sends the parts that arrived and were not sent yet, once the first reply is due.
    pub(crate) fn send_due(&mut self, now: Instant, result: &FanOutResult) {
        if now < self.first_due_at {
            return;
        }
        self.has_sent_first = true;
        // Runs with each event past the objective, so nothing is copied where no part is new.
        let new = result.receipts_of(|at| !self.sent[at]);
        if new.is_empty() {
            return;
        }
        let arrived: Vec<usize> = new.iter().map(|(at, _)| *at).collect();
        // Sending fails once the other gatherer has closed the connection, which ends this
        // fan-out, too.
        let _ = self.replies.send(self.reply(result, new));
        for at in arrived {
            self.sent[at] = true;
        }
    }

    /// Returns the last reply, with the parts that were not sent yet.
    pub(crate) fn last_reply(&self, result: &FanOutResult) -> GatherReply {
        GatherReply { is_last: true, ..self.reply(result, result.receipts_of(|at| !self.sent[at])) }
    }

    /// Returns a reply with the parts that were not sent yet, whose receipts are `new`.
    fn reply(&self, result: &FanOutResult, new: Vec<(usize, Bytes)>) -> GatherReply {
        let receipts: Vec<(u32, Bytes)> =
            new.into_iter().map(|(at, receipt)| (self.shards[at], receipt)).collect();
        let parts = result.parts.iter().enumerate().filter(|(at, _)| !self.sent[*at]);
        let bodies: Vec<Bytes> = parts.filter_map(|(_, part)| Some(part.as_ref()?.body.clone())).collect();
        GatherReply {
            is_last: false,
            held_us: 0,
            is_enough: result.is_enough,
            extra: result.extra_attempts,
            may_have_run: result.may_have_run,
            come_back_ms: None,
            overloaded: self.indices(&result.overloaded),
            not_asked: self.indices(&result.not_asked),
            receipts,
            records: merge_top_records(&bodies, self.top_k),
        }
    }

    /// Returns the indices of some shards in the plan.
    fn indices(&self, shards: &[usize]) -> Vec<u32> {
        shards.iter().map(|&at| self.shards[at]).collect()
    }
}
