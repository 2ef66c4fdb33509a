//! Overrides that could not be sent to the node are published with the next attempt.
#![cfg(feature = "dissemination")]

#[path = "../src/control/overrides.rs"]
mod overrides;

use overrides::{HostOverrides, PublishedOverrides};
use rockflow_dissemination::DesiredState;
use rockflow_operator_config::AdministrativeState;

fn overrides(pairs: &[(&str, AdministrativeState)]) -> HostOverrides {
    pairs.iter().map(|(host, state)| (host.to_string(), *state)).collect()
}

fn desired(pairs: &[(&str, DesiredState)]) -> Vec<(String, DesiredState)> {
    pairs.iter().map(|(host, wanted)| (host.to_string(), *wanted)).collect()
}

#[test]
fn unsent_changes_are_published_with_the_next_attempt() {
    let mut published = PublishedOverrides::default();
    let first = overrides(&[("c1", AdministrativeState::Draining), ("c2", AdministrativeState::Gone)]);
    assert!(published.publish(&first, |changes| {
        assert_eq!(changes, desired(&[("c1", DesiredState::Draining), ("c2", DesiredState::Gone)]));
        true
    }));
    let next = overrides(&[("c1", AdministrativeState::Gone), ("c3", AdministrativeState::Draining)]);
    let changes =
        desired(&[("c1", DesiredState::Gone), ("c3", DesiredState::Draining), ("c2", DesiredState::Listed)]);
    for has_room in [false, false, true] {
        let mut attempted = Vec::new();
        let is_sent = published.publish(&next, |changes| {
            attempted = changes;
            has_room
        });
        assert_eq!((attempted, is_sent), (changes.clone(), has_room));
    }
    // What stays is not published again.
    assert!(published.publish(&next, |changes| unreachable!("{changes:?}")));
    // What is withdrawn before it could be sent is not published at all.
    assert!(!published.publish(&first, |_| false));
    assert!(published.publish(&next, |changes| unreachable!("{changes:?}")));
}
