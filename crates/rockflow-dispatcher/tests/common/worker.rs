//! Pauses the single worker thread that runs all coroutines of the dispatcher.

use std::sync::mpsc::{channel, Sender};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Keeps the worker thread paused until it is dropped.
pub struct WorkerGate {
    _resume: Sender<()>,
}

impl WorkerGate {
    /// Pauses the worker, and returns once it is blocked.
    pub fn close() -> WorkerGate {
        let (report_paused, is_paused) = channel();
        let (resume, wait_for_resume) = channel::<()>();
        may::go!(move || {
            report_paused.send(()).unwrap();
            let _ = wait_for_resume.recv();
        });
        is_paused.recv_timeout(TIMEOUT).unwrap();
        WorkerGate { _resume: resume }
    }
}
