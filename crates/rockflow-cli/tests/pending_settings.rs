//! Each setting that the endpoint list rejects is reported once, even if the result for its own token is lost.
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
fn resolves_settings_of_a_lost_result_with_the_next_result() {
    let mut pending = PendingSettings::default();
    for (token, number, host) in [(3, 1, "c1"), (5, 2, "c2"), (8, 3, "c1"), (9, 4, "c1")] {
        assert!(pending.add(ApplyToken(token), vec![entry(number, host)]).is_empty());
    }
    // The results for the tokens 3 and 5 are lost.
    let rejected_settings = pending.take_rejected(ApplyToken(8), &rejected(&["c1", "c3"]));
    let numbers_and_hosts: Vec<_> =
        rejected_settings.iter().map(|setting| (setting.id.1 .0, setting.host.as_str())).collect();
    assert_eq!(numbers_and_hosts, [(1, "c1"), (3, "c1")]);
    assert!(rejected_settings.iter().all(|setting| setting.reason == RejectedOverride::LastReadyEndpoint));
    // Each setting is resolved once, and the one of token 9 only by its own result.
    assert!(pending.take_rejected(ApplyToken(8), &rejected(&["c1", "c2"])).is_empty());
    assert!(pending.take_rejected(ApplyToken(9), &rejected(&[])).is_empty());
    assert!(pending.take_rejected(ApplyToken(9), &rejected(&["c1"])).is_empty());
}

#[test]
fn returns_settings_that_exceed_the_maximum() {
    let mut pending = PendingSettings::default();
    let settings_one_below_maximum = |first: usize| {
        (first..first + MAX_PENDING_SETTINGS - 1).map(|number| entry(number, "c1")).collect::<Vec<_>>()
    };
    assert!(pending.add(ApplyToken(1), settings_one_below_maximum(0)).is_empty());
    let over_capacity = pending.add(ApplyToken(2), settings_one_below_maximum(MAX_PENDING_SETTINGS));
    assert_eq!(over_capacity, settings_one_below_maximum(MAX_PENDING_SETTINGS)[1..]);
    assert_eq!(pending.take_rejected(ApplyToken(1), &rejected(&["c1"])).len(), MAX_PENDING_SETTINGS - 1);
    assert!(pending.add(ApplyToken(3), settings_one_below_maximum(0)).is_empty());
    assert_eq!(pending.take_rejected(ApplyToken(3), &rejected(&["c1"])).len(), MAX_PENDING_SETTINGS);
}
