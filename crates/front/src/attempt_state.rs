//! How far an attempt has come, as its request sees it.

use std::sync::{Arc, Mutex};

use egret_policy::SentAttempt;

use crate::{core::lock, target::Target};

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) enum AttemptStep {
    /// It waits until it may have a connection.
    #[default]
    Waiting,
    /// It takes or opens a connection.
    Connecting,
    /// It was sent, or its first bytes may have been.
    Sent(SentAttempt),
}

/// The state of an attempt: its exchange records how far it has come, and its request withdraws it when it
/// no longer waits for the answer.
#[derive(Debug)]
pub(crate) struct AttemptState {
    pub(crate) target: Arc<Target>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    step: AttemptStep,
    is_withdrawn: bool,
}

impl AttemptState {
    pub(crate) fn new(target: Arc<Target>) -> Self {
        Self { target, inner: Mutex::default() }
    }

    pub(crate) fn step(&self) -> AttemptStep {
        lock(&self.inner).step
    }

    pub(crate) fn set_step(&self, step: AttemptStep) {
        lock(&self.inner).step = step;
    }

    /// Withdraws the attempt: no request waits for its answer, and it must not be sent if it has not been.
    pub(crate) fn withdraw(&self) {
        lock(&self.inner).is_withdrawn = true;
    }

    pub(crate) fn is_withdrawn(&self) -> bool {
        lock(&self.inner).is_withdrawn
    }
}
