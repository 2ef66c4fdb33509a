//! Ports of loopback that the OS has free just now, at an address of this process's own: nobody who lets the OS choose a
//! port of 127.0.0.1 is given one of these between its choice and its use, and this process gives none twice. Guards
//! against two dispatchers at one address: their listeners would share it, each taking a part of the other's clients.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
/// Tries of one choice.
const MAX_TRIES: usize = 64;

fn own() -> IpAddr {
    let [_, _, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | middle & 63, low, 1))
}

/// What is bound to a port that was not given before; the ones that were are held meanwhile, so that they do not come again.
fn fresh<T>(bind: impl Fn() -> io::Result<(T, SocketAddr)>) -> io::Result<(T, SocketAddr)> {
    let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut held = Vec::new();
    for _ in 0..MAX_TRIES {
        let (socket, address) = bind()?;
        if given.insert(address.port()) {
            return Ok((socket, address));
        }
        held.push(socket);
    }
    Err(io::Error::other("no port that was not given before"))
}

fn tcp() -> io::Result<(TcpListener, SocketAddr)> {
    let socket = TcpListener::bind((own(), 0))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

fn udp() -> io::Result<(UdpSocket, SocketAddr)> {
    let socket = UdpSocket::bind((own(), 0))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

/// A port that was free just now.
pub fn free_tcp() -> io::Result<SocketAddr> {
    fresh(tcp).map(|(_, address)| address)
}

/// So many different ports that were free just now: all are held till the last one is chosen.
pub fn free_udp(count: usize) -> io::Result<Vec<SocketAddr>> {
    let sockets: io::Result<Vec<_>> = (0..count).map(|_| fresh(udp)).collect();
    Ok(sockets?.into_iter().map(|(_, address)| address).collect())
}
