//! Which relays an entry believes to be reachable.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

const DOWN_FIRST: Duration = Duration::from_millis(500);
const DOWN_DOUBLINGS_MAX: u32 = 4;

#[derive(Clone, Copy, Debug)]
struct Down {
    relay: SocketAddr,
    failures: u32,
    probe_at: Instant,
}

/// Remembers the relays that failed, until they answer again.
#[derive(Clone, Debug, Default)]
pub struct RelayHealth {
    down: Vec<Down>,
}

impl RelayHealth {
    /// Tells whether a relay takes work.
    #[must_use]
    pub fn is_up(&self, relay: SocketAddr) -> bool {
        self.find(relay).is_err()
    }

    /// Notes a failure; returns whether the relay was up before.
    pub fn failed(&mut self, now: Instant, relay: SocketAddr) -> bool {
        match self.find(relay) {
            Ok(at) => {
                let down = &mut self.down[at];
                down.failures += 1;
                down.probe_at = now + DOWN_FIRST * 2_u32.pow(down.failures.min(DOWN_DOUBLINGS_MAX));
                false
            }
            Err(at) => {
                self.down.insert(at, Down { relay, failures: 0, probe_at: now + DOWN_FIRST });
                true
            }
        }
    }

    /// Notes an answer; returns whether the relay was down before.
    pub fn answered(&mut self, relay: SocketAddr) -> bool {
        self.find(relay).map(|at| self.down.remove(at)).is_ok()
    }

    /// Lists the relays to probe now.
    #[must_use]
    pub fn to_probe(&self, now: Instant) -> Vec<SocketAddr> {
        self.down.iter().filter(|down| down.probe_at <= now).map(|down| down.relay).collect()
    }

    /// Forgets relays that are no longer listed; `listed` must be sorted.
    pub fn retain(&mut self, listed: &[SocketAddr]) {
        self.down.retain(|down| listed.binary_search(&down.relay).is_ok());
    }

    fn find(&self, relay: SocketAddr) -> Result<usize, usize> {
        self.down.binary_search_by_key(&relay, |down| down.relay)
    }
}
