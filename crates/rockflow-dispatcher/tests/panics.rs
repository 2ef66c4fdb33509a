//! Callers that wait for the decisions are notified also where these panic over it, and then only once they go by it.

mod common;

use std::fmt::{Debug, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

/// How many times more a panic is forced as changes are applied to the decisions.
static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Reads the log, and panics over a line of the decisions' actor.
struct PanickingSubscriber;

#[derive(Default)]
struct Text(String);

impl Visit for Text {
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
        let mut text = Text::default();
        event.record(&mut text);
        if text.0.contains("applying changes to the decisions") {
            let left = PANICS.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
            assert!(left.is_err(), "forced: {}", text.0);
        }
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

#[test]
fn callers_are_notified_across_a_panic() {
    tracing::subscriber::set_global_default(PanickingSubscriber).unwrap();
    PANICS.store(4, Ordering::Relaxed);
    common::run_scenario(include_str!("scenarios/panics-applying-changes.txt"));
    assert_eq!(PANICS.load(Ordering::Relaxed), 0);
}
