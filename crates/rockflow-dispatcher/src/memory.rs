//! The memory of connections and of what they carry, as parts of one sum below the process's limit.

use crate::config::Limits;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Memory of the process without connections, listed endpoints and tracked objects: the pages of the program that are in
/// use, the stacks of its threads and long-running actors, and pooled stacks.
const PROCESS_BYTES: usize = 6 << 20;
/// Memory of a listed endpoint, in the endpoint list and in the decisions.
const ENDPOINT_BYTES: usize = 3 << 10;
/// Memory of an object whose popularity is tracked.
const TRACKED_OBJECT_BYTES: usize = 128;
/// Share of the limit that is left for the allocator's overhead and for messages on their way between actors.
const HEADROOM: f64 = 1.0 / 8.0;
/// Share of the limit that connections and responses may take however much is taken by endpoints.
const MIN_SHARE: f64 = 1.0 / 8.0;
/// Share of the budget that connections of one side, clients or hosts, may take.
const CONNECTION_SHARE: f64 = 2.0 / 5.0;
/// Share of the process's limit that responses may take.
const RESPONSE_SHARE: f64 = 2.0 / 5.0;

/// Memory of a client connection and its request: its stack, the initial receive buffer and the open request.
pub const CLIENT_CONNECTION_BYTES: usize = 24 << 10;
/// Memory of a connection to a host: its stack, the initial receive buffer and the attempts on it.
pub const UPSTREAM_CONNECTION_BYTES: usize = 24 << 10;
/// Memory of a request id that a connection to a host remembers.
pub const REMEMBERED_ID_BYTES: usize = 128;

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// Client connections, their receive buffers and requests.
    Clients,
    /// Connections to hosts, without the responses on them.
    Upstream,
    /// Responses on their way from hosts to clients.
    Responses,
}

/// The memory that connections and responses may take together, and how much each use takes. The estimates of this
/// module say how much a reservation is for.
pub struct MemoryBudget {
    /// The memory limit of the process, in bytes.
    limit: usize,
    /// Memory of all tracked objects.
    tracked: usize,
    endpoints: AtomicUsize,
    clients: AtomicUsize,
    upstream: AtomicUsize,
    responses: AtomicUsize,
}

impl MemoryBudget {
    /// Creates the budget of a process with these limits whose decisions track at most this many objects.
    pub fn new(limits: &Limits, max_tracked: usize) -> Arc<Self> {
        Arc::new(MemoryBudget {
            limit: limits.memory_mb << 20,
            tracked: max_tracked * TRACKED_OBJECT_BYTES,
            endpoints: AtomicUsize::new(0),
            clients: AtomicUsize::new(0),
            upstream: AtomicUsize::new(0),
            responses: AtomicUsize::new(0),
        })
    }

    /// Sets the number of listed endpoints, whose memory is not available to connections.
    pub fn set_endpoints(&self, count: usize) {
        self.endpoints.store(count, Ordering::Relaxed);
    }

    /// The bytes that a use takes at the moment.
    pub fn used(&self, purpose: MemoryUse) -> usize {
        self.counter(purpose).load(Ordering::Relaxed)
    }

    /// The bytes that a use may take if the others leave them.
    pub fn cap(&self, purpose: MemoryUse) -> usize {
        let available = self.available();
        match purpose {
            MemoryUse::Clients | MemoryUse::Upstream => share(available, CONNECTION_SHARE),
            MemoryUse::Responses => share(self.limit, RESPONSE_SHARE).min(available),
        }
    }

    /// Whether a use takes at least this share of what it may take.
    pub fn is_filled(&self, purpose: MemoryUse, filled: f64) -> bool {
        self.used(purpose) >= share(self.cap(purpose), filled)
    }

    /// Reserves memory. Returns `None` if the cap of this use, or of all together, would be passed.
    pub fn reserve(self: &Arc<Self>, purpose: MemoryUse, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = MemoryReservation { budget: self.clone(), purpose, bytes: 0 };
        reservation.resize(bytes).then_some(reservation)
    }

    /// Counts memory that is in use already, whether or not that passes a cap.
    pub fn count(self: &Arc<Self>, purpose: MemoryUse, bytes: usize) -> MemoryReservation {
        self.counter(purpose).fetch_add(bytes, Ordering::Relaxed);
        MemoryReservation { budget: self.clone(), purpose, bytes }
    }

    /// The bytes that all uses together may take.
    fn available(&self) -> usize {
        let endpoints = self.endpoints.load(Ordering::Relaxed) * ENDPOINT_BYTES;
        let taken = share(self.limit, HEADROOM) + PROCESS_BYTES + self.tracked + endpoints;
        self.limit.saturating_sub(taken).max(share(self.limit, MIN_SHARE))
    }

    fn has_room(&self, purpose: MemoryUse, bytes: usize) -> bool {
        let used: usize = [&self.clients, &self.upstream, &self.responses]
            .map(|part| part.load(Ordering::Relaxed))
            .iter()
            .sum();
        used + bytes <= self.available() && self.used(purpose) + bytes <= self.cap(purpose)
    }

    fn counter(&self, purpose: MemoryUse) -> &AtomicUsize {
        match purpose {
            MemoryUse::Clients => &self.clients,
            MemoryUse::Upstream => &self.upstream,
            MemoryUse::Responses => &self.responses,
        }
    }
}

/// A part of a [`MemoryBudget`], given back on drop.
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    purpose: MemoryUse,
    bytes: usize,
}

impl MemoryReservation {
    /// Changes the size of the reservation. Returns false and leaves it as it is if the budget has no room for more.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let counter = self.budget.counter(self.purpose);
        if bytes <= self.bytes {
            counter.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        } else {
            let growth = bytes - self.bytes;
            if !self.budget.has_room(self.purpose, growth) {
                return false;
            }
            counter.fetch_add(growth, Ordering::Relaxed);
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.counter(self.purpose).fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

fn share(bytes: usize, fraction: f64) -> usize {
    (bytes as f64 * fraction) as usize
}
