//! What the list refuses of the fleet's marks is said of each, also where nobody is told of the ticket it came under.
#![cfg(feature = "dissemination")]

#[path = "../src/beside/dissemination/unjudged.rs"]
mod unjudged;

use rockflow_dissemination::{
    ApplyToken, ControlId, EntryId, Incarnation, SequenceNumber, StreamId, StreamKind,
};
use rockflow_endpoints::RejectedOverride;
use std::collections::BTreeMap;
use unjudged::{Unjudged, MAX_UNJUDGED};

fn entry(number: usize, host: &str) -> (EntryId, String) {
    let stream =
        StreamId { control: ControlId(0), incarnation: Incarnation(1), kind: StreamKind::Configuration };
    ((stream, SequenceNumber(number as u64)), host.to_string())
}

fn refused(hosts: &[&str]) -> BTreeMap<String, RejectedOverride> {
    hosts.iter().map(|host| (host.to_string(), RejectedOverride::LastReadyEndpoint)).collect()
}

#[test]
fn a_ticket_that_nobody_is_told_of_is_judged_with_the_next() {
    let mut unjudged = Unjudged::default();
    for (ticket, number, host) in [(3, 1, "c1"), (5, 2, "c2"), (8, 3, "c1"), (9, 4, "c1")] {
        assert!(unjudged.give(ApplyToken(ticket), vec![entry(number, host)]).is_empty());
    }
    // Nobody is told of 3 and 5.
    let said = unjudged.judged(ApplyToken(8), &refused(&["c1", "c3"]));
    let numbers: Vec<_> = said.iter().map(|((_, number), host, _)| (number.0, host.as_str())).collect();
    assert_eq!(numbers, [(1, "c1"), (3, "c1")]);
    // Each is judged once, and what came later by what is told of it.
    assert!(unjudged.judged(ApplyToken(8), &refused(&["c1", "c2"])).is_empty());
    assert!(unjudged.judged(ApplyToken(9), &refused(&[])).is_empty());
    assert!(unjudged.judged(ApplyToken(9), &refused(&["c1"])).is_empty());
}

#[test]
fn what_finds_no_place_comes_back() {
    let mut unjudged = Unjudged::default();
    let all = |from: usize| (from..from + MAX_UNJUDGED - 1).map(|n| entry(n, "c1")).collect::<Vec<_>>();
    assert!(unjudged.give(ApplyToken(1), all(0)).is_empty());
    let back = unjudged.give(ApplyToken(2), all(MAX_UNJUDGED));
    assert_eq!(back, all(MAX_UNJUDGED)[1..]);
    assert_eq!(unjudged.judged(ApplyToken(1), &refused(&["c1"])).len(), MAX_UNJUDGED - 1);
    assert!(unjudged.give(ApplyToken(3), all(0)).is_empty());
    assert_eq!(unjudged.judged(ApplyToken(3), &refused(&["c1"])).len(), MAX_UNJUDGED);
}
