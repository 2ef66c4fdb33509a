//! Crashes at every disk operation of every kind of commit. A restart must restore either the old or the new
//! configuration, complete, and no acknowledged commit may be lost.

#[allow(dead_code)] // Each test file uses a part of it.
mod common;

use common::{restore, DiskManagement};
use rockflow_management::*;
use rockflow_store::faulty::{FaultyDisk, UnsyncedBytes};
use rockflow_yang::{json, NodeScope, Scalar, Schema};
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1_780_000_000);

fn open(schema: &Arc<Schema>, disk: FaultyDisk) -> DiskManagement {
    restore(schema, disk, "root", NOW)
}

fn open_session(management: &mut DiskManagement) -> SessionId {
    let operator = Operator { user: "root".into(), protocol: Protocol::Gnmi, source: "-".into() };
    management.open_session(NOW, operator).unwrap()
}

fn drain(management: &mut DiskManagement, id: SessionId, host: &str) -> Result<u64, ManagementError> {
    let leaves = [("state", Scalar::text("draining")), ("reason", Scalar::text("r".repeat(50)))];
    management.set_override(NOW, id, "drain", host, &leaves, &ValidationContext::default())
}

fn add_override_to_candidate(management: &mut DiskManagement, id: SessionId, schema: &Schema, host: &str) {
    let value = serde_json::json!({"rockflow-router:router": {"marks": {"mark": [{"host": host}]}}});
    let fields = json::read(schema, None, &value, NodeScope::ConfigOnly).unwrap();
    let edit = rockflow_yang::Edit {
        path: Default::default(),
        op: rockflow_yang::EditOperation::Merge,
        value: Some(rockflow_yang::DataNode::Container(fields)),
    };
    management
        .edit_config(id, Datastore::Candidate, &[edit], ErrorOption::Rollback, EditMode::Apply)
        .unwrap();
}

fn commit(
    management: &mut DiskManagement,
    id: SessionId,
    confirm_timeout: Option<u64>,
) -> Result<u64, ManagementError> {
    let confirm = CommitOptions {
        confirm_timeout: confirm_timeout.map(Duration::from_secs),
        ..CommitOptions::default()
    };
    management.commit(NOW, id, &confirm, "", &ValidationContext::default())
}

/// The hosts that have an override in running.
fn overridden_hosts(management: &DiskManagement) -> Vec<String> {
    management.administrative_overrides().into_keys().collect()
}

/// A request that the test makes before the crash.
#[derive(Clone, Copy, Debug)]
enum Request {
    Drain(&'static str),
    /// A confirmed commit; a restart reverts it although it was acknowledged.
    CommitUnconfirmed(&'static str),
    /// A commit that confirms the pending one.
    Confirm,
    Cancel,
    Rollback(u64),
}

const REQUESTS: [Request; 9] = [
    Request::Drain("c1"),
    Request::Drain("c2"),
    Request::CommitUnconfirmed("c3"),
    Request::Confirm,
    Request::CommitUnconfirmed("c4"),
    Request::Cancel,
    Request::Drain("c5"),
    Request::Rollback(1),
    Request::Drain("c6"),
];

#[test]
fn crash_at_any_step_restores_one_whole_configuration_with_all_acknowledged_commits() {
    let schema = Arc::new(Schema::published());
    let (mut crash_points, mut disk_operation) = (0, 0);
    loop {
        let mut management = open(&schema, FaultyDisk::default().dying_at(disk_operation));
        let id = open_session(&mut management);
        // The overrides of the last acknowledged permanent commit, and those that the request which failed may have
        // made durable.
        let (mut acknowledged, mut possible) = (Vec::new(), Vec::new());
        for request in REQUESTS {
            let result = match request {
                Request::Drain(host) => drain(&mut management, id, host).map(|_| ()),
                Request::CommitUnconfirmed(host) => {
                    add_override_to_candidate(&mut management, id, &schema, host);
                    commit(&mut management, id, Some(60)).map(|_| ())
                }
                Request::Confirm => commit(&mut management, id, None).map(|_| ()),
                Request::Cancel => management.cancel_commit(NOW, id, None),
                Request::Rollback(version) => {
                    management.rollback(NOW, id, version, None, &ValidationContext::default()).map(|_| ())
                }
            };
            let unconfirmed = matches!(request, Request::CommitUnconfirmed(_));
            match result {
                Ok(()) if unconfirmed => {}
                Ok(()) => {
                    acknowledged = overridden_hosts(&management);
                    possible = acknowledged.clone();
                }
                Err(_) => {
                    // The configuration after the request, had it succeeded.
                    possible = match request {
                        Request::Drain(host) => {
                            let mut after = acknowledged.clone();
                            after.push(host.to_string());
                            after.sort();
                            after
                        }
                        Request::Rollback(_) => vec!["c1".to_string()],
                        Request::Confirm => overridden_hosts(&management),
                        Request::CommitUnconfirmed(_) | Request::Cancel => acknowledged.clone(),
                    };
                    break;
                }
            }
        }
        let disk = management.storage().disk().clone();
        for names in 0..=disk.unsynced_names() {
            for bytes in UnsyncedBytes::EACH {
                crash_points += 1;
                let mut restarted = open(&schema, disk.after_crash(names, bytes));
                let restored = overridden_hosts(&restarted);
                let is_expected = restored == acknowledged || restored == possible;
                assert!(
                    is_expected,
                    "disk operation {disk_operation}, names {names}, {bytes:?}: {restored:?}, expected \
                     {acknowledged:?} or {possible:?}"
                );
                assert!(restarted.pending_commit().is_none());
                // The restarted process can commit again.
                let id = open_session(&mut restarted);
                drain(&mut restarted, id, "c9").unwrap();
                let after = open(&schema, restarted.storage().disk().after_crash(0, UnsyncedBytes::Lost));
                assert!(overridden_hosts(&after).contains(&"c9".to_string()));
            }
        }
        if !disk.has_died() {
            break;
        }
        disk_operation += 1;
    }
    println!(
        "{crash_points} crash points over {disk_operation} disk operations of {} requests: 0 torn, 0 lost",
        REQUESTS.len()
    );
    assert!(crash_points > 200, "{crash_points}");
}
