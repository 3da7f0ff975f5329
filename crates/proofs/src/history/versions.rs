//! Checks the configuration versions that processes showed, as linearizable histories of a register.

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

/// The versions that the publisher wrote and that each process showed, in order of time.
///
/// Each process has a separate history, in which the configuration is a register. A write
/// starts when a version is published and ends when it is in force everywhere. A read in
/// between may return either version, but after the newer one no read may return the older
/// one. All processes together are not one register, since their versions may differ until
/// the write ends.
#[derive(Debug, Default)]
pub struct VersionHistory {
    processes: Vec<Vec<Event>>,
    seen: Vec<Vec<u64>>,
}

impl VersionHistory {
    /// Starts a history at a version that every process has in force.
    #[must_use]
    pub fn starting_at(processes: usize, version: u64) -> Self {
        let mut history = Self { processes: vec![Vec::new(); processes], seen: vec![Vec::new(); processes] };
        history.begin_publish(version);
        history.end_publish(version);
        history
    }

    /// Records that a version is about to be published: the start of a write.
    pub fn begin_publish(&mut self, version: u64) {
        self.processes.iter_mut().for_each(|events| events.push((PUBLISHER, Call(Write(version)))));
    }

    /// Records that the version published last is in force everywhere: the end of its write.
    pub fn end_publish(&mut self, version: u64) {
        self.processes.iter_mut().for_each(|events| events.push((PUBLISHER, Response(Write(version)))));
    }

    /// Records that a process showed a version.
    pub fn record_read(&mut self, process: usize, version: u64) {
        self.seen[process].push(version);
        let events = &mut self.processes[process];
        events.push((READER, Call(Read(None))));
        events.push((READER, Response(Read(Some(version)))));
    }

    /// Records one read of every process, by the order of their numbers.
    pub fn record_reads(&mut self, versions: &[u64]) {
        versions.iter().enumerate().for_each(|(process, version)| self.record_read(process, *version));
    }

    /// Checks that the history of each process is linearizable.
    ///
    /// # Errors
    /// Returns the first process whose reads no order of the published versions explains.
    ///
    /// # Panics
    /// Panics if [`end_publish`](Self::end_publish) was not called for a published version.
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
