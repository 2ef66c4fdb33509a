//! Observes the dispatcher's socket calls by replacing functions of the C library.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How often a dispatcher thread has set TCP_NODELAY.
pub(super) static NO_DELAY: AtomicUsize = AtomicUsize::new(0);

thread_local! {
    /// Whether this thread belongs to the test itself rather than to a dispatcher.
    pub(super) static IS_TEST_THREAD: Cell<bool> = const { Cell::new(false) };
}

/// What the dispatchers of this process have written to hosts, in order.
static COMMANDS: Mutex<Vec<SentCommands>> = Mutex::new(Vec::new());

/// The bytes that one call wrote to a host.
struct SentCommands {
    sent_at: Instant,
    host: SocketAddr,
    bytes: Vec<u8>,
}

/// Returns the time from the last write that contains `first` to the last one that contains `second`. `None`
/// if either was not written to the host, or `second` was written before `first`.
pub(super) fn gap_between(host: SocketAddr, first: &str, second: &str) -> Option<Duration> {
    let commands = COMMANDS.lock().unwrap_or_else(PoisonError::into_inner);
    let written_at = |line: &str| {
        let holds_line = |sent: &&SentCommands| {
            sent.host == host && sent.bytes.windows(line.len()).any(|window| window == line.as_bytes())
        };
        commands.iter().rfind(holds_line).map(|sent| sent.sent_at)
    };
    written_at(second)?.checked_duration_since(written_at(first)?)
}

/// Replaces the C library's `send`; records what is written to hosts before it can arrive there.
///
/// # Safety
/// The same as for the replaced function.
#[no_mangle]
pub unsafe extern "C" fn send(
    socket: libc::c_int,
    buffer: *const libc::c_void,
    length: libc::size_t,
    flags: libc::c_int,
) -> libc::ssize_t {
    let bytes = std::slice::from_raw_parts(buffer.cast::<u8>(), length);
    let is_command = bytes.starts_with(b"want ") || bytes.starts_with(b"never_mind ");
    if is_command && !IS_TEST_THREAD.get() {
        record_command(socket, bytes);
    }
    libc::syscall(libc::SYS_sendto, socket, buffer, length, flags, 0, 0) as libc::ssize_t
}

fn record_command(socket: libc::c_int, bytes: &[u8]) {
    // SAFETY: the descriptor is borrowed for this call only, within which its owner writes to it.
    let socket = unsafe { std::os::fd::BorrowedFd::borrow_raw(socket) };
    let host = socket2::SockRef::from(&socket).peer_addr().ok().and_then(|address| address.as_socket());
    let Some(host) = host else { return };
    let sent = SentCommands { sent_at: Instant::now(), host, bytes: bytes.to_vec() };
    COMMANDS.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
}

/// Replaces the C library's `setsockopt`. Fails if a dispatcher thread sets a socket timeout, because the
/// dispatcher must not rely on these: not every platform supports them.
///
/// # Safety
/// The same as for the replaced function.
#[no_mangle]
pub unsafe extern "C" fn setsockopt(
    socket: libc::c_int,
    level: libc::c_int,
    name: libc::c_int,
    value: *const libc::c_void,
    length: libc::socklen_t,
) -> libc::c_int {
    let is_timeout = level == libc::SOL_SOCKET && matches!(name, libc::SO_SNDTIMEO | libc::SO_RCVTIMEO);
    if is_timeout && !IS_TEST_THREAD.get() {
        *libc::__errno_location() = libc::EBADF;
        return -1;
    }
    if level == libc::IPPROTO_TCP && name == libc::TCP_NODELAY && !IS_TEST_THREAD.get() {
        NO_DELAY.fetch_add(1, Ordering::Relaxed);
    }
    libc::syscall(libc::SYS_setsockopt, socket, level, name, value, length) as libc::c_int
}
