//! Free ports of loopback, at an address of this process's own.
//!
//! No port is chosen twice by one process, and no other process that binds port 0 of 127.0.0.1 can take one between its
//! choice and its use. Two dispatchers at one address would share its connections.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

/// The ports that this process has chosen.
static CHOSEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
/// Attempts to find one port.
const MAX_ATTEMPTS: usize = 64;

/// An address of loopback that depends on this process's id.
fn own_address() -> IpAddr {
    let [_, _, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | middle & 63, low, 1))
}

/// Binds a socket to a port that was not chosen before. Sockets at chosen ports stay open meanwhile, so that the system
/// does not offer those ports again.
fn bind_fresh<T>(bind: impl Fn() -> io::Result<(T, SocketAddr)>) -> io::Result<(T, SocketAddr)> {
    let mut chosen = CHOSEN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut rejected = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        let (socket, address) = bind()?;
        if chosen.insert(address.port()) {
            return Ok((socket, address));
        }
        rejected.push(socket);
    }
    Err(io::Error::other("no port that was not given before"))
}

fn bind_tcp() -> io::Result<(TcpListener, SocketAddr)> {
    let socket = TcpListener::bind((own_address(), 0))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

fn bind_udp() -> io::Result<(UdpSocket, SocketAddr)> {
    let socket = UdpSocket::bind((own_address(), 0))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

/// An address with a free TCP port.
///
/// # Errors
/// If no port can be bound.
pub fn free_tcp() -> io::Result<SocketAddr> {
    bind_fresh(bind_tcp).map(|(_, address)| address)
}

/// So many addresses with different free UDP ports.
///
/// # Errors
/// If not that many ports can be bound.
pub fn free_udp(count: usize) -> io::Result<Vec<SocketAddr>> {
    let sockets: io::Result<Vec<_>> = (0..count).map(|_| bind_fresh(bind_udp)).collect();
    Ok(sockets?.into_iter().map(|(_, address)| address).collect())
}
