//! The targets that a request was sent to.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use crate::core::lock;

/// The addresses of the targets that a request was sent to from this host, those of attempts that were cancelled
/// included; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentTo(Arc<Mutex<Vec<SocketAddr>>>);

impl SentTo {
    pub(crate) fn add(&self, target: SocketAddr) {
        lock(&self.0).push(target);
    }

    pub(crate) fn contains(&self, target: SocketAddr) -> bool {
        lock(&self.0).contains(&target)
    }
}
