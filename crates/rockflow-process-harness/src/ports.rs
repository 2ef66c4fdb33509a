//! Chooses free ports at a loopback address that differs from process to process.
//!
//! A chosen port is unbound until the program under test binds it. It must not be handed out again in the meantime: two
//! dispatchers at one address would share its connections. So no port is chosen twice by one process, and another
//! process that binds port 0 of 127.0.0.1 can't be assigned one, because the address differs.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

/// The ports that this process has chosen.
static CHOSEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
/// How many ports the system may assign in a search before the search fails.
const MAX_ATTEMPTS: usize = 64;

/// The loopback address of this process, derived from its process id.
fn process_address() -> IpAddr {
    let [_, _, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | middle & 63, low, 1))
}

/// Binds a socket to a port that was not chosen before. Sockets that got a port already chosen stay open during the
/// search, so that the system does not assign the same port again.
fn bind_unused<T>(bind: impl Fn() -> io::Result<(T, SocketAddr)>) -> io::Result<(T, SocketAddr)> {
    let mut chosen = CHOSEN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut already_chosen = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        let (socket, address) = bind()?;
        if chosen.insert(address.port()) {
            return Ok((socket, address));
        }
        already_chosen.push(socket);
    }
    Err(io::Error::other(format!("every port assigned in {MAX_ATTEMPTS} attempts had been chosen before")))
}

fn bind_tcp() -> io::Result<(TcpListener, SocketAddr)> {
    let socket = TcpListener::bind((process_address(), 0))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

fn bind_udp() -> io::Result<(UdpSocket, SocketAddr)> {
    let socket = UdpSocket::bind((process_address(), 0))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

/// Chooses an address with a free TCP port.
///
/// # Errors
/// If a socket can't be bound, or if every assigned port had been chosen before.
pub fn free_tcp() -> io::Result<SocketAddr> {
    bind_unused(bind_tcp).map(|(_, address)| address)
}

/// Chooses `count` addresses with different free UDP ports.
///
/// # Errors
/// If a socket can't be bound, or if every port assigned to one of them had been chosen before.
pub fn free_udp(count: usize) -> io::Result<Vec<SocketAddr>> {
    let sockets: io::Result<Vec<_>> = (0..count).map(|_| bind_unused(bind_udp)).collect();
    Ok(sockets?.into_iter().map(|(_, address)| address).collect())
}
