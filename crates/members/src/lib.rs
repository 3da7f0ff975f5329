//! Membership of the fleet by gossip, in the manner of SWIM: no I/O.
//!
//! No host list is configured. A host contacts the seeds of its settings and learns the other
//! members from their replies. A member counts as live until a host gets no reply from it; it is
//! then suspect, and counts as lost unless it refutes the suspicion within [`SUSPICION_TIMEOUT`]:
//!
//! ```
//! use std::time::Instant;
//! use egret_members::{Member, Membership, SUSPICION_TIMEOUT};
//!
//! let now = Instant::now();
//! let member = |ip: &str| Member::new(ip.parse().unwrap(), "seeb", 1);
//! let mut membership = Membership::new(now, member("10.0.0.1:80"));
//! membership.merge(now, &member("10.0.0.2:80"));
//! assert_eq!(membership.live(now).count(), 2);
//! membership.suspect(now, "10.0.0.2:80".parse().unwrap());
//! assert_eq!(membership.live(now + SUSPICION_TIMEOUT).count(), 1);
//! ```
//!
//! [`GossipMessage`] is the only message between hosts: it carries members, the configuration,
//! replicas, and the fingerprints of requests that crashed targets. docs/PLATFORM.md compares the
//! alternatives.

mod gossip_message;
mod member;
mod member_state;
mod membership;

pub use gossip_message::{COMPACT_LAYOUT, GossipMessage, StatedChanges};
pub use member::Member;
pub use member_state::MemberState;
pub use membership::{GONE_RETENTION, Membership, SUSPICION_TIMEOUT};
