//! Messages between the processes of egretcross, its callers, its targets and the platform.
//!
//! Processes of the system exchange MessagePack over HTTP ([`encode`], [`decode`]);
//! callers, targets and the platform exchange JSON with them. Replies echo the
//! identifiers of their request, so that a receiver can drop a reply that belongs
//! to another request:
//!
//! ```
//! use egret_model::{Incarnation, QueryId};
//! use egret_wire::{Cancel, decode, encode, encode_compact};
//!
//! let cancel = Cancel { query: QueryId(7), origin: Incarnation(1), attempt: 2 };
//! let bytes = encode(&cancel);
//! assert_eq!(decode::<Cancel>(&bytes).unwrap(), cancel);
//! assert!(decode::<Cancel>(&bytes[..3]).is_err());
//! ```
//!
//! - Callers (docs/API.md): [`QueryRequest`], [`QueryAnswer`], [`RefusalBody`].
//! - Targets (docs/TARGETS.md): [`SearchRequest`], [`SearchReply`], [`TargetRefusal`],
//!   [`TargetHealth`], [`Cancel`].
//! - From an entry to a relay and back: [`Scatter`], [`ScatterReply`].
//! - Between relays: [`RelayGossip`].
//! - Between agents: [`PeerQuery`], [`PeerState`].
//! - From an agent to the entry and the relay of its host: [`LocalState`].

mod agent_peer;
mod answer;
mod codec;
mod leaving_target;
mod local_state;
mod paths;
mod platform;
mod query;
mod refusal_body;
mod relay_gossip;
mod scatter;
mod scatter_reply;
mod search_reply;
mod search_request;
mod target_health;
mod target_refusal;

pub use agent_peer::{PeerQuery, PeerState, ValueQuery, ValueReply};
pub use answer::{AnswerHit, MissingShard, QueryAnswer, ServiceShards};
pub use codec::{DecodeError, decode, encode, encode_compact};
pub use leaving_target::LeavingTarget;
pub use local_state::{LocalState, StateQuery};
pub use paths::{
    CANCEL_PATH, CONFIG_HEAD_KEY, CONFIG_MANIFEST_KEY, CONFIG_PATH, CONFIG_VALUE_PREFIX, EVENTS_PATH,
    FORWARD_PATH, HEALTH_PATH, HOSTS_KEY, LIVE_PATH, METRICS_PATH, NOTICE_PATH, PEER_PATH, PEER_VALUE_PATH,
    PREFLIGHT_PATH, QUERY_PATH, READY_PATH, SCATTER_PATH, SEARCH_PATH, STATE_PATH, TICKET_PATH,
};
pub use platform::PlatformValue;
pub use query::QueryRequest;
pub use refusal_body::{RefusalBody, TicketBody};
pub use relay_gossip::RelayGossip;
pub use scatter::{Scatter, ScatterPart};
pub use scatter_reply::{PartReply, ScatterReply, ShardHits, ShardMiss};
pub use search_reply::{SearchReply, TargetHit, TargetShardHits};
pub use search_request::{Cancel, SearchRequest};
pub use target_health::{HeldSnapshot, TargetHealth, TargetLoad, TargetPhase};
pub use target_refusal::{TargetRefusal, TargetRefusalReason};
