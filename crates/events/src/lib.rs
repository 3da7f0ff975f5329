//! Numbered events, their causal order and the merged timeline.
//!
//! Each process keeps its latest events in a [`Journal`]. Messages between
//! processes carry a [`Stamp`], so that an effect always has a later stamp than
//! its cause, however far the clocks of the hosts differ.
//!
//! ```
//! use egret_events::{Clock, Code, Journal, merge_journals};
//!
//! let entry = Journal::new("entry@a", Clock::with_source(|| 500));
//! // This host's clock is far behind.
//! let relay = Journal::new("relay@b", Clock::with_source(|| 3));
//!
//! let sent = entry.record(Code::ScatterSent, None, "to relay@b");
//! relay.clock().observe(sent);
//! relay.record(Code::ScatterReceived, None, "from entry@a");
//!
//! let line = merge_journals([relay.events(), entry.events()]);
//! assert_eq!(line[0].process, "entry@a");
//! ```
//!
//! docs/EVENTS.md lists every number; a test compares it with [`Code::all`].

mod clock;
mod code;
mod event;
mod journal;
mod log;
mod log_line;
mod stamp;
mod timeline;

pub use clock::Clock;
pub use code::Code;
pub use event::Event;
pub use journal::{JOURNAL_EVENTS_MAX, Journal};
pub use log::{log_event, log_request_event};
pub use log_line::{LogLine, request_timeline};
pub use stamp::Stamp;
pub use timeline::{EventFilter, merge_journals};
