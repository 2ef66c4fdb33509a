//! Load from clients, each of which has one request in flight at a time, and checks that it gets exactly one answer.

mod client;
mod response;
mod summary;

pub use summary::LoadSummary;

use crate::runtime::spawn_thread;
use client::Client;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::watch;

/// The bits of a request's id below its phase.
const PHASE_SHIFT: u32 = 48;
/// The bits of a load's seed below which each client has a seed of its own.
const CLIENT_SEED_SHIFT: u32 = 20;

/// A period of a load: a request belongs to the phase that ran when it was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadPhase(u16);

impl LoadPhase {
    /// The phase of a request, by its id as clients send it and hosts record it; `None` if that is no id of a load.
    pub fn from_request_id(id: &str) -> Option<LoadPhase> {
        let id = u64::from_str_radix(id, 16).ok()?;
        Some(LoadPhase((id >> PHASE_SHIFT) as u16))
    }

    /// An id of this phase, made from a random number.
    fn request_id(self, random: u64) -> u64 {
        u64::from(self.0) << PHASE_SHIFT | random >> (u64::BITS - PHASE_SHIFT)
    }
}

/// The requests of the current phase that have ended, by client.
#[derive(Clone, Debug)]
struct Progress {
    phase: LoadPhase,
    succeeded: Vec<u64>,
    /// Those that ended in any other way.
    unsuccessful: Vec<u64>,
}

impl Progress {
    fn new(phase: LoadPhase, clients: usize) -> Progress {
        Progress { phase, succeeded: vec![0; clients], unsuccessful: vec![0; clients] }
    }

    fn start_phase(&mut self) -> LoadPhase {
        let phase = LoadPhase(self.phase.0.checked_add(1).expect("fewer phases"));
        *self = Progress::new(phase, self.succeeded.len());
        phase
    }

    fn has_served(&self, requests: u64) -> bool {
        self.succeeded.iter().all(|count| *count >= requests)
    }
}

/// Clients that send requests till they are stopped.
pub struct Load {
    stop: watch::Sender<bool>,
    progress: Arc<watch::Sender<Progress>>,
    total: Arc<Mutex<LoadSummary>>,
    thread: Option<JoinHandle<()>>,
}

impl Load {
    /// Starts so many clients of the dispatcher at `address`. Each waits between an answer and its next request, half to
    /// one and a half times `pause`.
    ///
    /// # Panics
    /// If the thread can't be started.
    pub fn start(address: SocketAddr, clients: usize, pause: Duration, seed: u64) -> Load {
        let (stop, stopped) = watch::channel(false);
        let total = Arc::new(Mutex::new(LoadSummary::default()));
        let progress = Arc::new(watch::Sender::new(Progress::new(LoadPhase::default(), clients)));
        let (thread_total, thread_progress) = (total.clone(), progress.clone());
        let thread = spawn_thread("load", async move {
            let mut tasks = Vec::new();
            for number in 0..clients {
                let seed = (seed << CLIENT_SEED_SHIFT) + number as u64;
                let client = Client::new(number, address, pause, seed, thread_progress.clone());
                tasks.push(tokio::spawn(client.run(stopped.clone())));
            }
            for task in tasks {
                if let Ok(summary) = task.await {
                    thread_total.lock().unwrap_or_else(PoisonError::into_inner).add(summary);
                }
            }
        });
        Load { stop, progress, total, thread: Some(thread) }
    }

    /// Starts another phase, to which all requests belong that are sent from now on.
    ///
    /// # Panics
    /// After 65,535 phases.
    pub fn start_phase(&self) -> LoadPhase {
        let mut phase = LoadPhase::default();
        self.progress.send_modify(|progress| phase = progress.start_phase());
        phase
    }

    /// Starts another phase, and waits till each client has been served `requests` times in it. Every request of earlier
    /// phases has ended then, as a client has one in flight at a time.
    ///
    /// # Panics
    /// If that takes longer than `limit`, or if another phase was started meanwhile.
    pub async fn wait_until_served(&self, requests: u64, limit: Duration) -> LoadPhase {
        let phase = self.start_phase();
        let mut progress = self.progress.subscribe();
        let served = progress.wait_for(|progress| progress.has_served(requests));
        let in_time = tokio::time::timeout(limit, served).await.is_ok();
        let current = self.progress.borrow();
        assert!(in_time, "{requests} each not served within {limit:?}: {current:?}");
        assert_eq!(current.phase, phase, "one waits at a time");
        phase
    }

    /// Lets the requests in flight end, and returns what became of all requests. Blocks the thread meanwhile.
    pub fn stop(mut self) -> LoadSummary {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.total.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
