//! What a relay knows of one replica.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use egret_model::{Incarnation, PlacementId, SnapshotId};

use crate::{Completion, DrainSignal, LatencyWindow};

/// For how long a sign that a target takes work holds.
///
/// A target that leaves must receive no new work after 3 s; the difference is
/// the time of a probe. A process that slept longer finds every sign expired.
pub const LIVENESS_TTL: Duration = Duration::from_millis(2000);

const EJECT_AFTER_FAILURES: u32 = 3;
const EJECT_FIRST: Duration = Duration::from_secs(1);
const EJECT_DOUBLINGS_MAX: u32 = 4;
/// A replica that refuses as busy is left alone for this long at first.
const SHED_PAUSE_FIRST: Duration = Duration::from_millis(20);
const SHED_DOUBLINGS_MAX: u32 = 6;
const ESTIMATE_LASTS: Duration = Duration::from_secs(5);
/// A sign of draining outlasts later reports that say otherwise, because reports mislead.
const DRAINING_LASTS: Duration = Duration::from_secs(10);

/// A replica's phase of life, as its target reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaPhase {
    /// Nothing is known.
    #[default]
    Unknown,
    /// It loads its data.
    Starting,
    /// It takes work.
    Ready,
    /// It leaves.
    Draining,
}

/// A snapshot that a replica holds, with its placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SnapshotPlacement {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// The placement.
    pub placement: PlacementId,
}

/// What a target says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HealthReport {
    /// Its run.
    pub incarnation: Option<Incarnation>,
    /// Its phase.
    pub phase: ReplicaPhase,
    /// The snapshots that it holds, sorted; empty means that it does not say.
    pub held: Vec<SnapshotPlacement>,
}

#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) address: SocketAddr,
    pub(crate) in_flight: u16,
    pub(crate) removed: bool,
    pub(crate) asked: bool,
    pub(crate) probed_at: Option<Instant>,
    pub(crate) host_leaving: bool,
    pub(crate) report: HealthReport,
    pub(crate) latency: LatencyWindow,
    pub(crate) starts: u64,
    confirmed_at: Option<Instant>,
    draining_at: Option<Instant>,
    lacks: Vec<SnapshotPlacement>,
    measured_at: Option<Instant>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    sheds: u32,
    shed_until: Option<Instant>,
    warm_slots: u16,
}

impl Replica {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            in_flight: 0,
            removed: false,
            asked: false,
            probed_at: None,
            host_leaving: false,
            report: HealthReport::default(),
            latency: LatencyWindow::default(),
            starts: 0,
            confirmed_at: None,
            draining_at: None,
            lacks: Vec::new(),
            measured_at: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            sheds: 0,
            shed_until: None,
            warm_slots: 1,
        }
    }

    /// Takes the target's report; a target that comes back starts with one slot.
    pub(crate) fn take_report(&mut self, now: Instant, report: HealthReport) {
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
        self.lacks.clear();
        self.report = report;
        self.confirmed_at = Some(now);
    }

    /// Takes the word of a reply that was requested at `asked_at`; returns whether it
    /// is the first sign that the target leaves.
    pub(crate) fn take_reply(&mut self, now: Instant, asked_at: Instant, draining: bool) -> bool {
        let is_first = draining && !self.is_draining(now);
        if draining {
            self.draining_at = Some(now);
        } else if self.report.phase == ReplicaPhase::Ready {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        }
        is_first
    }

    /// Returns the sign that the target leaves, for telling other relays.
    pub(crate) fn drain_signal(&self, now: Instant) -> Option<DrainSignal> {
        let age = now.saturating_duration_since(self.draining_at?);
        if age >= DRAINING_LASTS {
            return None;
        }
        Some(DrainSignal { address: self.address, incarnation: self.report.incarnation, age })
    }

    /// Takes another relay's word that the target leaves; returns whether it is news.
    ///
    /// The sign ends here when it ends there. A sign of another run says nothing about this one.
    pub(crate) fn apply_drain_signal(&mut self, now: Instant, sign: DrainSignal) -> bool {
        let other_run = matches!((sign.incarnation, self.report.incarnation), (Some(a), Some(b)) if a != b);
        let Some(at) = now.checked_sub(sign.age).filter(|_| !other_run) else { return false };
        let is_first = !self.is_draining(now);
        if is_first {
            self.draining_at = Some(at);
        }
        is_first && self.is_draining(now)
    }

    /// Forgets that the target takes work, until it says so again.
    pub(crate) fn lose(&mut self) {
        self.report.phase = ReplicaPhase::Unknown;
        self.confirmed_at = None;
    }

    pub(crate) fn is_confirmed(&self, now: Instant, within: Duration) -> bool {
        self.confirmed_at.is_some_and(|at| now.saturating_duration_since(at) < within)
    }

    pub(crate) fn is_live(&self, now: Instant) -> bool {
        !self.removed
            && !self.host_leaving
            && !self.is_draining(now)
            && self.report.phase == ReplicaPhase::Ready
            && self.is_confirmed(now, LIVENESS_TTL)
    }

    pub(crate) fn is_draining(&self, now: Instant) -> bool {
        self.draining_at.is_some_and(|at| now.saturating_duration_since(at) < DRAINING_LASTS)
    }

    pub(crate) fn holds(&self, held: SnapshotPlacement) -> bool {
        let listed = self.report.held.is_empty() || self.report.held.binary_search(&held).is_ok();
        listed && !self.lacks.contains(&held)
    }

    /// Takes the target's word that it does not hold a snapshot, until its next report.
    pub(crate) fn take_lack(&mut self, held: SnapshotPlacement) {
        if !self.lacks.contains(&held) {
            self.lacks.push(held);
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

    /// Returns the latency to expect of a request, which is the usual one where nothing is known.
    pub(crate) fn expected(&self, now: Instant, usual: Duration) -> Duration {
        let fresh = self.measured_at.is_some_and(|at| now.saturating_duration_since(at) < ESTIMATE_LASTS);
        if fresh { self.latency.mean() } else { usual }
    }

    /// Returns the expected latency of one more request, for comparing replicas.
    pub(crate) fn cost(&self, now: Instant, usual: Duration) -> Duration {
        self.expected(now, usual) * u32::from(self.in_flight + 1)
    }

    /// Takes the end of an attempt; returns whether the replica became ejected.
    pub(crate) fn take_finish(&mut self, now: Instant, finish: Completion, slots: u16) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        match finish {
            Completion::Answered(latency) => {
                self.latency.add(latency);
                self.measured_at = Some(now);
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
            Completion::ConnectionLost => self.lose(),
            Completion::Shed => {
                let pause = SHED_PAUSE_FIRST * 2_u32.pow(self.sheds.min(SHED_DOUBLINGS_MAX));
                self.sheds += 1;
                self.shed_until = Some(now + pause);
            }
            Completion::NotRun | Completion::Cancelled | Completion::Stopped(_) => {}
        }
        false
    }

    /// Tells whether the replica was ejected and did not show itself sound since.
    pub(crate) fn was_ejected(&self) -> bool {
        self.ejections > 0
    }

    /// Forgets earlier ejections, after an answer in the usual time.
    pub(crate) fn settle(&mut self) {
        self.ejections = 0;
    }

    pub(crate) fn eject(&mut self, now: Instant) {
        let doublings = self.ejections.min(EJECT_DOUBLINGS_MAX);
        self.ejected_until = Some(now + EJECT_FIRST * 2_u32.pow(doublings));
        self.ejections += 1;
        self.failures = 0;
        self.latency = LatencyWindow::default();
        self.measured_at = None;
        // It comes back with one request at a time.
        self.warm_slots = 1;
    }
}
