//! The order among senders whose queries wait for a start.

use std::net::IpAddr;

/// The most senders that are remembered. A sender that is forgotten counts as one that has not been started, so the one
/// that was started the longest ago is forgotten first.
const SENDERS_MAX: usize = 512;

/// Which sender was started when: the next start goes to the one that was started least recently.
#[derive(Clone, Debug, Default)]
pub struct SenderTurns {
    /// The number of starts until the last one of each sender; sorted by sender.
    last_starts: Vec<(IpAddr, u64)>,
    starts: u64,
}

impl SenderTurns {
    /// Records the start of a query of a sender.
    pub fn record_start(&mut self, sender: IpAddr) {
        self.starts += 1;
        match self.find(sender) {
            Ok(at) => self.last_starts[at].1 = self.starts,
            Err(_) => {
                let oldest = (0..self.last_starts.len()).min_by_key(|&at| self.last_starts[at].1);
                if let Some(at) = oldest.filter(|_| self.last_starts.len() == SENDERS_MAX) {
                    self.last_starts.remove(at);
                }
                let at = self.find(sender).unwrap_or_else(|at| at);
                self.last_starts.insert(at, (sender, self.starts));
            }
        }
    }

    /// Returns the turn of a sender; the least is next.
    #[must_use]
    pub fn turn(&self, sender: IpAddr) -> u64 {
        self.find(sender).map_or(0, |at| self.last_starts[at].1)
    }

    fn find(&self, sender: IpAddr) -> Result<usize, usize> {
        self.last_starts.binary_search_by_key(&sender, |(known, _)| *known)
    }
}
