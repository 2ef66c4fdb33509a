//! Parsing of the directory, and the tree derived from it.

use rockflow_dissemination::{Directory, NodeId, Peer, MAX_PARENTS};
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

fn control_peers() -> Vec<Peer> {
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
fn error_names_its_line(text: &str, line: usize, problem: &str) {
    let error = Directory::parse(text).expect_err("an error");
    assert_eq!((error.line, error.problem.to_string().as_str()), (line, problem));
}

fn directory_of_1800_members() -> Directory {
    let mut text = String::from("version,3\n");
    for member in 0..1800 {
        let (site, address) = (member % 140, format!("10.{}.{}.1:7000", member / 200, member % 200));
        text += &format!("d-{member},region-{},site-{site},zone,{address}\n", site % 29);
    }
    Directory::parse(&text).expect("a directory")
}

#[test]
fn every_candidate_is_an_ancestor_and_the_tree_is_shallow() {
    let (directory, control) = (directory_of_1800_members(), control_peers());
    let mut children_of_control = 0;
    let mut children: BTreeMap<NodeId, usize> = BTreeMap::new();
    for member in &directory.members {
        let node = NodeId::of(&member.name);
        let placement = directory.place(node, &control).expect("a placement");
        assert!((2..=MAX_PARENTS).contains(&placement.parents.len()));
        assert!(placement.parents.iter().filter(|peer| control.contains(peer)).count() >= 2);
        let distinct: BTreeSet<NodeId> = placement.parents.iter().map(|peer| peer.node).collect();
        assert_eq!(distinct.len(), placement.parents.len());
        for peer in placement.parents.iter().filter(|peer| !control.contains(peer)) {
            let ancestor = directory.place(peer.node, &control).expect("a placement");
            let is_above = ancestor.region == placement.region && ancestor.slot < placement.slot;
            assert!(is_above, "{peer:?} isn't above");
        }
        children_of_control += usize::from(control.contains(&placement.parents[0]));
        *children.entry(placement.parents[0].node).or_default() += 1;
        let mut depth = 0;
        let mut ancestor = node;
        while let Some(placement) = directory.place(ancestor, &control) {
            ancestor = placement.parents[0].node;
            depth += 1;
        }
        assert!(depth <= 6, "{depth}");
    }
    assert_eq!((children_of_control, directory.regions().len()), (29, 29));
    children.retain(|node, _| control.iter().all(|peer| peer.node != *node));
    assert_eq!(children.values().max(), Some(&3), "no member has more than three children by placement");
    assert_eq!(directory.place(NodeId::of("nobody"), &control), None);
}

#[test]
fn listing_hash_changes_with_addresses_sites_and_names_of_its_region_only() {
    let text = "version,1\na,r,s,z,10.0.0.1:1\nb,r,s,z,10.0.0.2:1\nc,q,s,z,10.0.0.3:1\n";
    let listing_hash = |text: &str, name: &str| {
        let directory = Directory::parse(text).expect("a directory");
        directory.place(NodeId::of(name), &control_peers()).expect("a placement").listing_hash
    };
    for (from, to) in [("10.0.0.2:1", "10.0.0.2:2"), ("b,r,s", "b,r,t"), ("b,r", "d,r")] {
        let changed = text.replace(from, to);
        assert_ne!(listing_hash(text, "a"), listing_hash(&changed, "a"), "{from}");
        assert_eq!(listing_hash(text, "c"), listing_hash(&changed, "c"), "{from}");
    }
    assert_eq!(listing_hash(text, "a"), listing_hash(&text.replace("version,1", "version,2"), "a"));
}
