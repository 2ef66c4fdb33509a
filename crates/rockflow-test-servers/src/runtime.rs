//! Sets up what every server of this package needs: a listener on loopback and a thread with an async runtime.

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

/// Binds a non-blocking listener to a free port of 127.0.0.1, and returns it with its address.
pub(crate) fn bind_loopback() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a non-blocking listener");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Runs a future to completion in a new thread with the given name, on a single-threaded runtime.
pub(crate) fn spawn_thread<F>(name: &str, future: F) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(future);
    };
    std::thread::Builder::new().name(name.to_string()).spawn(run).expect("a thread")
}
