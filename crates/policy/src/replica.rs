//! The health, snapshots and latency of one replica, as a relay knows them.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_model::{Incarnation, PlacementId, SnapshotId};

use crate::{Completion, DrainSignal, LatencyWindow};

/// How long a target counts as live after it last showed that it takes work.
///
/// A target that drains must receive no new work after 3 s; the difference is the
/// time of a probe. A process that was suspended for longer finds every target's
/// time expired.
pub const LIVENESS_TTL: Duration = Duration::from_millis(2000);

/// Consecutive failures after which a replica is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// The time of a first ejection; each further one doubles it.
const EJECTION_FIRST: Duration = Duration::from_secs(1);
const EJECTION_DOUBLINGS_MAX: u32 = 4;
/// How long a replica gets no work after it shed a request; each further one doubles it.
const SHED_BACKOFF_FIRST: Duration = Duration::from_millis(20);
const SHED_BACKOFF_DOUBLINGS_MAX: u32 = 6;
/// How long a replica's mean latency counts without a new sample.
const LATENCY_TTL: Duration = Duration::from_secs(5);
/// How long a replica counts as draining. Health reports can be wrong, so a later one that says
/// otherwise does not end this.
const DRAINING_TTL: Duration = Duration::from_secs(10);

/// A replica's lifecycle phase, as its target reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaPhase {
    /// It has not reported, or its connection was lost since.
    #[default]
    Unknown,
    /// It loads its data.
    Starting,
    /// It takes work.
    Ready,
    /// It finishes its work and then leaves.
    Draining,
}

/// A snapshot that a replica holds, with its placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SnapshotPlacement {
    /// The identifier of the snapshot.
    pub snapshot: SnapshotId,
    /// The identifier of its placement.
    pub placement: PlacementId,
}

/// A target's report of its own health.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthReport {
    /// The run of the target, which a restart changes.
    pub incarnation: Option<Incarnation>,
    /// The phase that it is in.
    pub phase: ReplicaPhase,
    /// The snapshots that it holds, sorted; empty where it does not report them.
    pub held: Vec<SnapshotPlacement>,
}

#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) address: SocketAddr,
    pub(crate) in_flight: u16,
    pub(crate) removed: bool,
    pub(crate) was_probed: bool,
    pub(crate) probed_at: Option<Instant>,
    pub(crate) host_leaving: bool,
    pub(crate) report: HealthReport,
    pub(crate) latency: LatencyWindow,
    pub(crate) starts: u64,
    /// When it last showed that it takes work.
    alive_at: Option<Instant>,
    draining_at: Option<Instant>,
    /// Snapshots that it denied holding since its last report.
    missing: Vec<SnapshotPlacement>,
    sampled_at: Option<Instant>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    sheds: u32,
    shed_until: Option<Instant>,
    /// The slots that may be used during warm-up, one more after each answer.
    warm_slots: u16,
}

impl Replica {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            in_flight: 0,
            removed: false,
            was_probed: false,
            probed_at: None,
            host_leaving: false,
            report: HealthReport::default(),
            latency: LatencyWindow::default(),
            starts: 0,
            alive_at: None,
            draining_at: None,
            missing: Vec::new(),
            sampled_at: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            sheds: 0,
            shed_until: None,
            warm_slots: 1,
        }
    }

    /// Records the target's health report; a target that comes back warms up from one slot.
    pub(crate) fn record_report(&mut self, now: Instant, report: HealthReport) {
        let restarted = report.incarnation != self.report.incarnation;
        if restarted || self.report.phase != ReplicaPhase::Ready {
            self.warm_slots = 1;
        }
        if restarted {
            self.latency = LatencyWindow::default();
            self.failures = 0;
            self.ejected_until = None;
            self.draining_at = None;
        }
        if report.phase == ReplicaPhase::Draining {
            self.draining_at = Some(now);
        }
        self.missing.clear();
        self.report = report;
        self.alive_at = Some(now);
    }

    /// Records whether a reply to a request sent at `sent_at` says that the target drains;
    /// returns true where it does and that was not known before.
    pub(crate) fn record_reply(&mut self, now: Instant, sent_at: Instant, draining: bool) -> bool {
        let is_first = draining && !self.is_draining(now);
        if draining {
            self.draining_at = Some(now);
        } else if self.report.phase == ReplicaPhase::Ready {
            self.alive_at = self.alive_at.max(Some(sent_at));
        }
        is_first
    }

    /// Returns the signal that the target drains, to pass on to other relays.
    pub(crate) fn drain_signal(&self, now: Instant) -> Option<DrainSignal> {
        let age = now.saturating_duration_since(self.draining_at?);
        if age >= DRAINING_TTL {
            return None;
        }
        Some(DrainSignal { address: self.address, incarnation: self.report.incarnation, age })
    }

    /// Applies another relay's signal that the target drains; returns whether that was not known before.
    ///
    /// The signal expires here when it does there. One of another run of the target is ignored.
    pub(crate) fn apply_drain_signal(&mut self, now: Instant, signal: DrainSignal) -> bool {
        let other_run = matches!((signal.incarnation, self.report.incarnation), (Some(a), Some(b)) if a != b);
        let Some(at) = now.checked_sub(signal.age).filter(|_| !other_run) else { return false };
        let is_first = !self.is_draining(now);
        if is_first {
            self.draining_at = Some(at);
        }
        is_first && self.is_draining(now)
    }

    /// Stops sending work to the target until it reports again.
    pub(crate) fn mark_unknown(&mut self) {
        self.report.phase = ReplicaPhase::Unknown;
        self.alive_at = None;
    }

    pub(crate) fn is_alive_within(&self, now: Instant, within: Duration) -> bool {
        self.alive_at.is_some_and(|at| now.saturating_duration_since(at) < within)
    }

    pub(crate) fn is_live(&self, now: Instant) -> bool {
        !self.removed
            && !self.host_leaving
            && !self.is_draining(now)
            && self.report.phase == ReplicaPhase::Ready
            && self.is_alive_within(now, LIVENESS_TTL)
    }

    pub(crate) fn is_draining(&self, now: Instant) -> bool {
        self.draining_at.is_some_and(|at| now.saturating_duration_since(at) < DRAINING_TTL)
    }

    pub(crate) fn holds(&self, held: SnapshotPlacement) -> bool {
        let listed = self.report.held.is_empty() || self.report.held.binary_search(&held).is_ok();
        listed && !self.missing.contains(&held)
    }

    /// Records the target's answer that it does not hold a snapshot; its next report overrides this.
    pub(crate) fn record_missing(&mut self, held: SnapshotPlacement) {
        if !self.missing.contains(&held) {
            self.missing.push(held);
        }
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Tells whether work should go to another replica, where there is one.
    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        self.is_ejected(now) || self.shed_until.is_some_and(|until| now < until)
    }

    pub(crate) fn has_free_slot(&self, slots: u16) -> bool {
        self.in_flight < slots.min(self.warm_slots)
    }

    /// Returns the expected latency of a request; where there is no recent sample, that of the service.
    pub(crate) fn expected_latency(&self, now: Instant, service_mean: Duration) -> Duration {
        let is_recent = self.sampled_at.is_some_and(|at| now.saturating_duration_since(at) < LATENCY_TTL);
        if is_recent { self.latency.mean() } else { service_mean }
    }

    /// Returns the expected latency of one more request behind those in flight, to compare replicas.
    pub(crate) fn cost(&self, now: Instant, service_mean: Duration) -> Duration {
        self.expected_latency(now, service_mean) * u32::from(self.in_flight + 1)
    }

    /// Records how an attempt ended; returns whether the replica was ejected for it.
    pub(crate) fn record_completion(&mut self, now: Instant, completion: Completion, slots: u16) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        match completion {
            Completion::Answered(latency) => {
                self.latency.add(latency);
                self.sampled_at = Some(now);
                self.failures = 0;
                self.sheds = 0;
                self.warm_slots = (self.warm_slots + 1).min(slots);
            }
            Completion::Failed => {
                self.failures += 1;
                if self.failures >= EJECT_AFTER_FAILURES {
                    self.eject(now);
                    return true;
                }
            }
            Completion::ConnectionLost => self.mark_unknown(),
            Completion::Shed => {
                let backoff = SHED_BACKOFF_FIRST * 2_u32.pow(self.sheds.min(SHED_BACKOFF_DOUBLINGS_MAX));
                self.sheds += 1;
                self.shed_until = Some(now + backoff);
            }
            Completion::NotRun | Completion::Cancelled | Completion::Stopped(_) => {}
        }
        false
    }

    /// Tells whether the replica was ejected and has not answered at a normal latency since.
    pub(crate) fn was_ejected(&self) -> bool {
        self.ejections > 0
    }

    /// Clears the earlier ejections after an answer at a normal latency.
    pub(crate) fn clear_ejections(&mut self) {
        self.ejections = 0;
    }

    pub(crate) fn eject(&mut self, now: Instant) {
        let doublings = self.ejections.min(EJECTION_DOUBLINGS_MAX);
        self.ejected_until = Some(now + EJECTION_FIRST * 2_u32.pow(doublings));
        self.ejections += 1;
        self.failures = 0;
        self.latency = LatencyWindow::default();
        self.sampled_at = None;
        // It warms up again from one request at a time.
        self.warm_slots = 1;
    }
}
