//! The dispatcher's state as the model has it, from a survey and what the datastores tell of themselves.

use rockflow::{Effect, Readiness, Role};
use rockflow_dispatcher::StatusReport;
use rockflow_dispatcher::{FillLevel, Phase, ServiceHandle};
use rockflow_endpoints::{apply_overrides, merge_readiness};
use rockflow_management::{timestamp, Durable, Management, ValidationContext};
use rockflow_yang::{DataNode, DataTree, NodeId, Path, PathStep, Scalar, Schema};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Puts values under the names of the model, which is asked for each: a leaf that it lacks is a fault of the
/// build, found by the tests.
pub struct Writer<'a> {
    schema: &'a Schema,
    at: NodeId,
    pub fields: DataTree,
}

impl<'a> Writer<'a> {
    pub fn new(schema: &'a Schema, names: &[&str]) -> Writer<'a> {
        let at = schema.find(names).unwrap_or_else(|| panic!("the model lacks {names:?}"));
        Writer { schema, at, fields: DataTree::new() }
    }

    fn below(&self, name: &str) -> NodeId {
        let child = self.schema.child(Some(self.at), None, name);
        child.unwrap_or_else(|| panic!("{} lacks {name}", self.schema.schema_path(self.at)))
    }

    pub fn leaf(&mut self, name: &str, value: Scalar) {
        self.fields.insert(self.below(name), DataNode::Leaf(value));
    }

    pub fn text(&mut self, name: &str, value: impl Into<String>) {
        self.leaf(name, Scalar::Text(value.into()));
    }

    pub fn number(&mut self, name: &str, value: u64) {
        self.leaf(name, Scalar::Unsigned(value));
    }

    pub fn maybe(&mut self, name: &str, value: Option<Scalar>) {
        if let Some(value) = value {
            self.leaf(name, value);
        }
    }

    pub fn values(&mut self, name: &str, values: BTreeSet<Scalar>) {
        if !values.is_empty() {
            self.fields.insert(self.below(name), DataNode::LeafList(values));
        }
    }

    pub fn container(&mut self, name: &str, fill: impl FnOnce(&mut Writer)) {
        let mut inner = Writer { schema: self.schema, at: self.below(name), fields: DataTree::new() };
        fill(&mut inner);
        self.fields.insert(inner.at, DataNode::Container(inner.fields));
    }

    /// A list's entries; each sets its keys.
    pub fn list<T>(
        &mut self,
        name: &str,
        entries: impl IntoIterator<Item = T>,
        mut fill: impl FnMut(&mut Writer, T),
    ) {
        let at = self.below(name);
        let mut all = BTreeMap::new();
        for entry in entries {
            let mut inner = Writer { schema: self.schema, at, fields: DataTree::new() };
            fill(&mut inner, entry);
            let key = |key: &NodeId| inner.fields.get(key).and_then(DataNode::scalar).cloned();
            let keys: Option<Vec<_>> = self.schema.keys(at).iter().map(key).collect();
            all.insert(keys.unwrap_or_default(), inner.fields);
        }
        if !all.is_empty() {
            self.fields.insert(at, DataNode::List(all));
        }
    }
}

fn word(readiness: Readiness) -> Scalar {
    Scalar::text(match readiness {
        Readiness::Ready => "ready",
        Readiness::Draining => "draining",
        Readiness::Gone => "gone",
    })
}

fn moment_of(at: Duration) -> Scalar {
    Scalar::Text(timestamp::format(at))
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

/// The hosts as listed, for the checks of a commit.
pub fn surroundings(survey: &StatusReport, now: Duration) -> ValidationContext {
    let listed = survey.discovered.iter().map(|entry| (entry.name.clone(), entry.to_listed()));
    ValidationContext { hosts: apply_overrides(listed.collect(), &survey.control_overrides, now) }
}

/// `/router/state`.
pub fn state<S: Durable>(
    management: &Management<S>,
    link: &ServiceHandle,
    survey: &StatusReport,
    started: Duration,
    now: Duration,
) -> DataTree {
    let schema = management.schema();
    let mut top = Writer::new(schema, &["router", "state"]);
    top.text("name", &*link.name);
    top.text("software", env!("CARGO_PKG_VERSION"));
    let phase = match link.phase() {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Draining => "leaving",
        Phase::Closing => "finishing",
        Phase::Stopped => "over",
    };
    top.text("phase", phase);
    top.number("up", millis(now.saturating_sub(started)));
    top.container("hosts", |hosts| hosts_of(hosts, link, survey, now));
    top.container("products", |classes| {
        classes.list("product", link.classes.iter().enumerate(), |at, (place, (name, told))| {
            at.text("name", name);
            at.text("effect", effect(&told.effect));
            at.number("outer-limit", millis(told.deadline));
            at.number("fresh", millis(told.fresh_lifetime));
            at.number("grace", millis(told.grace));
            let ended = survey.outcomes.get(place).copied().unwrap_or_default();
            at.number("succeeded", ended.succeeded);
            at.number("dismissed", ended.rejected);
            at.number("terminated", ended.failed);
            at.number("left", ended.disconnected);
        });
    });
    top.container("caps", |caps| {
        let own = [FillLevel { name: "open-queries", cap: link.caps.clients, fill: survey.open_requests }];
        caps.list("cap", link.fill_levels().into_iter().chain(own), |at, level| {
            at.text("name", level.name);
            at.number("limit", level.cap as u64);
            at.number("held", level.fill as u64);
        });
    });
    let discovery = link.discovery_status();
    top.container("board", |board| {
        board.text("address", discovery.address.to_string());
        board.number("last", discovery.last_revision);
        let age = discovery.last_received.map(|heard| Scalar::Unsigned(millis(now.saturating_sub(heard))));
        board.maybe("heard", age);
    });
    top.container("history", |history| history_of(history, management));
    top.fields
}

fn effect(effect: &Effect) -> &'static str {
    match effect {
        Effect::Idempotent => "redoable",
        Effect::IdempotencyKey { .. } => "labelled",
        Effect::AtMostOnce => "irreversible",
    }
}

fn hosts_of(hosts: &mut Writer, link: &ServiceHandle, survey: &StatusReport, now: Duration) {
    // As the list has them: what is committed and not told yet does not hold yet.
    let marks = &survey.operator_overrides;
    let told: BTreeMap<&str, _> =
        survey.discovered.iter().map(|entry| (entry.name.as_str(), entry)).collect();
    let views: BTreeMap<_, _> = survey.host_statuses.iter().map(|view| (view.host, view)).collect();
    let names: BTreeSet<&str> = told.keys().copied().chain(marks.keys().map(String::as_str)).collect();
    hosts.list("host", names, |at, name| {
        let (entry, mark) = (told.get(name), marks.get(name));
        at.text("name", name);
        at.maybe("marked", mark.filter(|mark| mark.is_active(now)).map(|mark| word(mark.readiness)));
        let Some(entry) = entry else { return };
        let listing = &entry.entry;
        at.text("address", entry.address.to_string());
        at.text(
            "role",
            match listing.role {
                Role::Cache => "cache",
                Role::Parent => "parent",
                Role::Origin => "origin",
            },
        );
        let location = link.locations.get(usize::from(listing.location.0));
        at.maybe("location", location.map(|name| Scalar::text(name.as_str())));
        at.number("cell", u64::from(listing.cell.0));
        at.leaf("listed", word(listing.readiness));
        let fleet = survey.control_overrides.get(name);
        if let Some(effective) = merge_readiness(Some(listing.readiness), mark, fleet, now) {
            at.leaf("effective", word(effective.readiness));
            at.text("says", effective.source.as_str());
        }
        let Some(view) = views.get(&listing.host) else { return };
        at.number("legs-out", view.in_flight as u64);
        at.leaf("avoided", Scalar::Bool(view.ejected));
        at.leaf("health", Scalar::Decimal((view.health.clamp(0.0, 1.0) * 1000.0).round() as i64, 3));
        at.maybe("cold-until", view.warming_until.filter(|until| *until > now).map(moment_of));
    });
}

fn history_of<S: Durable>(history: &mut Writer, management: &Management<S>) {
    let schema = management.schema();
    history.number("version", management.version());
    history.container("pending", |at| {
        if let Some((operator, session, due)) = management.pending() {
            at.text("author", &*operator.user);
            at.maybe("session", session.map(|session| Scalar::Unsigned(session.0.into())));
            at.leaf("due", moment_of(due));
        }
    });
    history.list("commit", management.history(), |at, commit| {
        at.number("version", commit.version);
        at.text("author", &*commit.operator.user);
        at.text("protocol", commit.operator.protocol.name());
        at.text("source", &*commit.operator.source);
        at.leaf("time", moment_of(commit.time));
        if !commit.comment.is_empty() {
            at.text("comment", &*commit.comment);
        }
        at.values(
            "change",
            commit.changes.iter().map(|change| Scalar::Text(change.to_text(schema))).collect(),
        );
    });
}

/// Running, with what is only known of it: who made each mark, when and with which commit.
pub fn annotated<S: Durable>(management: &Management<S>) -> DataTree {
    let schema = management.schema();
    let mut fields = (**management.running()).clone();
    let names = ["router", "marks", "mark"];
    let steps =
        (1..=3).map(|n| schema.find(&names[..n]).unwrap_or_else(|| panic!("the model lacks {names:?}")));
    let steps: Vec<PathStep> = steps.map(|node| PathStep { node, keys: Vec::new() }).collect();
    let list = steps[2].node;
    let router = fields.get_mut(&steps[0].node);
    let Some(DataNode::Container(router)) = router else { return fields };
    let Some(DataNode::Container(marks)) = router.get_mut(&steps[1].node) else { return fields };
    let Some(DataNode::List(entries)) = marks.get_mut(&list) else { return fields };
    for (keys, entry) in entries {
        let path = Path(steps[..2].to_vec()).child(list, keys.clone());
        if let Some(origin) = management.last_origin(&path) {
            let mut at = Writer { schema, at: list, fields: DataTree::new() };
            at.text("author", &*origin.author);
            at.leaf("made", moment_of(origin.time));
            at.number("version", origin.version);
            entry.extend(at.fields);
        }
    }
    fields
}

/// Everything: running with its notes, and state.
pub fn operational<S: Durable>(
    management: &Management<S>,
    link: &ServiceHandle,
    survey: &StatusReport,
    started: Duration,
    now: Duration,
) -> DataTree {
    let schema = management.schema();
    let mut fields = annotated(management);
    let state = state(management, link, survey, started, now);
    let (router, below) = (schema.find(&["router"]), schema.find(&["router", "state"]));
    let (Some(router), Some(below)) = (router, below) else { return fields };
    let inner = fields.entry(router).or_insert_with(|| DataNode::Container(DataTree::new()));
    if let DataNode::Container(inner) = inner {
        inner.insert(below, DataNode::Container(state));
    }
    fields
}
