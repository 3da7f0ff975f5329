//! The versions that processes saw, as histories of a register.

use todc_utils::{
    Action::{Call, Response},
    History, WGLChecker,
    specifications::register::{
        RegisterOperation::{self, Read, Write},
        RegisterSpecification,
    },
};

use crate::Violation;

type Event = (usize, todc_utils::Action<RegisterOperation<u64>>);

const PUBLISHER: usize = 0;
const READER: usize = 1;

/// What the publisher wrote and each process read, in the order in which it happened.
///
/// To one process the configuration is a register: a write begins when a version is
/// published and ends when it is in force everywhere, so that a read meanwhile may
/// see either version, but no read may see an older one again. Across processes it
/// is no register, since they may differ until the write ends.
#[derive(Debug, Default)]
pub struct VersionHistory {
    processes: Vec<Vec<Event>>,
    seen: Vec<Vec<u64>>,
}

impl VersionHistory {
    /// Begins a history with a version that every process has in force.
    #[must_use]
    pub fn starting_at(processes: usize, version: u64) -> Self {
        let mut history = Self { processes: vec![Vec::new(); processes], seen: vec![Vec::new(); processes] };
        history.begin_publish(version);
        history.end_publish(version);
        history
    }

    /// Notes that a version is about to be published.
    pub fn begin_publish(&mut self, version: u64) {
        self.processes.iter_mut().for_each(|events| events.push((PUBLISHER, Call(Write(version)))));
    }

    /// Notes that the version published last is in force everywhere.
    pub fn end_publish(&mut self, version: u64) {
        self.processes.iter_mut().for_each(|events| events.push((PUBLISHER, Response(Write(version)))));
    }

    /// Notes that a process showed a version.
    pub fn record_read(&mut self, process: usize, version: u64) {
        self.seen[process].push(version);
        let events = &mut self.processes[process];
        events.push((READER, Call(Read(None))));
        events.push((READER, Response(Read(Some(version)))));
    }

    /// Notes one version of every process.
    pub fn record_reads(&mut self, versions: &[u64]) {
        versions.iter().enumerate().for_each(|(process, version)| self.record_read(process, *version));
    }

    /// Checks the history of each process.
    ///
    /// # Errors
    /// Finds a process whose reads fit no order of the versions.
    ///
    /// # Panics
    /// Panics where a published version was never noted as in force.
    pub fn verify(&self) -> Result<(), Violation> {
        for (process, events) in self.processes.iter().enumerate() {
            let history = History::from_actions(events.clone());
            if !WGLChecker::<RegisterSpecification<u64>>::is_linearizable(history) {
                return Err(Violation::NotLinearizable { process, seen: self.seen[process].clone() });
            }
        }
        Ok(())
    }
}
