//! What a dispatcher talks to, played on loopback at ports of its own: cache hosts, a notice board, clients, and
//! keys and certificates for managers. All of it runs in threads of its own and stops with its handle.

pub mod discovery;
pub mod host;
pub mod keys;
pub mod load;
pub mod memory;
pub mod site;

pub use discovery::DiscoveryServer;
pub use host::Host;
pub use load::{Load, LoadPhase, LoadSummary};
pub use site::Site;

use std::future::Future;
use std::thread::JoinHandle;

/// Runs one part in a thread and a runtime of its own.
pub(crate) fn thread<F: Future<Output = ()> + Send + 'static>(name: &str, part: F) -> JoinHandle<()> {
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(part);
    };
    std::thread::Builder::new().name(name.to_string()).spawn(run).expect("a thread")
}
