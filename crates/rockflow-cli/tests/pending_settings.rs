//! Each setting that the endpoint list rejects is reported, also where the judgement of its own token is lost.
#![cfg(feature = "dissemination")]

#[path = "../src/extensions/dissemination/pending_settings.rs"]
mod pending_settings;

use pending_settings::{PendingSettings, MAX_PENDING_SETTINGS};
use rockflow_dissemination::{
    ApplyToken, ControlId, EntryId, Incarnation, SequenceNumber, StreamId, StreamKind,
};
use rockflow_endpoints::RejectedOverride;
use std::collections::BTreeMap;

fn entry(number: usize, host: &str) -> (EntryId, String) {
    let stream =
        StreamId { control: ControlId(0), incarnation: Incarnation(1), kind: StreamKind::Configuration };
    ((stream, SequenceNumber(number as u64)), host.to_string())
}

fn rejected(hosts: &[&str]) -> BTreeMap<String, RejectedOverride> {
    hosts.iter().map(|host| (host.to_string(), RejectedOverride::LastReadyEndpoint)).collect()
}

#[test]
fn settings_of_a_lost_judgement_are_judged_with_the_next() {
    let mut pending = PendingSettings::default();
    for (token, number, host) in [(3, 1, "c1"), (5, 2, "c2"), (8, 3, "c1"), (9, 4, "c1")] {
        assert!(pending.add(ApplyToken(token), vec![entry(number, host)]).is_empty());
    }
    // The judgements of 3 and 5 are lost.
    let rejected_settings = pending.take_judged(ApplyToken(8), &rejected(&["c1", "c3"]));
    let numbers: Vec<_> =
        rejected_settings.iter().map(|((_, number), host, _)| (number.0, host.as_str())).collect();
    assert_eq!(numbers, [(1, "c1"), (3, "c1")]);
    // Each is judged once, and later ones by their own judgement.
    assert!(pending.take_judged(ApplyToken(8), &rejected(&["c1", "c2"])).is_empty());
    assert!(pending.take_judged(ApplyToken(9), &rejected(&[])).is_empty());
    assert!(pending.take_judged(ApplyToken(9), &rejected(&["c1"])).is_empty());
}

#[test]
fn returns_settings_without_room() {
    let mut pending = PendingSettings::default();
    let all =
        |from: usize| (from..from + MAX_PENDING_SETTINGS - 1).map(|n| entry(n, "c1")).collect::<Vec<_>>();
    assert!(pending.add(ApplyToken(1), all(0)).is_empty());
    let without_room = pending.add(ApplyToken(2), all(MAX_PENDING_SETTINGS));
    assert_eq!(without_room, all(MAX_PENDING_SETTINGS)[1..]);
    assert_eq!(pending.take_judged(ApplyToken(1), &rejected(&["c1"])).len(), MAX_PENDING_SETTINGS - 1);
    assert!(pending.add(ApplyToken(3), all(0)).is_empty());
    assert_eq!(pending.take_judged(ApplyToken(3), &rejected(&["c1"])).len(), MAX_PENDING_SETTINGS);
}
