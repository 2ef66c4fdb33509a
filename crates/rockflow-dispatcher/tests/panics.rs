//! Callers that wait for a change are notified even if the decision logic panics over it, and only once the restarted
//! decision logic has applied the change.

mod common;

use std::fmt::{Debug, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

/// How many more panics to force when changes are applied to the decision logic.
static REMAINING_PANICS: AtomicUsize = AtomicUsize::new(0);

/// Panics inside the decision actor when it logs that changes are being applied.
struct PanickingSubscriber;

/// The formatted fields of a log event.
#[derive(Default)]
struct EventText(String);

impl Visit for EventText {
    fn record_debug(&mut self, _: &Field, value: &dyn Debug) {
        write!(self.0, "{value:?} ").unwrap();
    }
}

impl Subscriber for PanickingSubscriber {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == "rockflow_dispatcher::decision"
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event<'_>) {
        let mut text = EventText::default();
        event.record(&mut text);
        if text.0.contains("applying changes to the decisions") {
            let forced_panic =
                REMAINING_PANICS
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| remaining.checked_sub(1));
            assert!(forced_panic.is_err(), "forced: {}", text.0);
        }
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

#[test]
fn callers_are_notified_after_a_panic() {
    tracing::subscriber::set_global_default(PanickingSubscriber).unwrap();
    REMAINING_PANICS.store(4, Ordering::Relaxed);
    common::run_scenario(include_str!("scenarios/panics-applying-changes.txt"));
    assert_eq!(REMAINING_PANICS.load(Ordering::Relaxed), 0);
}
