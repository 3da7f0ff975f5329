//! Which hosts live, and what they tell each other: no I/O.
//!
//! There is no host list to read. A host asks the seeds of its settings, and is introduced
//! to the others. A member counts as live until it does not answer somebody and does not
//! contradict within a while:
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
//! [`GossipMessage`] is the one message between hosts: members, configuration, replicas, and
//! requests that broke targets. docs/PLATFORM.md says what was weighed.

mod gossip_message;
mod member;
mod member_state;
mod membership;

pub use gossip_message::GossipMessage;
pub use member::Member;
pub use member_state::MemberState;
pub use membership::{GONE_RETENTION, Membership, SUSPICION_TIMEOUT};
