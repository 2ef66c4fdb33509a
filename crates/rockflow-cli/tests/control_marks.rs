//! Marks that found no place at the machine are published with the next try.
#![cfg(feature = "dissemination")]

#[path = "../src/control/marks.rs"]
mod marks;

use marks::{Marks, PublishedMarks};
use rockflow_dissemination::DesiredState;
use rockflow_operator_config::AdministrativeState;

fn marks(pairs: &[(&str, AdministrativeState)]) -> Marks {
    pairs.iter().map(|(host, mark)| (host.to_string(), *mark)).collect()
}

fn wants(pairs: &[(&str, DesiredState)]) -> Vec<(String, DesiredState)> {
    pairs.iter().map(|(host, wanted)| (host.to_string(), *wanted)).collect()
}

#[test]
fn what_found_no_place_is_to_be_published_still() {
    let mut published = PublishedMarks::default();
    let first = marks(&[("c1", AdministrativeState::Draining), ("c2", AdministrativeState::Gone)]);
    assert!(published.publish(&first, |changes| {
        assert_eq!(changes, wants(&[("c1", DesiredState::Draining), ("c2", DesiredState::Gone)]));
        true
    }));
    let next = marks(&[("c1", AdministrativeState::Gone), ("c3", AdministrativeState::Draining)]);
    let changes =
        wants(&[("c1", DesiredState::Gone), ("c3", DesiredState::Draining), ("c2", DesiredState::Listed)]);
    for place in [false, false, true] {
        let mut said = Vec::new();
        let went = published.publish(&next, |changes| {
            said = changes;
            place
        });
        assert_eq!((said, went), (changes.clone(), place));
    }
    // Nothing is said of what stays.
    assert!(published.publish(&next, |changes| unreachable!("{changes:?}")));
    // What is taken back before it found a place is not published at all.
    assert!(!published.publish(&first, |_| false));
    assert!(published.publish(&next, |changes| unreachable!("{changes:?}")));
}
