//! Carries datagrams between plain UDP sockets through the proxy, with and without faults.

use rockflow_process_harness::datagrams::{MemberSet, PathConditions, Proxy, Rule};
use rockflow_process_harness::wait_until;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

/// Time limit for a datagram or counter that is expected.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Binds the sockets of `count` members and starts a proxy for them.
fn start_members(count: usize) -> (Vec<UdpSocket>, Proxy) {
    let sockets: Vec<_> = (0..count).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    sockets.iter().for_each(|socket| socket.set_read_timeout(Some(TIMEOUT)).unwrap());
    let addresses: Vec<_> = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
    let proxy = Proxy::start(&addresses, 7).unwrap();
    (sockets, proxy)
}

/// Receives a datagram, and returns its text and source address.
fn receive(socket: &UdpSocket) -> (String, std::net::SocketAddr) {
    let mut buffer = [0; 100];
    let (length, from) = socket.recv_from(&mut buffer).expect("a datagram in time");
    (String::from_utf8(buffer[..length].to_vec()).unwrap(), from)
}

/// A rule for the paths between all members.
fn rule_for_all(path: PathConditions) -> Rule {
    Rule { from: MemberSet::All, to: MemberSet::All, path }
}

#[test]
fn carries_reply_to_source_of_datagram() {
    let (sockets, proxy) = start_members(2);
    sockets[0].send_to(b"query", proxy.front(1)).unwrap();
    let (text, from) = receive(&sockets[1]);
    assert_eq!((text.as_str(), from), ("query", proxy.front(0)));
    sockets[1].send_to(b"response", from).unwrap();
    assert_eq!(receive(&sockets[0]), ("response".to_string(), proxy.front(1)));
    let (querying, responding) = (proxy.traffic(0), proxy.traffic(1));
    assert_eq!((querying.bytes_out, querying.bytes_in), (5, 8));
    assert_eq!((responding.bytes_out, responding.bytes_in), (8, 5));
}

#[test]
fn cuts_path_in_one_direction_until_rule_is_removed() {
    let (sockets, proxy) = start_members(3);
    let cut = PathConditions { cut: true, ..PathConditions::default() };
    let id = proxy.add(Rule { from: MemberSet::One(0), to: MemberSet::only(3, [1, 2]), path: cut });
    sockets[0].send_to(b"cut", proxy.front(1)).unwrap();
    sockets[1].send_to(b"other way", proxy.front(0)).unwrap();
    assert_eq!(receive(&sockets[0]).0, "other way");
    assert!(wait_until(TIMEOUT, || proxy.tally().cut == 1));
    proxy.remove(id);
    sockets[0].send_to(b"restored", proxy.front(1)).unwrap();
    assert_eq!(receive(&sockets[1]).0, "restored");
}

#[test]
fn drops_and_duplicates_configured_shares() {
    const SENT: u64 = 2000;
    let (sockets, proxy) = start_members(2);
    proxy.add(rule_for_all(PathConditions { lost: 0.2, doubled: 0.1, ..PathConditions::default() }));
    for sent in 1..=SENT {
        sockets[0].send_to(b"x", proxy.front(1)).unwrap();
        // Waits for each 50 datagrams, so that no socket buffer overflows and loses some on its own.
        if sent % 50 == 0 {
            assert!(wait_until(TIMEOUT, || {
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
    let (sockets, proxy) = start_members(2);
    let late = Duration::from_millis(50);
    proxy.add(rule_for_all(PathConditions {
        late,
        jitter: Duration::from_millis(50),
        ..PathConditions::default()
    }));
    let started_at = Instant::now();
    for number in 0..20 {
        sockets[0].send_to(format!("{number:02}").as_bytes(), proxy.front(1)).unwrap();
    }
    let received: Vec<_> = (0..20).map(|_| receive(&sockets[1]).0).collect();
    assert!(started_at.elapsed() >= late);
    let mut sorted = received.clone();
    sorted.sort();
    assert_ne!(received, sorted);
    sorted.dedup();
    assert_eq!(sorted.len(), 20);
}

#[test]
fn drops_and_counts_datagram_from_unknown_sender() {
    let (sockets, proxy) = start_members(2);
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    unknown_sender.send_to(b"x", proxy.front(1)).unwrap();
    assert!(wait_until(TIMEOUT, || proxy.tally().foreign == 1));
    sockets[0].send_to(b"known", proxy.front(1)).unwrap();
    assert_eq!(receive(&sockets[1]).0, "known");
}
