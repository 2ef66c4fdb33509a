//! Builds the operational datastore: the running configuration with the origin of each override, and the
//! dispatcher's state in the terms of the YANG model. Other modules don't use the model's names for that
//! state.

use crate::model_writer::ModelWriter;
use rockflow::{Effect, Readiness, Role};
use rockflow_dispatcher::{FillLevel, Phase, ServiceHandle, StatusReport};
use rockflow_endpoints::{apply_overrides, merge_readiness};
use rockflow_management::{timestamp, Commit, Management, SnapshotStorage, ValidationContext};
use rockflow_yang::{DataNode, DataTree, Path, PathStep, Scalar, Schema};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Path of the model's list of administrative overrides.
const OVERRIDE_LIST: [&str; 3] = ["router", "marks", "mark"];
/// Number of decimal places of an endpoint's health.
const HEALTH_DIGITS: u8 = 3;

/// The endpoint list, with control's overrides applied, against which a commit is validated.
pub(crate) fn validation_context(status: &StatusReport, now: Duration) -> ValidationContext {
    let listed = status.discovered.iter().map(|entry| (entry.name.clone(), entry.to_listed()));
    ValidationContext { endpoints: apply_overrides(listed.collect(), &status.control_overrides, now) }
}

/// The sources from which the dispatcher's state is read.
pub(crate) struct StateSource<'a> {
    pub(crate) dispatcher: &'a ServiceHandle,
    pub(crate) status: &'a StatusReport,
    /// The Unix time at which the program was started.
    pub(crate) started: Duration,
    pub(crate) now: Duration,
}

/// Builds the operational datastore: the running configuration with origins, and `/router/state`.
pub(crate) fn operational<S: SnapshotStorage>(
    management: &Management<S>,
    source: &StateSource<'_>,
) -> DataTree {
    let schema = management.schema();
    let mut fields = running_with_origins(management);
    let state = router_state(management, source);
    let Some(router) = schema.find(&["router"]) else { return fields };
    let Some(state_node) = schema.find(&["router", "state"]) else { return fields };
    let inner = fields.entry(router).or_insert_with(|| DataNode::Container(DataTree::new()));
    if let DataNode::Container(inner) = inner {
        inner.insert(state_node, DataNode::Container(state));
    }
    fields
}

/// The running configuration; each override also shows who set it, when, and in which commit.
fn running_with_origins<S: SnapshotStorage>(management: &Management<S>) -> DataTree {
    let schema = management.schema();
    let mut fields = (**management.running()).clone();
    let path = override_list_path(schema);
    let list = path[2].node;
    let Some(DataNode::Container(router)) = fields.get_mut(&path[0].node) else { return fields };
    let Some(DataNode::Container(overrides)) = router.get_mut(&path[1].node) else { return fields };
    let Some(DataNode::List(entries)) = overrides.get_mut(&list) else { return fields };
    for (keys, entry) in entries {
        let entry_path = Path(path[..2].to_vec()).child(list, keys.clone());
        if let Some(origin) = management.last_origin(&entry_path) {
            let mut writer = ModelWriter::below(schema, list);
            writer.text("author", &*origin.author);
            writer.leaf("made", date_time(origin.time));
            writer.number("version", origin.version);
            entry.extend(writer.into_fields());
        }
    }
    fields
}

fn override_list_path(schema: &Schema) -> Vec<PathStep> {
    let step = |length: usize| {
        let names = &OVERRIDE_LIST[..length];
        let node = schema.find(names).unwrap_or_else(|| panic!("the model has no node {names:?}"));
        PathStep { node, keys: Vec::new() }
    };
    (1..=OVERRIDE_LIST.len()).map(step).collect()
}

fn router_state<S: SnapshotStorage>(management: &Management<S>, source: &StateSource<'_>) -> DataTree {
    let StateSource { dispatcher, status, started, now } = *source;
    let mut state = ModelWriter::new(management.schema(), &["router", "state"]);
    state.text("name", &*dispatcher.name);
    state.text("software", env!("CARGO_PKG_VERSION"));
    state.text("phase", phase_name(dispatcher.phase()));
    state.number("up", millis(now.saturating_sub(started)));
    state.container("hosts", |hosts| write_endpoints(hosts, dispatcher, status, now));
    state.container("products", |products| write_classes(products, dispatcher, status));
    state.container("caps", |caps| write_limits(caps, dispatcher, status));
    state.container("board", |board| write_discovery(board, dispatcher, now));
    state.container("history", |history| write_history(history, management));
    state.into_fields()
}

fn write_endpoints(
    hosts: &mut ModelWriter<'_>,
    dispatcher: &ServiceHandle,
    status: &StatusReport,
    now: Duration,
) {
    // Uses the overrides that the endpoint list has applied; one that is only committed has no effect yet.
    let overrides = &status.operator_overrides;
    let entries: BTreeMap<&str, _> =
        status.discovered.iter().map(|entry| (entry.name.as_str(), entry)).collect();
    let host_statuses: BTreeMap<_, _> = status.host_statuses.iter().map(|host| (host.host, host)).collect();
    let names: BTreeSet<&str> = entries.keys().copied().chain(overrides.keys().map(String::as_str)).collect();
    hosts.list("host", names, |host, name| {
        let (entry, operator_override) = (entries.get(name), overrides.get(name));
        host.text("name", name);
        let marked =
            operator_override.filter(|entry| entry.is_active(now)).map(|entry| readiness(entry.readiness));
        host.optional("marked", marked);
        let Some(entry) = entry else { return };
        let listing = &entry.entry;
        host.text("address", entry.address.to_string());
        host.text("role", role_name(listing.role));
        let location = dispatcher.locations.get(usize::from(listing.location.0));
        host.optional("location", location.map(|name| Scalar::text(name.as_str())));
        host.number("cell", u64::from(listing.cell.0));
        host.leaf("listed", readiness(listing.readiness));
        let control = status.control_overrides.get(name);
        if let Some(effective) = merge_readiness(Some(listing.readiness), operator_override, control, now) {
            host.leaf("effective", readiness(effective.readiness));
            host.text("says", effective.source.as_str());
        }
        let Some(host_status) = host_statuses.get(&listing.host) else { return };
        host.number("legs-out", host_status.in_flight as u64);
        host.leaf("avoided", Scalar::Bool(host_status.ejected));
        host.leaf("health", health(host_status.health));
        let warming_until = host_status.warming_until.filter(|until| *until > now);
        host.optional("cold-until", warming_until.map(date_time));
    });
}

fn write_classes(products: &mut ModelWriter<'_>, dispatcher: &ServiceHandle, status: &StatusReport) {
    products.list("product", dispatcher.classes.iter().enumerate(), |writer, (index, (name, class))| {
        writer.text("name", name);
        writer.text("effect", effect_name(&class.effect));
        writer.number("outer-limit", millis(class.deadline));
        writer.number("fresh", millis(class.fresh_lifetime));
        writer.number("grace", millis(class.grace));
        let outcomes = status.outcomes.get(index).copied().unwrap_or_default();
        writer.number("succeeded", outcomes.succeeded);
        writer.number("dismissed", outcomes.rejected);
        writer.number("terminated", outcomes.failed);
        writer.number("left", outcomes.disconnected);
    });
}

fn write_limits(caps: &mut ModelWriter<'_>, dispatcher: &ServiceHandle, status: &StatusReport) {
    let open_requests =
        FillLevel { name: "open-queries", cap: dispatcher.caps.clients, fill: status.open_requests };
    let levels = dispatcher.fill_levels().into_iter().chain([open_requests]);
    caps.list("cap", levels, |writer, level| {
        writer.text("name", level.name);
        writer.number("limit", level.cap as u64);
        writer.number("held", level.fill as u64);
    });
}

fn write_discovery(board: &mut ModelWriter<'_>, dispatcher: &ServiceHandle, now: Duration) {
    let discovery = dispatcher.discovery_status();
    board.text("address", discovery.address.to_string());
    board.number("last", discovery.last_revision);
    let age = discovery.last_received.map(|received| millis(now.saturating_sub(received)));
    board.optional("heard", age.map(Scalar::Unsigned));
}

fn write_history<S: SnapshotStorage>(history: &mut ModelWriter<'_>, management: &Management<S>) {
    let schema = management.schema();
    history.number("version", management.version());
    history.container("pending", |writer| {
        if let Some(pending) = management.pending_commit() {
            writer.text("author", &*pending.author.user);
            writer.optional("session", pending.session.map(|session| Scalar::Unsigned(session.0.into())));
            writer.leaf("due", date_time(pending.deadline));
        }
    });
    history.list("commit", management.history(), |writer, commit| write_commit(writer, schema, commit));
}

fn write_commit(writer: &mut ModelWriter<'_>, schema: &Schema, commit: &Commit) {
    writer.number("version", commit.version);
    writer.text("author", &*commit.operator.user);
    writer.text("protocol", commit.operator.protocol.name());
    writer.text("source", &*commit.operator.source);
    writer.leaf("time", date_time(commit.time));
    if !commit.comment.is_empty() {
        writer.text("comment", &*commit.comment);
    }
    let changes = commit.changes.iter().map(|change| Scalar::Text(change.to_text(schema)));
    writer.leaf_list("change", changes.collect());
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Draining => "leaving",
        Phase::Closing => "finishing",
        Phase::Stopped => "over",
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Cache => "cache",
        Role::Parent => "parent",
        Role::Origin => "origin",
    }
}

fn effect_name(effect: &Effect) -> &'static str {
    match effect {
        Effect::Idempotent => "redoable",
        Effect::IdempotencyKey { .. } => "labelled",
        Effect::AtMostOnce => "irreversible",
    }
}

fn readiness(readiness: Readiness) -> Scalar {
    Scalar::text(match readiness {
        Readiness::Ready => "ready",
        Readiness::Draining => "draining",
        Readiness::Gone => "gone",
    })
}

/// Converts a health value to a decimal of the model, clamped to the range from 0 to 1.
fn health(health: f64) -> Scalar {
    let scale = 10_f64.powi(i32::from(HEALTH_DIGITS));
    Scalar::Decimal((health.clamp(0.0, 1.0) * scale).round() as i64, HEALTH_DIGITS)
}

fn date_time(unix_time: Duration) -> Scalar {
    Scalar::Text(timestamp::format(unix_time))
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}
