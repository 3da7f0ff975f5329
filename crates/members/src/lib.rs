//! Which hosts live, and what they tell each other: no I/O.
//!
//! There is no host list to read. A host asks the seeds of its settings, and from then on
//! every exchange carries some members, each with a counter that only its own host
//! advances. A member whose counter stands still for a while counts as lost:
//!
//! ```
//! use std::time::{Duration, Instant};
//! use egret_members::{Member, Membership, SUSPECT_AFTER};
//!
//! let now = Instant::now();
//! let member = |ip: &str| Member::new(ip.parse().unwrap(), "seeb", 1);
//! let mut membership = Membership::new(now, member("10.0.0.1:80"));
//! membership.learn(now, &member("10.0.0.2:80"));
//! assert_eq!(membership.live(now).count(), 2);
//! assert_eq!(membership.live(now + SUSPECT_AFTER).count(), 1);
//! ```
//!
//! [`News`] is the one message between hosts: members, configuration, replicas, and
//! requests that broke targets. docs/PLATFORM.md says what was weighed.

mod member;
mod membership;
mod news;

pub use member::Member;
pub use membership::{FORGET_AFTER, Membership, SUSPECT_AFTER};
pub use news::News;
