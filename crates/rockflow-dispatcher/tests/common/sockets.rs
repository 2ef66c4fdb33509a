//! The dispatcher's use of its sockets, watched in place of the C library's calls.

use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How often a thread of a dispatcher has asked for no delay of small writes.
pub(super) static NO_DELAY: AtomicUsize = AtomicUsize::new(0);

thread_local! {
    /// A thread of the play itself, which may set its sockets' time limits.
    pub(super) static OURS: Cell<bool> = const { Cell::new(false) };
}

/// What the dispatchers of this process have written to hosts, in that order.
static COMMANDS: Mutex<Vec<SentCommands>> = Mutex::new(Vec::new());

/// Bytes that were written to a host with one call.
struct SentCommands {
    at: Instant,
    host: SocketAddr,
    bytes: Vec<u8>,
}

/// How long after the last write of one line to a host that of another line began.
pub(super) fn gap_between(host: SocketAddr, first: &str, second: &str) -> Option<Duration> {
    let commands = COMMANDS.lock().unwrap_or_else(PoisonError::into_inner);
    let written_at = |line: &str| {
        let holds_line = |sent: &&SentCommands| {
            sent.host == host && sent.bytes.windows(line.len()).any(|window| window == line.as_bytes())
        };
        commands.iter().rfind(holds_line).map(|sent| sent.at)
    };
    written_at(second)?.checked_duration_since(written_at(first)?)
}

/// Stands before the C library's own, and records what is written to hosts before it can arrive there.
///
/// # Safety
/// As that of the call it stands for.
#[no_mangle]
pub unsafe extern "C" fn send(
    socket: libc::c_int,
    buffer: *const libc::c_void,
    length: libc::size_t,
    flags: libc::c_int,
) -> libc::ssize_t {
    let bytes = std::slice::from_raw_parts(buffer.cast::<u8>(), length);
    let is_command = bytes.starts_with(b"want ") || bytes.starts_with(b"never_mind ");
    if is_command && !OURS.get() {
        record_command(socket, bytes);
    }
    libc::syscall(libc::SYS_sendto, socket, buffer, length, flags, 0, 0) as libc::ssize_t
}

fn record_command(socket: libc::c_int, bytes: &[u8]) {
    // SAFETY: the descriptor is borrowed for this call only, within which its owner writes to it.
    let socket = unsafe { std::os::fd::BorrowedFd::borrow_raw(socket) };
    let host = socket2::SockRef::from(&socket).peer_addr().ok().and_then(|address| address.as_socket());
    let Some(host) = host else { return };
    let sent = SentCommands { at: Instant::now(), host, bytes: bytes.to_vec() };
    COMMANDS.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
}

/// Stands before the C library's own. Guards against a dispatcher that leans on time limits of sockets, which not
/// every platform has: to its threads they are refused.
///
/// # Safety
/// As that of the call it stands for.
#[no_mangle]
pub unsafe extern "C" fn setsockopt(
    socket: libc::c_int,
    level: libc::c_int,
    name: libc::c_int,
    value: *const libc::c_void,
    length: libc::socklen_t,
) -> libc::c_int {
    let limit = level == libc::SOL_SOCKET && matches!(name, libc::SO_SNDTIMEO | libc::SO_RCVTIMEO);
    if limit && !OURS.get() {
        *libc::__errno_location() = libc::EBADF;
        return -1;
    }
    if level == libc::IPPROTO_TCP && name == libc::TCP_NODELAY && !OURS.get() {
        NO_DELAY.fetch_add(1, Ordering::Relaxed);
    }
    libc::syscall(libc::SYS_setsockopt, socket, level, name, value, length) as libc::c_int
}
