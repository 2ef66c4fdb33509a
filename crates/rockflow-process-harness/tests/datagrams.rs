//! The datagram proxy between plain sockets.

use rockflow_process_harness::datagrams::{MemberSet, PathConditions, Proxy, Rule};
use rockflow_process_harness::wait_until;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(10);

fn members(count: usize) -> (Vec<UdpSocket>, Proxy) {
    let sockets: Vec<_> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    sockets.iter().for_each(|socket| socket.set_read_timeout(Some(PATIENCE)).unwrap());
    let at: Vec<_> = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
    let proxy = Proxy::start(&at, 7).unwrap();
    (sockets, proxy)
}

/// Receives a datagram, and returns its text and source.
fn next(socket: &UdpSocket) -> (String, std::net::SocketAddr) {
    let mut buffer = [0; 100];
    let (length, from) = socket.recv_from(&mut buffer).expect("a datagram in time");
    (String::from_utf8(buffer[..length].to_vec()).unwrap(), from)
}

fn all(path: PathConditions) -> Rule {
    Rule { from: MemberSet::All, to: MemberSet::All, path }
}

#[test]
fn carries_answer_to_source_of_datagram() {
    let (sockets, proxy) = members(2);
    sockets[0].send_to(b"asked", proxy.front(1)).unwrap();
    let (text, from) = next(&sockets[1]);
    assert_eq!((text.as_str(), from), ("asked", proxy.front(0)));
    sockets[1].send_to(b"answered", from).unwrap();
    assert_eq!(next(&sockets[0]), ("answered".to_string(), proxy.front(1)));
    let (asked, answered) = (proxy.traffic(0), proxy.traffic(1));
    assert_eq!((asked.bytes_out, asked.bytes_in), (5, 8));
    assert_eq!((answered.bytes_out, answered.bytes_in), (8, 5));
}

#[test]
fn cuts_path_in_one_direction_until_rule_is_removed() {
    let (sockets, proxy) = members(3);
    let cut = PathConditions { cut: true, ..PathConditions::default() };
    let id = proxy.add(Rule { from: MemberSet::One(0), to: MemberSet::only(3, [1, 2]), path: cut });
    sockets[0].send_to(b"cut", proxy.front(1)).unwrap();
    sockets[1].send_to(b"back", proxy.front(0)).unwrap();
    assert_eq!(next(&sockets[0]).0, "back");
    assert!(wait_until(PATIENCE, || proxy.tally().cut == 1));
    proxy.remove(id);
    sockets[0].send_to(b"mended", proxy.front(1)).unwrap();
    assert_eq!(next(&sockets[1]).0, "mended");
}

#[test]
fn loses_and_doubles_configured_shares() {
    const SENT: u64 = 2000;
    let (sockets, proxy) = members(2);
    proxy.add(all(PathConditions { lost: 0.2, doubled: 0.1, ..PathConditions::default() }));
    for sent in 1..=SENT {
        sockets[0].send_to(b"x", proxy.front(1)).unwrap();
        // A few at a time: no buffer of a socket is ever full.
        if sent % 50 == 0 {
            assert!(wait_until(PATIENCE, || {
                let tally = proxy.tally();
                tally.carried + tally.lost == sent + tally.doubled
            }));
        }
    }
    let tally = proxy.tally();
    assert!((300..500).contains(&tally.lost), "{tally:?}");
    assert!((100..220).contains(&tally.doubled), "{tally:?}");
}

#[test]
fn delays_and_reorders_datagrams() {
    let (sockets, proxy) = members(2);
    let late = Duration::from_millis(50);
    proxy.add(all(PathConditions { late, jitter: Duration::from_millis(50), ..PathConditions::default() }));
    let begun = Instant::now();
    for n in 0..20 {
        sockets[0].send_to(format!("{n:02}").as_bytes(), proxy.front(1)).unwrap();
    }
    let came: Vec<_> = (0..20).map(|_| next(&sockets[1]).0).collect();
    assert!(begun.elapsed() >= late);
    let mut sorted = came.clone();
    sorted.sort();
    assert_ne!(came, sorted);
    sorted.dedup();
    assert_eq!(sorted.len(), 20);
}

#[test]
fn drops_and_counts_datagram_of_foreign_sender() {
    let (sockets, proxy) = members(2);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    stranger.send_to(b"x", proxy.front(1)).unwrap();
    assert!(wait_until(PATIENCE, || proxy.tally().foreign == 1));
    sockets[0].send_to(b"known", proxy.front(1)).unwrap();
    assert_eq!(next(&sockets[1]).0, "known");
}
