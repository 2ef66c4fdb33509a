//! The directory: its text, and the tree derived from it.

use rockflow_dissemination::{Directory, NodeId, Peer, MAX_PARENTS};
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

fn control() -> Vec<Peer> {
    let peer = |index: u8| Peer {
        node: NodeId::of(&format!("control-{index}")),
        address: std::net::SocketAddr::from(([10, 9, 0, index], 7000)),
    };
    (0..6).map(peer).collect()
}

#[test_case("", 1, "expected `version,N` with N of at least 1")]
#[test_case("version,0\n", 1, "expected `version,N` with N of at least 1")]
#[test_case("# none\n\nmember,a\n", 3, "expected `version,N` with N of at least 1")]
#[test_case("version,1\na,r,s,z\n", 2, "expected `name,region,site,zone,address`")]
#[test_case("version,1\na,r,s,z,10.0.0.1\n", 2, "expected an IP address with a port")]
#[test_case("version,1\n,r,s,z,10.0.0.1:1\n", 2, "empty name, region or site")]
#[test_case("version,1\na,r,s,z,10.0.0.1:1\n\na,r,s,z,10.0.0.2:1\n", 4, "duplicate member name")]
#[test_case("version,1\na,r,s,z,10.0.0.1:1\nb,r,s,z,10.0.0.1:1\n", 3, "duplicate member address")]
fn error_names_its_line(text: &str, line: usize, what: &str) {
    let fault = Directory::parse(text).expect_err("a fault");
    assert_eq!((fault.line, fault.problem.to_string().as_str()), (line, what));
}

fn target() -> Directory {
    let mut text = String::from("version,3\n");
    for member in 0..1800 {
        let (site, address) = (member % 140, format!("10.{}.{}.1:7000", member / 200, member % 200));
        text += &format!("d-{member},region-{},site-{site},zone,{address}\n", site % 29);
    }
    Directory::parse(&text).expect("a directory")
}

#[test]
fn every_candidate_is_an_ancestor_and_the_tree_is_shallow() {
    let (directory, control) = (target(), control());
    let mut heads = 0;
    let mut children: BTreeMap<NodeId, usize> = BTreeMap::new();
    for member in &directory.members {
        let node = NodeId::of(&member.name);
        let place = directory.place(node, &control).expect("a place");
        assert!((2..=MAX_PARENTS).contains(&place.parents.len()));
        assert!(place.parents.iter().filter(|peer| control.contains(peer)).count() >= 2);
        let distinct: BTreeSet<NodeId> = place.parents.iter().map(|peer| peer.node).collect();
        assert_eq!(distinct.len(), place.parents.len());
        for peer in place.parents.iter().filter(|peer| !control.contains(peer)) {
            let above = directory.place(peer.node, &control).expect("a place");
            assert!(above.region == place.region && above.slot < place.slot, "{peer:?} isn't above");
        }
        heads += usize::from(control.contains(&place.parents[0]));
        *children.entry(place.parents[0].node).or_default() += 1;
        let mut depth = 0;
        let mut at = node;
        while let Some(above) = directory.place(at, &control) {
            at = above.parents[0].node;
            depth += 1;
        }
        assert!(depth <= 6, "{depth}");
    }
    assert_eq!((heads, directory.regions().len()), (29, 29));
    children.retain(|node, _| control.iter().all(|peer| peer.node != *node));
    assert_eq!(children.values().max(), Some(&3), "no member passes on to more than three by place");
    assert_eq!(directory.place(NodeId::of("nobody"), &control), None);
}

#[test]
fn listing_hash_changes_with_what_its_places_depend_on() {
    let text = "version,1\na,r,s,z,10.0.0.1:1\nb,r,s,z,10.0.0.2:1\nc,q,s,z,10.0.0.3:1\n";
    let listing_hash = |text: &str, name: &str| {
        let directory = Directory::parse(text).expect("a directory");
        directory.place(NodeId::of(name), &control()).expect("a place").listing_hash
    };
    for (from, to) in [("10.0.0.2:1", "10.0.0.2:2"), ("b,r,s", "b,r,t"), ("b,r", "d,r")] {
        let other = text.replace(from, to);
        assert_ne!(listing_hash(text, "a"), listing_hash(&other, "a"), "{from}");
        assert_eq!(listing_hash(text, "c"), listing_hash(&other, "c"), "{from}");
    }
    assert_eq!(listing_hash(text, "a"), listing_hash(&text.replace("version,1", "version,2"), "a"));
}
