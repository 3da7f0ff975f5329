//! Pure decisions: admission, queueing, replica choice, hedging, retry budgets, gathers and tickets.
//!
//! Nothing here does I/O or reads a clock; every function that depends on time
//! takes it as an argument. A daemon asks for a decision, acts on it and reports
//! the outcome:
//!
//! ```
//! use std::time::{Duration, Instant};
//! use egret_policy::{Admission, Completion, Dispatcher, HealthReport, Limits, ReplicaPhase, Work, WorkId};
//!
//! let now = Instant::now();
//! let target = "127.0.0.1:7000".parse().unwrap();
//! let mut dispatcher = Dispatcher::new(Limits { slots: 1, ..Limits::default() });
//! dispatcher.set_replicas(now, &[target]);
//! dispatcher.report(now, target, HealthReport { phase: ReplicaPhase::Ready, ..HealthReport::default() });
//!
//! let work = |id| Work {
//!     id: WorkId(id),
//!     rank: 1,
//!     deadline: now + Duration::from_millis(74),
//!     replicas: vec![target],
//!     suspect: false,
//!     unproven: None,
//! };
//! assert_eq!(dispatcher.offer(now, work(1)).admission, Admission::Start(target));
//! assert_eq!(dispatcher.offer(now, work(2)).admission, Admission::Queued);
//! let decisions = dispatcher.finish(now, target, None, Completion::Answered(Duration::from_millis(5)));
//! assert_eq!(decisions.len(), 1); // the queued work starts
//! ```
//!
//! - [`Dispatcher`]: slots, queue, replica choice, ejection and hedging of one service.
//! - [`TicketRegistry`]: at-most-once execution of non-idempotent requests.
//! - [`Suspects`]: requests that crash the targets that run them.
//! - [`owner_candidates`]: the relays that may own a block's connections.
//! - [`choose_snapshot`]: the one snapshot that a query is answered from.
//! - [`TargetReach`]: whether this host reaches any target.
//! - [`CrashEvidence`]: whether a request crashed the target on which its connection broke.
//! - [`Contention`]: services that recently refused work for lack of slots.
//! - [`RelayHealth`], [`PauseDetector`]: which relays are down, and whether this process paused.
//! - [`GatherProgress`], [`choose_shards`]: hedges, early answers and skipped shards of a gather.
//! - [`gather_spread`]: which shares of a gather other hosts of the data centre are asked for.
//! - [`QueryAdmission`]: start, queue or refuse whole queries while demand exceeds what targets complete in time.
//! - [`SenderTurns`]: the order among hosts whose queries wait for a start.
//! - [`RefusalRetry`], [`RefusalMemory`]: the other gatherer that is asked after a refusal.
//! - [`WakeDelay`]: how late a host itself runs a gather.
//! - [`TargetLoad`], [`RetryBudget`]: load estimates and limits on extra attempts at
//!   targets.
//! - [`RequestLimit`], [`LimitShare`]: the limit on requests that a target states for all hosts.
//! - [`WarmUpLimits`], [`warm_up_owner`]: the limit on requests to a replica that warms up.
//! - [`RequestCosts`], [`TargetBacklog`], [`refusal`]: the cost of single requests and where they go.
//! - [`ReturnSchedule`]: when callers that were refused may return.
//! - [`choose_evicted`]: the caller connection to close when memory or descriptors are short.
//! - [`LeadTimeEstimator`]: how long before its latency objective an answer must be made.
//!
//! docs/DESIGN.md explains the trade-offs of each.

mod admission;
mod admission_queue;
mod baseline;
mod block_owners;
mod caller_budgets;
mod caller_eviction;
mod concurrency_limit;
mod contention;
mod cost_level;
mod crash_evidence;
mod dispatcher;
mod drain_signal;
mod gather_progress;
mod gather_spread;
mod gatherers;
mod latency;
mod lead_time;
mod pause;
mod placement;
mod query_admission;
mod query_rank;
mod queue;
mod refusal_memory;
mod refusal_retry;
mod relay_health;
mod remote_shard_groups;
mod replica;
mod replica_choice;
mod request_cost;
mod request_limit;
mod retry_budget;
mod return_promises;
mod return_schedule;
mod sender_turns;
mod shard_choice;
mod snapshot;
mod start_shares;
mod store_readers;
mod suspects;
mod target_backlog;
mod target_load;
mod target_reach;
mod ticket;
mod ticket_registry;
mod token_bucket;
mod wake_delay;
mod warm_up;
mod weighted_draw;
mod work;

pub use admission_queue::{AdmissionQueue, QueuedQuery};
pub use baseline::{Baseline, BaselineError};
pub use block_owners::{OWNER_CANDIDATES, RelayHost, owner_candidates};
pub use caller_budgets::CallerBudgets;
pub use caller_eviction::{ConnectionLoad, ConnectionPhase, Shortage, choose_evicted};
pub use concurrency_limit::ConcurrencyLimit;
pub use contention::Contention;
pub use cost_level::CostLevel;
pub use crash_evidence::{ConnectOutcome, CrashEvidence};
pub use dispatcher::{Dispatcher, Limits};
pub use drain_signal::DrainSignal;
pub use gather_progress::{GatherLimits, GatherProgress, GatherStep};
pub use gather_spread::{GatherShare, SpreadCandidate, SpreadGather, gather_spread};
pub use gatherers::{GathererCandidate, choose_gatherers};
pub use latency::LatencyWindow;
pub use lead_time::{AnswerDelivery, LeadTimeEstimator};
pub use pause::PauseDetector;
pub use placement::{PlacementRequest, PlacementTarget, refusal};
pub use query_admission::{QueryAdmission, QueryArrival, QueryEnd, QueryVerdict, common_queue};
pub use query_rank::{QueryRank, ReturnState};
pub use refusal_memory::RefusalMemory;
pub use refusal_retry::RefusalRetry;
pub use relay_health::RelayHealth;
pub use remote_shard_groups::{RemoteShardGroup, group_remote_shards};
pub use replica::{HealthReport, LIVENESS_TTL, ReplicaPhase, SnapshotPlacement};
pub use request_cost::{RequestCosts, RequestShape};
pub use request_limit::{LimitShare, RequestLimit};
pub use retry_budget::{RetryBudget, RetryLimits};
pub use return_promises::ReturnPromises;
pub use return_schedule::ReturnSchedule;
pub use sender_turns::SenderTurns;
pub use shard_choice::{ShardChoice, ShardEstimate, choose_shards, max_expected_latency};
pub use snapshot::{ServiceSnapshots, choose_snapshot};
pub use store_readers::{store_reader_count, store_readers, store_retry_backoff};
pub use suspects::{
    MARK_MEMORY, MARK_TTL, POISON_BREAK_COUNT, SHARED_SUSPECT_TTL, SuspectVerdict, Suspects, suspect_prober,
};
pub use target_backlog::{LoadReport, PooledLoad, TargetBacklog};
pub use target_load::{ExchangeEnd, TargetLoad};
pub use target_reach::{ReachChange, TargetReach};
pub use ticket::{Ticket, TicketError};
pub use ticket_registry::{Claim, TicketRegistry};
pub use token_bucket::TokenBucket;
pub use wake_delay::WakeDelay;
pub use warm_up::{WarmUpLimits, WarmUpWindow, warm_up_owner};
pub use weighted_draw::weighted_draw;
pub use work::{Admission, Completion, Decision, OfferOutcome, Refused, Work, WorkId};
