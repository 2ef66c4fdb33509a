//! Which overrides a control process publishes, also after the node did not accept them at first.
#![cfg(feature = "dissemination")]

#[path = "../src/control/overrides.rs"]
mod overrides;

use overrides::{HostOverrides, PublishedOverrides};
use rockflow_dissemination::DesiredState;
use rockflow_operator_config::AdministrativeState;

fn host_overrides(overrides: &[(&str, AdministrativeState)]) -> HostOverrides {
    overrides.iter().map(|(host, state)| (host.to_string(), *state)).collect()
}

fn desired_states(states: &[(&str, DesiredState)]) -> Vec<(String, DesiredState)> {
    states.iter().map(|(host, state)| (host.to_string(), *state)).collect()
}

#[test]
fn unsent_changes_are_published_with_the_next_attempt() {
    let mut published = PublishedOverrides::default();
    let first = host_overrides(&[("c1", AdministrativeState::Draining), ("c2", AdministrativeState::Gone)]);
    assert!(published.publish(&first, |changes| {
        assert_eq!(changes, desired_states(&[("c1", DesiredState::Draining), ("c2", DesiredState::Gone)]));
        true
    }));
    let next = host_overrides(&[("c1", AdministrativeState::Gone), ("c3", AdministrativeState::Draining)]);
    let changes = desired_states(&[
        ("c1", DesiredState::Gone),
        ("c3", DesiredState::Draining),
        ("c2", DesiredState::Listed),
    ]);
    for is_accepted in [false, false, true] {
        let mut attempted = Vec::new();
        let is_sent = published.publish(&next, |changes| {
            attempted = changes;
            is_accepted
        });
        assert_eq!((attempted, is_sent), (changes.clone(), is_accepted));
    }
    // Unchanged overrides are not published again.
    assert!(published.publish(&next, |changes| unreachable!("{changes:?}")));
    // Overrides that are withdrawn before they could be sent are never published.
    assert!(!published.publish(&first, |_| false));
    assert!(published.publish(&next, |changes| unreachable!("{changes:?}")));
}
