//! Delays the handshakes of connections by replacing a function of the C library.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Handshake delays, by the port of the service.
static DELAYS: Mutex<BTreeMap<u16, Duration>> = Mutex::new(BTreeMap::new());
/// Whether the handshake of a socket with a delay has begun, by the socket's inode.
static HANDSHAKES: Mutex<BTreeMap<u64, Arc<AtomicBool>>> = Mutex::new(BTreeMap::new());

/// From now on connections to this IPv4 address are established after `delay`.
pub(super) fn delay_handshakes(address: SocketAddr, delay: Duration) {
    DELAYS.lock().unwrap_or_else(PoisonError::into_inner).insert(address.port(), delay);
}

/// Replaces the C library's `connect`; while the handshake of a connection is delayed, its connect is in progress.
///
/// # Safety
/// The same as for the replaced function.
#[no_mangle]
pub unsafe extern "C" fn connect(
    socket: libc::c_int,
    address: *const libc::sockaddr,
    length: libc::socklen_t,
) -> libc::c_int {
    if (*address).sa_family == libc::AF_INET as libc::sa_family_t {
        let address = *address.cast::<libc::sockaddr_in>();
        if !may_shake_hands(socket, address) {
            *libc::__errno_location() = libc::EINPROGRESS;
            return -1;
        }
    }
    libc::syscall(libc::SYS_connect, socket, address, length) as libc::c_int
}

/// Whether the handshake of a socket is not delayed, or its delay is over. The first call for a socket starts its delay.
fn may_shake_hands(socket: libc::c_int, address: libc::sockaddr_in) -> bool {
    let delays = DELAYS.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(delay) = delays.get(&u16::from_be(address.sin_port)).copied() else { return true };
    let mut handshakes = HANDSHAKES.lock().unwrap_or_else(PoisonError::into_inner);
    let has_begun = handshakes.entry(inode(socket)).or_insert_with(|| begin_later(socket, address, delay));
    has_begun.load(Ordering::SeqCst)
}

/// Connects the socket after `delay`, also if its owner has closed it by then: a SYN on its way is not recalled either.
fn begin_later(socket: libc::c_int, address: libc::sockaddr_in, delay: Duration) -> Arc<AtomicBool> {
    // SAFETY: the caller owns the open descriptor.
    let socket = unsafe { BorrowedFd::borrow_raw(socket) }.try_clone_to_owned().unwrap();
    let has_begun = Arc::new(AtomicBool::new(false));
    let flag = has_begun.clone();
    std::thread::spawn(move || {
        std::thread::sleep(delay);
        flag.store(true, Ordering::SeqCst);
        let length = size_of::<libc::sockaddr_in>();
        // SAFETY: the address is valid for the call, and the descriptor is open.
        unsafe { libc::syscall(libc::SYS_connect, socket.as_raw_fd(), &raw const address, length) };
    });
    has_begun
}

fn inode(socket: libc::c_int) -> u64 {
    // SAFETY: an all-zero `stat` is valid, and the call only writes it.
    let mut status: libc::stat = unsafe { std::mem::zeroed() };
    // SAFETY: the descriptor is open, and `status` is valid for writes.
    assert_eq!(unsafe { libc::fstat(socket, &raw mut status) }, 0);
    status.st_ino
}
