//! What came of a fan-out.

use std::time::Duration;

use bytes::Bytes;

use crate::parts_sender::PartsSender;
use crate::target_answer::{LossCause, TargetAnswer};

/// What came of a fan-out.
#[derive(Debug, Default)]
pub(crate) struct FanOutResult {
    /// One answer a service, where this host got it from a target.
    pub(crate) parts: Vec<Option<TargetAnswer>>,
    /// One receipt a service, where a gatherer of another data centre got the part.
    pub(crate) remote_receipts: Vec<Option<Bytes>>,
    /// The greatest records of the parts of each such gatherer.
    pub(crate) remote_records: Vec<Bytes>,
    /// Whether enough parts are in for an answer.
    pub(crate) is_enough: bool,
    /// Whether a target may have run the request.
    pub(crate) may_have_run: bool,
    /// The last failure that a target signed.
    pub(crate) failure: Option<TargetAnswer>,
    /// The last reason why an exchange brought nothing.
    pub(crate) last_loss: Option<LossCause>,
    /// Copies beyond the first of each service.
    pub(crate) extra_attempts: u32,
    /// Set where nothing was sent because too many services are overloaded: when to come back.
    pub(crate) overload_retry_after: Option<Duration>,
    /// The longest time for which all targets of a service want nothing, where they do.
    pub(crate) backoff_left: Option<Duration>,
    /// Services that were overloaded at the start.
    pub(crate) overloaded: Vec<usize>,
    /// Services for which no target was asked in the end.
    pub(crate) not_asked: Vec<usize>,
    /// Services that were left out because they are overloaded.
    pub(crate) skipped: usize,
    /// How the parts go to a gatherer of another data centre, where they do.
    pub(crate) parts_sender: Option<PartsSender>,
    /// Second copies that no target would have answered in time.
    pub(crate) hedges_without_target: u32,
    /// Second copies that the budget did not allow.
    pub(crate) hedges_without_budget: u32,
    /// Services for which no target could be asked.
    pub(crate) without_target: u32,
}

impl FanOutResult {
    pub(crate) fn new(services: usize) -> Self {
        Self { parts: vec![None; services], remote_receipts: vec![None; services], ..Self::default() }
    }

    /// Returns the receipts of all parts that are in, each with its service's index.
    pub(crate) fn receipts(&self) -> Vec<(usize, Bytes)> {
        let own = |part: &Option<TargetAnswer>| {
            let receipt = part.as_ref()?.receipt.as_ref()?;
            Some(Bytes::copy_from_slice(receipt.as_bytes()))
        };
        let both = self.parts.iter().zip(&self.remote_receipts).enumerate();
        both.filter_map(|(at, (part, remote))| Some((at, own(part).or_else(|| remote.clone())?))).collect()
    }

    /// Returns the records of all parts that are in, part by part or already merged.
    pub(crate) fn records(&self) -> Vec<Bytes> {
        let own = self.parts.iter().flatten().map(|part| part.body.clone());
        own.chain(self.remote_records.iter().cloned()).collect()
    }

    /// Returns what happened, for logs.
    pub(crate) fn summary(&self) -> String {
        let loss = self.last_loss.map_or_else(|| "none".to_owned(), |cause| cause.to_string());
        let signed = self.failure.as_ref().map_or(0, |answer| answer.status.as_u16());
        format!(
            "{} overloaded and left out, {} without target, {} extra copies, {} more without \
             a target in time, {} more over budget, may have run: {}, last failure of a target: {signed}, last loss: {loss}",
            self.skipped,
            self.without_target,
            self.extra_attempts,
            self.hedges_without_target,
            self.hedges_without_budget,
            self.may_have_run
        )
    }
}
