//! Generates load by clients, each of which has one request in flight at a time and checks that it gets exactly one
//! answer.

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

/// The number of random low bits of a request id. The bits above them hold the phase.
const PHASE_SHIFT: u32 = 48;
/// The number of low bits of a client's seed that hold its number. The bits above them hold the seed of the load.
const CLIENT_SEED_SHIFT: u32 = 20;

/// A period of a load. A request belongs to the phase that was current when the client sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadPhase(u16);

impl LoadPhase {
    /// The phase of a request, from its hexadecimal id as clients send it and hosts record it; `None` if the text is
    /// not such an id.
    pub fn from_request_id(id: &str) -> Option<LoadPhase> {
        let id = u64::from_str_radix(id, 16).ok()?;
        Some(LoadPhase((id >> PHASE_SHIFT) as u16))
    }

    /// Makes a request id of this phase from a random number.
    fn request_id(self, random: u64) -> u64 {
        u64::from(self.0) << PHASE_SHIFT | random >> (u64::BITS - PHASE_SHIFT)
    }
}

/// The number of finished requests of the current phase, by client.
#[derive(Clone, Debug)]
struct Progress {
    phase: LoadPhase,
    /// Requests answered with status 200 or 304.
    succeeded: Vec<u64>,
    /// Requests that ended in any other way.
    unsuccessful: Vec<u64>,
}

impl Progress {
    fn new(phase: LoadPhase, clients: usize) -> Progress {
        Progress { phase, succeeded: vec![0; clients], unsuccessful: vec![0; clients] }
    }

    /// Resets all counts for a new phase, and returns the phase.
    fn start_phase(&mut self) -> LoadPhase {
        let phase = LoadPhase(self.phase.0.checked_add(1).expect("fewer than 65,536 phases"));
        *self = Progress::new(phase, self.succeeded.len());
        phase
    }

    /// Whether each client has had at least so many requests succeed in the current phase.
    fn has_served(&self, requests: u64) -> bool {
        self.succeeded.iter().all(|count| *count >= requests)
    }
}

/// Running clients, which send requests until [`Load::stop`].
pub struct Load {
    stop: watch::Sender<bool>,
    progress: Arc<watch::Sender<Progress>>,
    total: Arc<Mutex<LoadSummary>>,
    thread: Option<JoinHandle<()>>,
}

impl Load {
    /// Starts `clients` clients of the dispatcher at `address`. Between an answer and the next request a client waits
    /// for a random time of 0.5 to 1.5 times `pause`. `seed` determines the objects, request ids and pauses.
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

    /// Starts a new phase, to which all requests belong that are sent from now on.
    ///
    /// # Panics
    /// After 65,535 phases.
    pub fn start_phase(&self) -> LoadPhase {
        let mut phase = LoadPhase::default();
        self.progress.send_modify(|progress| phase = progress.start_phase());
        phase
    }

    /// Starts a new phase, and waits until each client has had `requests` requests succeed in it. Every request of
    /// earlier phases has ended by then, because a client has one request in flight at a time.
    ///
    /// # Panics
    /// If the wait takes longer than `limit`, or if another phase is started in the meantime.
    pub async fn wait_until_served(&self, requests: u64, limit: Duration) -> LoadPhase {
        let phase = self.start_phase();
        let mut progress = self.progress.subscribe();
        let served = progress.wait_for(|progress| progress.has_served(requests));
        let in_time = tokio::time::timeout(limit, served).await.is_ok();
        let current = self.progress.borrow();
        assert!(in_time, "not every client had {requests} requests succeed within {limit:?}: {current:?}");
        assert_eq!(current.phase, phase, "another phase was started during the wait");
        phase
    }

    /// Stops the clients, lets requests in flight finish, and returns the outcomes of all requests. Blocks the calling
    /// thread until all clients have stopped.
    pub fn stop(mut self) -> LoadSummary {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.total.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
