//! The dispatcher's use of socket options, watched in place of the C library's call.

use std::cell::Cell;
use std::sync::atomic::{AtomicUsize, Ordering};

/// How often a thread of a dispatcher has asked for no delay of small writes.
pub(super) static NO_DELAY: AtomicUsize = AtomicUsize::new(0);

thread_local! {
    /// A thread of the play itself, which may set its sockets' time limits.
    pub(super) static OURS: Cell<bool> = const { Cell::new(false) };
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
