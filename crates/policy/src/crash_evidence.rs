//! Whether a request crashed the target on which its connection broke.
//!
//! A host whose links are cut sees the same broken connection. If another target can be reached, the links are sound.
//! Where none can, the request is blamed only if it accounts for all of them: machines that live refuse connections to each
//! target that was tried, none of the targets that the request did not reach went down with it, and the host is in touch
//! with the store or other hosts. See docs/design/known-faults.md.

use std::time::Duration;

/// How long ago the store or another host may have been heard from, for this host to count as in touch: a few rounds
/// of gossip.
const HEARD_AGE_MAX: Duration = Duration::from_millis(3000);

/// What an attempt to open a connection to a target showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The connection opened and lasted.
    Opened,
    /// A live machine refused it: no process listens there.
    Refused,
    /// Nothing came back in time, or the connection did not last.
    Silent,
}

/// What is known after the connection of a request to a target broke.
#[derive(Clone, Copy, Debug)]
pub struct CrashEvidence<'a> {
    /// What a new connection to the target showed.
    pub target: ConnectOutcome,
    /// What connections to some other targets showed.
    pub others: &'a [ConnectOutcome],
    /// Whether this host knows no other target.
    pub is_only_target: bool,
    /// Whether the request was sent to each known target, but for those that could not be reached before it came.
    pub accounts_for_all: bool,
    /// The time since the store or another host was heard from.
    pub heard_age: Option<Duration>,
}

impl CrashEvidence<'_> {
    /// Returns whether the request counts as having crashed the target.
    #[must_use]
    pub fn is_crash(&self) -> bool {
        if self.target == ConnectOutcome::Opened {
            return false;
        }
        if self.is_only_target || self.others.contains(&ConnectOutcome::Opened) {
            return true;
        }
        let are_refused = self.others.iter().all(|outcome| *outcome == ConnectOutcome::Refused);
        let is_in_touch = self.heard_age.is_some_and(|age| age <= HEARD_AGE_MAX);
        self.target == ConnectOutcome::Refused && are_refused && self.accounts_for_all && is_in_touch
    }
}
