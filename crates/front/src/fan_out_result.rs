//! The result of a fan-out.

use std::time::Duration;

use bytes::Bytes;

use crate::parts_sender::PartsSender;
use crate::target_answer::{LossCause, TargetAnswer};

/// The result of a fan-out.
#[derive(Debug, Default)]
pub(crate) struct FanOutResult {
    /// The answer of each service that this host received from a target.
    pub(crate) parts: Vec<Option<TargetAnswer>>,
    /// The receipt of each service whose part came from another gatherer.
    pub(crate) remote_receipts: Vec<Option<Bytes>>,
    /// The top records of each reply of such a gatherer, merged over its parts.
    pub(crate) remote_records: Vec<Bytes>,
    /// Whether enough parts arrived for an answer.
    pub(crate) is_enough: bool,
    /// Whether a target may have run the request.
    pub(crate) may_have_run: bool,
    /// The last failure that came with a target's receipt.
    pub(crate) failure: Option<TargetAnswer>,
    /// Why the last exchange without a usable answer had none.
    pub(crate) last_loss: Option<LossCause>,
    /// Attempts beyond the first at each service.
    pub(crate) extra_attempts: u32,
    /// After what time the caller may retry; set if nothing was sent because too many services
    /// are overloaded.
    pub(crate) overload_retry_after: Option<Duration>,
    /// Why the shards of an overload cannot be asked, for logs.
    pub(crate) overload_detail: String,
    /// The longest time until a service whose targets are all in backoff has one that accepts requests
    /// again; `None` if there is no such service.
    pub(crate) backoff_left: Option<Duration>,
    /// Services that were skipped at the start because they were overloaded.
    pub(crate) overloaded: Vec<usize>,
    /// Services of which no target was sent the request.
    pub(crate) not_asked: Vec<usize>,
    /// The number of services that were still skipped at the end.
    pub(crate) skipped: usize,
    /// Sends the parts to another gatherer, if one asked for them.
    pub(crate) parts_sender: Option<PartsSender>,
    /// Hedges that were not sent, as no target was expected to answer in time.
    pub(crate) hedges_without_target: u32,
    /// Hedges that were not sent for lack of retry budget.
    pub(crate) hedges_without_budget: u32,
    /// The requests that waited at each target that answered, as a multiple of its slots. A shed request
    /// says nothing of the queue: some targets shed without one.
    pub(crate) queued_per_slot: Vec<f64>,
    /// How late this host was to continue the fan-out, if that was measured.
    pub(crate) host_delay: Duration,
    /// How many times no target could take the first attempt at a service.
    pub(crate) without_target: u32,
}

impl FanOutResult {
    pub(crate) fn new(services: usize) -> Self {
        Self { parts: vec![None; services], remote_receipts: vec![None; services], ..Self::default() }
    }

    /// Returns the receipts of all parts that arrived, each with its service's index.
    pub(crate) fn receipts(&self) -> Vec<(usize, Bytes)> {
        self.receipts_of(|_| true)
    }

    /// Returns the receipts of the wanted services whose parts arrived, each with its service's index.
    pub(crate) fn receipts_of(&self, is_wanted: impl Fn(usize) -> bool) -> Vec<(usize, Bytes)> {
        let own = |part: &Option<TargetAnswer>| {
            let receipt = part.as_ref()?.receipt.as_ref()?;
            Some(Bytes::copy_from_slice(receipt.as_bytes()))
        };
        let both = self.parts.iter().zip(&self.remote_receipts).enumerate();
        let both = both.filter(|(at, _)| is_wanted(*at));
        both.filter_map(|(at, (part, remote))| Some((at, own(part).or_else(|| remote.clone())?))).collect()
    }

    /// Returns the records of all parts that arrived: of each part, or merged by a gatherer.
    pub(crate) fn records(&self) -> Vec<Bytes> {
        let own = self.parts.iter().flatten().map(|part| part.body.clone());
        own.chain(self.remote_records.iter().cloned()).collect()
    }

    /// Describes the result in the detail of a log event.
    pub(crate) fn summary(&self) -> String {
        let loss = self.last_loss.map_or_else(|| "none".to_owned(), |cause| cause.to_string());
        let signed = self.failure.as_ref().map_or(0, |answer| answer.status.as_u16());
        format!(
            "services skipped: {}, services without an available target: {}, extra attempts: {}, \
             hedges without a target in time: {}, hedges over the retry budget: {}, may have run: {}, \
             last status that a target signed: {signed}, last exchange without an answer: {loss}",
            self.skipped,
            self.without_target,
            self.extra_attempts,
            self.hedges_without_target,
            self.hedges_without_budget,
            self.may_have_run
        )
    }
}
