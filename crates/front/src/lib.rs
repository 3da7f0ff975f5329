//! The host daemon: takes callers' requests, asks replicas, and keeps up with the fleet.
//!
//! One process runs on each host. [`Front::spawn`] starts it; what speaks to the users'
//! platform is handed in: the names of headers as [`HeaderNames`], the platform's store
//! as a [`Store`].
//!
//! The path of a request:
//!
//! 1. `listener` and `caller_connection` take connections and bound what callers may send;
//! 2. `caller_request` reads a request whole, `answer` finds its route;
//! 3. a request for many shards goes to a host near their targets, a gatherer: `delegate`
//!    sends it, `gather_server` takes it there;
//! 4. `fan_out` asks one replica of each service that the route needs, with the decisions of
//!    `egret_policy`: which replica, when a second copy goes out, when to answer or give up;
//! 5. `exchange` sends one request over one `connection` to one `target`;
//! 6. `reply` writes the answer, or the refusal.
//!
//! On the control thread, `store_reader` follows the store where this host is a reader, `gossip`
//! tells other hosts, and `fleet_view` holds what this host knows. docs/PLATFORM.md says
//! what was weighed.

mod answer;
mod answer_memory;
mod bounded_io;
mod caller_connection;
mod caller_request;
mod clock;
mod connection;
mod core;
mod delegate;
mod deletion_guard;
mod exchange;
mod fan_out;
mod fan_out_options;
mod fan_out_result;
mod fleet_view;
mod front;
mod gather;
mod gather_call;
mod gather_frames;
mod gather_options;
mod gather_server;
mod gossip;
mod header_names;
mod instruments;
mod listener;
mod mechanism;
mod metrics_site;
mod options;
mod parts_sender;
mod ready;
mod reply;
mod retry_after;
mod route_latency;
mod store;
mod store_cursor;
mod store_reader;
mod target;
mod target_answer;
mod target_set;
mod timed_io;

pub use deletion_guard::{DELETION_HOLD, DeletionGuard};
pub use front::{Front, FrontError};
pub use header_names::HeaderNames;
pub use mechanism::{DisabledMechanisms, Mechanism, UnknownMechanism};
pub use options::Options;
pub use store::{Store, StoreError, StoreRead};
pub use store_cursor::{StoreCursor, UnusableRead};
