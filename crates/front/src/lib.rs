//! The host daemon: answers callers' requests by sending requests to replicas, and keeps its view of
//! the fleet up to date.
//!
//! One process runs on each host. [`Front::spawn`] starts it. Whatever depends on the users'
//! platform is passed in: the names of headers as [`HeaderNames`], the platform's store as a
//! [`Store`].
//!
//! The path of a request:
//!
//! 1. `listener` and `caller_connection` accept connections and limit what callers may send;
//!    `memory_account` charges what they hold, `caller_connections` evicts some when memory is short;
//! 2. `caller_request` reads the whole request, `answer` finds its route;
//! 3. a request for many shards goes to a gatherer, a host near their targets: `delegate` sends it,
//!    `gather_server` receives it there;
//!    While this host reaches no target, `forward` sends other requests to a gatherer, too;
//! 4. `fan_out` sends a request to one replica of each service that the route needs; `egret_policy`
//!    decides which replica, when to hedge, and when to answer or refuse;
//! 5. `exchange` sends one request over one `connection` to one `target`;
//! 6. `reply` writes the answer or the refusal.
//!
//! On the control thread, `fleet_view` holds the members, the configuration and the replicas that
//! this host knows. `store_reader` updates it from the store if this host is one of the few readers,
//! and `gossip` exchanges it with other hosts. docs/PLATFORM.md compares the alternatives.

mod admission;
mod answer;
mod bounded_io;
mod call_deadlines;
mod caller_body;
mod caller_connection;
mod caller_connections;
mod caller_request;
mod carried_headers;
mod charged_buffer;
mod clock;
mod connection;
mod connection_limit;
mod core;
mod delegate;
mod deletion_guard;
mod exchange;
mod excluded_replica;
mod explain;
mod fan_out;
mod fan_out_options;
mod fan_out_result;
mod fleet_view;
mod forward;
mod forward_call;
mod forward_server;
mod front;
mod gather;
mod gather_call;
mod gather_frames;
mod gather_options;
mod gather_server;
mod gossip;
mod header_names;
mod home_views;
mod instruments;
mod limit_sharers;
mod listener;
mod mechanism;
mod memory_account;
mod metrics_site;
mod options;
mod parts_sender;
mod probe;
mod ready;
mod reply;
mod request_work;
mod retry_after;
mod route_latency;
mod sender_watch;
mod sent_to;
mod shared_stream;
mod shortage_log;
mod store;
mod store_cursor;
mod store_reader;
mod target;
mod target_answer;
mod target_set;
mod target_warm_up;
mod timed_io;

pub use deletion_guard::{DELETION_HOLD, DeletionGuard};
pub use explain::{
    AdmissionVerdict, AdmissionView, CostView, EXPLAIN_PATH, Explanation, GatherView, GathererView, Question,
    QuestionError, QuestionFailure, Refusal, RouteKind, RouteView, ServiceView, ShardView, TargetCondition,
    TargetView,
};
pub use front::{Front, FrontError};
pub use header_names::HeaderNames;
pub use mechanism::{DisabledMechanisms, Mechanism, UnknownMechanism};
pub use options::Options;
pub use store::{Store, StoreError, StoreRead};
pub use store_cursor::{StoreCursor, UnusableRead};
