//! Handing parts over to a gatherer of another data centre.

use std::time::{Duration, Instant};

use bytes::Bytes;
use egret_policy::GatherLimits;
use egret_routes::merge_top_records;
use tokio::sync::mpsc;

use crate::{fan_out_result::FanOutResult, gather_call::GatherReply};

/// How long before the goal the parts that are in are handed over.
const SEND_BEFORE_GOAL: Duration = Duration::from_millis(8);

/// Hands parts over: those that are in shortly before the goal together, later ones one by one.
#[derive(Debug)]
pub(crate) struct PartsSender {
    at: Instant,
    /// The caller's indices of the shards.
    shards: Vec<u32>,
    top: usize,
    replies: mpsc::UnboundedSender<GatherReply>,
    has_begun: bool,
    sent: Vec<bool>,
}

impl PartsSender {
    pub(crate) fn new(
        limits: &GatherLimits,
        shards: &[u32],
        top: usize,
        replies: mpsc::UnboundedSender<GatherReply>,
    ) -> Self {
        let at = limits.goal_at.checked_sub(SEND_BEFORE_GOAL).unwrap_or(limits.goal_at);
        Self { at, shards: shards.to_vec(), top, replies, has_begun: false, sent: vec![false; shards.len()] }
    }

    /// Returns when the first parts are due, until they are handed over.
    pub(crate) fn due_at(&self) -> Option<Instant> {
        (!self.has_begun).then_some(self.at)
    }

    /// Hands over what is in and due.
    pub(crate) fn send_due(&mut self, now: Instant, end: &FanOutResult) {
        if now < self.at {
            return;
        }
        self.has_begun = true;
        let reply = self.reply(end);
        if !reply.receipts.is_empty() {
            for (at, _) in end.receipts() {
                self.sent[at] = true;
            }
            // A gatherer that is gone has closed the connection, which ends this one's work.
            let _ = self.replies.send(reply);
        }
    }

    /// Returns the reply that ends the answer.
    pub(crate) fn last_reply(&self, end: &FanOutResult) -> GatherReply {
        GatherReply { is_last: true, ..self.reply(end) }
    }

    fn reply(&self, end: &FanOutResult) -> GatherReply {
        let is_new = |at: &usize| !self.sent[*at];
        let new = end.receipts().into_iter().filter(|(at, _)| is_new(at));
        let receipts: Vec<(u32, Bytes)> = new.map(|(at, receipt)| (self.shards[at], receipt)).collect();
        let parts = end.parts.iter().enumerate().filter(|(at, _)| is_new(at));
        let bodies: Vec<Bytes> = parts.filter_map(|(_, part)| Some(part.as_ref()?.body.clone())).collect();
        GatherReply {
            is_last: false,
            held_us: 0,
            is_enough: end.is_enough,
            extra: end.extra_attempts,
            may_have_run: end.may_have_run,
            come_back_ms: None,
            overloaded: self.indices(&end.overloaded),
            not_asked: self.indices(&end.not_asked),
            receipts,
            records: merge_top_records(&bodies, self.top),
        }
    }

    /// Returns the caller's indices of some shards.
    fn indices(&self, shards: &[usize]) -> Vec<u32> {
        shards.iter().map(|&at| self.shards[at]).collect()
    }
}
