//! The actor of a client connection. It handles one request at a time and sends exactly one response to each.

mod connection;
mod end_reason;
pub mod message;
mod outgoing;
mod registry;

use crate::client::connection::ClientConnection;
use crate::client::end_reason::EndReason;
use crate::decision::message::DecisionMessage;
use crate::mailbox::Wake;
use crate::memory::MemoryReservation;
use may::io::WaitIo;
use may::net::TcpStream;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use tracing::{debug, error};

pub(crate) use registry::RegistryConfig;
pub use registry::{ClientRegistry, ClientSlot};

/// Serves a client connection, for which `memory` is reserved, until it ends. Blocks the calling coroutine.
pub fn run(stream: TcpStream, registry: &ClientRegistry, memory: MemoryReservation) {
    let _ = stream.set_nodelay(true);
    let now = registry.clock.now();
    let slot = Arc::new(ClientSlot::new(now));
    slot.mailbox.wake_by(Wake::Io(stream.waker()));
    let number = registry.insert(slot.clone());
    let mut connection = ClientConnection::new(registry, stream, slot, memory);
    let ended = catch_unwind(AssertUnwindSafe(|| connection.serve()));
    let reason = match ended {
        Ok(Err(reason)) => reason,
        Ok(Ok(never)) => match never {},
        Err(_) => {
            error!(client = number, "client connection actor panicked");
            EndReason::Panicked
        }
    };
    registry.remove(number);
    if let Some(request) = connection.close() {
        debug!(request = request.0, reason = reason.as_str(), "client disconnected before its response");
        registry.decisions.send(DecisionMessage::ClientDisconnected(request));
    }
    connection.release_counters();
}
