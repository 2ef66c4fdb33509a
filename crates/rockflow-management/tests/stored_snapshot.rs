//! Guards the stored format with a snapshot file that an earlier version of the program wrote: every value in it must
//! be read back, and the same commits must write the same bytes.
//!
//! `fixtures/config.00000000000000000009` was written by the version of commit 6b9cfcc, and must never be changed.

#[allow(dead_code)] // Each test file uses a part of it.
mod common;

use common::{open_store, DiskManagement};
use rockflow_management::*;
use rockflow_store::faulty::FaultyDisk;
use rockflow_store::{Opened, Snapshot};
use rockflow_yang::{json, DataNode, Edit, EditOperation, NodeScope, Path, Scalar, Schema};
use serde_json::{json, Value};
use std::sync::Arc;
use std::time::Duration;

const FIXTURE: &[u8] = include_bytes!("fixtures/config.00000000000000000009");
const FIXTURE_NAME: &str = "config.00000000000000000009";
const FIXTURE_GENERATION: u64 = 9;
/// The length of the header, which precedes the payload.
const HEADER_BYTES: usize = 36;
const START: Duration = Duration::from_millis(1_780_000_000_123);

fn seconds_after_start(seconds: u64) -> Duration {
    START + Duration::from_secs(seconds)
}

fn operator(user: &str, protocol: Protocol, source: &str) -> Operator {
    Operator { user: user.into(), protocol, source: source.into() }
}

fn merge(schema: &Schema, tree: &Value) -> Edit {
    let fields = json::read(schema, None, tree, NodeScope::ConfigOnly).unwrap();
    Edit { path: Path::default(), op: EditOperation::Merge, value: Some(DataNode::Container(fields)) }
}

fn override_edit(schema: &Schema, host: &str, leaves: &Value) -> Edit {
    let path = Path::parse(schema, &format!("/router/marks/mark[host='{host}']")).unwrap();
    let fields = json::read(schema, path.node(), leaves, NodeScope::ConfigOnly).unwrap();
    Edit { path, op: EditOperation::Merge, value: Some(DataNode::Container(fields)) }
}

fn access_rules() -> Value {
    json!({"rockflow-router:router": {
        "rockflow-access:access": {
            "group": [{"name": "operators", "user": ["ana", "bert"]}],
            "rule": [{"number": 1, "group": ["operators"], "path": "/router/marks", "action": "permit"}],
        },
        "logging": {"level": "info"},
    }})
}

/// Repeats the requests that the fixture was written with: commits over three protocols, an edit of startup, a
/// confirmed commit that times out, and one that is still pending.
fn repeat_fixture_requests(schema: &Arc<Schema>) -> DiskManagement {
    let store = open_store(FaultyDisk::default()).store;
    let options = ManagementOptions {
        schema: schema.clone(),
        owner: Some("root".into()),
        startup: StartupMode::Separate,
    };
    let mut datastores = Management::restore(START, options, store, None).unwrap().management;
    let context = ValidationContext::default();
    let root =
        datastores.open_session(START, operator("root", Protocol::NetconfTls, "192.0.2.1:5000")).unwrap();
    let ana =
        datastores.open_session(START, operator("ana", Protocol::NetconfSsh, "192.0.2.2:5001")).unwrap();
    let bert =
        datastores.open_session(START, operator("bert", Protocol::Gnmi, "[2001:db8::3]:5002")).unwrap();
    let plain = CommitOptions::default();

    let rules = [merge(schema, &access_rules())];
    datastores
        .edit_config(root, Datastore::Candidate, &rules, ErrorOption::Rollback, EditMode::Apply)
        .unwrap();
    datastores.commit(seconds_after_start(1), root, &plain, "access for operators", &context).unwrap();
    let startup = [override_edit(schema, "c0", &json!({"state": "gone", "reason": "not \"built\" yet"}))];
    datastores
        .edit_config(root, Datastore::Startup, &startup, ErrorOption::Rollback, EditMode::Apply)
        .unwrap();
    let overrides = [
        override_edit(schema, "c1", &json!({"state": "draining", "reason": "disk \u{e4}", "force": true})),
        override_edit(schema, "c2", &json!({"expires": "2026-06-01T00:00:00Z"})),
    ];
    datastores
        .edit_config(ana, Datastore::Candidate, &overrides, ErrorOption::Rollback, EditMode::Apply)
        .unwrap();
    datastores.commit(seconds_after_start(2), ana, &plain, "two hosts", &context).unwrap();
    let set = [override_edit(schema, "c1", &json!({"reason": "disk swapped"}))];
    datastores.set(seconds_after_start(3), bert, &set, None, "", &context).unwrap();
    let gone = [("state", Scalar::text("gone"))];
    datastores.set_override(seconds_after_start(4), root, "drain", "c3", &gone, &context).unwrap();
    datastores.set_override(seconds_after_start(5), root, "undrain", "c2", &[], &context).unwrap();
    // This confirmed commit times out, so the dispatcher itself makes the commit that reverts it.
    let confirmed = CommitOptions {
        confirm_timeout: Some(Duration::from_secs(5)),
        persist: Some("p".into()),
        persist_id: None,
    };
    let fourth = [override_edit(schema, "c4", &json!({"state": "draining"}))];
    datastores
        .edit_config(ana, Datastore::Candidate, &fourth, ErrorOption::Rollback, EditMode::Apply)
        .unwrap();
    datastores.commit(seconds_after_start(6), ana, &confirmed, "", &context).unwrap();
    datastores.on_tick(seconds_after_start(11));
    // This confirmed commit is still pending when the last snapshot is written.
    let fifth = [override_edit(schema, "c5", &json!({"state": "gone"}))];
    datastores
        .edit_config(ana, Datastore::Candidate, &fifth, ErrorOption::Rollback, EditMode::Apply)
        .unwrap();
    let confirmed =
        CommitOptions { confirm_timeout: Some(Duration::from_secs(60)), ..CommitOptions::default() };
    datastores.commit(seconds_after_start(12), ana, &confirmed, "on trial", &context).unwrap();
    datastores
}

fn read_fixture() -> Snapshot {
    let mut disk = FaultyDisk::default();
    disk.insert_synced(FIXTURE_NAME, FIXTURE);
    let Opened { snapshot, unreadable, .. } = open_store(disk);
    assert!(unreadable.is_empty(), "{unreadable:?}");
    snapshot.unwrap()
}

fn read_record(schema: &Schema) -> record::Record {
    let (record, warnings) = record::Record::read(schema, &read_fixture().payload).unwrap();
    assert_eq!(warnings, Vec::<RestoreWarning>::new());
    record
}

/// A commit as a line `version user protocol source milliseconds "comment"`, followed by a line for each change.
fn commit_lines(schema: &Schema, commit: &Commit) -> Vec<String> {
    let operator = &commit.operator;
    let first_line = format!(
        "{} {} {} {} {} {:?}",
        commit.version,
        operator.user,
        operator.protocol.name(),
        operator.source,
        commit.time.as_millis(),
        commit.comment
    );
    let value = |value: &Option<Scalar>| value.as_ref().map_or("-".to_string(), Scalar::to_string);
    let change = |change: &rockflow_yang::Change| {
        format!("  {} {} -> {}", change.path.to_text(schema), value(&change.before), value(&change.after))
    };
    std::iter::once(first_line).chain(commit.changes.iter().map(change)).collect()
}

const HISTORY: &str = r#"1 root netconf-tls 192.0.2.1:5000 1780000001123 "access for operators"
  /rockflow-router:router/logging/level - -> info
  /rockflow-router:router/rockflow-access:access/group[name='operators']/name - -> operators
  /rockflow-router:router/rockflow-access:access/group[name='operators']/user[.='ana'] - -> ana
  /rockflow-router:router/rockflow-access:access/group[name='operators']/user[.='bert'] - -> bert
  /rockflow-router:router/rockflow-access:access/rule[number='1']/number - -> 1
  /rockflow-router:router/rockflow-access:access/rule[number='1']/group[.='operators'] - -> operators
  /rockflow-router:router/rockflow-access:access/rule[number='1']/path - -> /router/marks
  /rockflow-router:router/rockflow-access:access/rule[number='1']/action - -> permit
2 ana netconf-ssh 192.0.2.2:5001 1780000002123 "two hosts"
  /rockflow-router:router/marks/mark[host='c1']/host - -> c1
  /rockflow-router:router/marks/mark[host='c1']/state - -> draining
  /rockflow-router:router/marks/mark[host='c1']/reason - -> disk ä
  /rockflow-router:router/marks/mark[host='c1']/force - -> true
  /rockflow-router:router/marks/mark[host='c2']/host - -> c2
  /rockflow-router:router/marks/mark[host='c2']/expires - -> 2026-06-01T00:00:00Z
3 bert gnmi [2001:db8::3]:5002 1780000003123 ""
  /rockflow-router:router/marks/mark[host='c1']/reason disk ä -> disk swapped
4 root netconf-tls 192.0.2.1:5000 1780000004123 "drain c3"
  /rockflow-router:router/marks/mark[host='c3']/host - -> c3
  /rockflow-router:router/marks/mark[host='c3']/state - -> gone
5 root netconf-tls 192.0.2.1:5000 1780000005123 "undrain c2"
  /rockflow-router:router/marks/mark[host='c2']/host c2 -> -
  /rockflow-router:router/marks/mark[host='c2']/expires 2026-06-01T00:00:00Z -> -
6 ana netconf-ssh 192.0.2.2:5001 1780000006123 ""
  /rockflow-router:router/marks/mark[host='c4']/host - -> c4
  /rockflow-router:router/marks/mark[host='c4']/state - -> draining
7 rockflow system - 1780000011123 "commit 6 of ana was not confirmed"
  /rockflow-router:router/marks/mark[host='c4']/host c4 -> -
  /rockflow-router:router/marks/mark[host='c4']/state draining -> -"#;

const ORIGINS: &str = "/rockflow-router:router/marks/mark[host='c1']/host ana 2 1780000002123
/rockflow-router:router/marks/mark[host='c1']/state ana 2 1780000002123
/rockflow-router:router/marks/mark[host='c1']/reason bert 3 1780000003123
/rockflow-router:router/marks/mark[host='c1']/force ana 2 1780000002123
/rockflow-router:router/marks/mark[host='c3']/host root 4 1780000004123
/rockflow-router:router/marks/mark[host='c3']/state root 4 1780000004123
/rockflow-router:router/logging/level root 1 1780000001123
/rockflow-router:router/rockflow-access:access/group[name='operators']/name root 1 1780000001123
/rockflow-router:router/rockflow-access:access/group[name='operators']/user[.='ana'] root 1 1780000001123
/rockflow-router:router/rockflow-access:access/group[name='operators']/user[.='bert'] root 1 1780000001123
/rockflow-router:router/rockflow-access:access/rule[number='1']/number root 1 1780000001123
/rockflow-router:router/rockflow-access:access/rule[number='1']/group[.='operators'] root 1 1780000001123
/rockflow-router:router/rockflow-access:access/rule[number='1']/path root 1 1780000001123
/rockflow-router:router/rockflow-access:access/rule[number='1']/action root 1 1780000001123";

#[test]
fn snapshot_header_has_the_expected_bytes() {
    let header: [u8; HEADER_BYTES] = [
        b'r', b'o', b'c', b'k', b'f', b'l', b'o', b'w', // magic
        1, 0, // format version of the file
        1, 0, // format version of the payload
        9, 0, 0, 0, 0, 0, 0, 0, // generation
        0xae, 0x11, 0, 0, 0, 0, 0, 0, // length of the payload in bytes
        4, 91, 111, 54, // CRC-32 of the payload
        224, 142, 110, 216, // CRC-32 of the preceding header bytes
    ];
    assert_eq!(FIXTURE[..HEADER_BYTES], header);
    let snapshot = read_fixture();
    assert_eq!((snapshot.generation, snapshot.payload_format), (FIXTURE_GENERATION, 1));
    assert_eq!(snapshot.payload, FIXTURE[HEADER_BYTES..]);
}

#[test]
fn reads_stored_snapshot_value_by_value() {
    let schema = Schema::published();
    let record = read_record(&schema);
    assert_eq!((record.version, record.last_used_version), (7, 8));
    let pending = record.pending.as_ref().unwrap();
    assert_eq!((pending.version, pending.author.as_str()), (8, "ana"));
    let mut running = access_rules();
    running["rockflow-router:router"]["marks"] = json!({"mark": [
        {"host": "c1", "state": "draining", "reason": "disk swapped", "force": true},
        {"host": "c3", "state": "gone"},
    ]});
    assert_eq!(json::write(&schema, &record.running), running);
    let startup = json!({"rockflow-router:router": {"marks": {"mark": [
        {"host": "c0", "state": "gone", "reason": "not \"built\" yet"},
    ]}}});
    assert_eq!(json::write(&schema, &record.startup), startup);
    let history: Vec<_> = record.history.iter().flat_map(|commit| commit_lines(&schema, commit)).collect();
    assert_eq!(history.join("\n"), HISTORY);
    let origin = |(path, origin): (&Path, &Origin)| {
        format!("{} {} {} {}", path.to_text(&schema), origin.author, origin.version, origin.time.as_millis())
    };
    let origins: Vec<_> = record.origins.iter().map(origin).collect();
    assert_eq!(origins.join("\n"), ORIGINS);
}

#[test]
fn writes_same_bytes_for_a_record_that_was_read() {
    let schema = Schema::published();
    let payload = read_record(&schema).write(&schema);
    assert_eq!(
        String::from_utf8(payload.clone()).unwrap(),
        std::str::from_utf8(&FIXTURE[HEADER_BYTES..]).unwrap()
    );
    // With generation 8 on the disk the next save writes generation 9, so the whole file can be compared.
    let mut disk = FaultyDisk::default();
    disk.insert_synced("config.00000000000000000008", b"");
    let mut store = open_store(disk).store;
    assert_eq!(store.save(&payload).unwrap(), FIXTURE_GENERATION);
    assert_eq!(store.disk().bytes(FIXTURE_NAME), Some(FIXTURE));
}

#[test]
fn writes_same_bytes_for_the_same_commits() {
    let datastores = repeat_fixture_requests(&Arc::new(Schema::published()));
    assert_eq!(datastores.storage().disk().bytes(FIXTURE_NAME), Some(FIXTURE));
}

fn restart(schema: &Arc<Schema>, startup: StartupMode) -> Restored<VolatileStorage> {
    let options = ManagementOptions { schema: schema.clone(), owner: Some("root".into()), startup };
    let payload = read_fixture().payload;
    Management::restore(seconds_after_start(20), options, VolatileStorage, Some(&payload)).unwrap()
}

#[test]
fn restart_from_stored_snapshot_reverts_unconfirmed_commit() {
    let schema = Arc::new(Schema::published());
    let Restored { management, warnings } = restart(&schema, StartupMode::FollowsRunning);
    let comment = "commit 8 of ana was not confirmed before the restart, and is undone";
    assert_eq!(warnings.iter().map(ToString::to_string).collect::<Vec<_>>(), [comment]);
    assert_eq!(management.version(), 9);
    assert_eq!(management.administrative_overrides().into_keys().collect::<Vec<_>>(), ["c1", "c3"]);
    let last = management.history().next_back().unwrap();
    assert_eq!(commit_lines(&schema, last), [format!("9 rockflow system - 1780000020123 {comment:?}")]);
}

#[test]
fn restart_with_separate_startup_begins_with_the_stored_startup() {
    let Restored { management, .. } = restart(&Arc::new(Schema::published()), StartupMode::Separate);
    assert_eq!(management.administrative_overrides().into_keys().collect::<Vec<_>>(), ["c0"]);
    assert_eq!((management.version(), management.history().count()), (10, 0));
}
