//! Values that release a resource when they are dropped: running tasks and permits for open sockets.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use tokio::task::{spawn_local, AbortHandle};

/// Aborts a task when dropped, which also closes the sockets that the task owns.
pub struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    /// Starts a task on the current thread.
    pub fn spawn(future: impl Future<Output = ()> + 'static) -> Self {
        AbortOnDrop(spawn_local(future).abort_handle())
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Limits how many sockets of one kind are open, so that the process stays within its file descriptors.
pub struct SocketBudget {
    limit: usize,
    used: Cell<usize>,
}

/// The right to hold one socket open; dropping it returns the right to the budget.
pub struct SocketPermit(Rc<SocketBudget>);

impl SocketBudget {
    /// A budget of at most `limit` open sockets.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(SocketBudget { limit, used: Cell::new(0) })
    }

    /// Whether all permits are taken.
    pub fn is_full(&self) -> bool {
        self.used.get() >= self.limit
    }

    /// The part of the budget in use, from 0 to 1.
    pub fn used_fraction(&self) -> f64 {
        self.used.get() as f64 / self.limit.max(1) as f64
    }

    /// Takes a permit if one is free.
    pub fn try_acquire(self: &Rc<Self>) -> Option<SocketPermit> {
        if self.is_full() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(SocketPermit(self.clone()))
    }
}

impl Drop for SocketPermit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get() - 1);
    }
}
