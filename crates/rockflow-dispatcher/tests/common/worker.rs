//! The one worker on which all of the dispatcher runs, stopped by a gate.

use std::sync::mpsc::{channel, Sender};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(5);

/// Stops the worker until the gate is dropped.
pub struct WorkerGate {
    _thaw: Sender<()>,
}

impl WorkerGate {
    /// Stops the worker, and returns once it stands still.
    pub fn close() -> WorkerGate {
        let (frozen, stands) = channel();
        let (thaw, go) = channel::<()>();
        may::go!(move || {
            frozen.send(()).unwrap();
            let _ = go.recv();
        });
        stands.recv_timeout(PATIENCE).unwrap();
        WorkerGate { _thaw: thaw }
    }
}
