//! A process killed at every step of every kind of commit: after a restart the old or the new configuration,
//! whole, and nothing acknowledged lost.

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

fn session(management: &mut DiskManagement) -> SessionId {
    let who = Operator { user: "root".into(), protocol: Protocol::Gnmi, source: "-".into() };
    management.open_session(NOW, who).unwrap()
}

fn drain(management: &mut DiskManagement, id: SessionId, host: &str) -> Result<u64, ManagementError> {
    let leaves = [("state", Scalar::text("draining")), ("reason", Scalar::text("r".repeat(50)))];
    management.set_override(NOW, id, "drain", host, &leaves, &ValidationContext::default())
}

fn candidate(management: &mut DiskManagement, id: SessionId, schema: &Schema, host: &str) {
    let value = serde_json::json!({"rockflow-router:router": {"marks": {"mark": [{"host": host}]}}});
    let fields = json::read(schema, None, &value, NodeScope::ConfigOnly).unwrap();
    let merged = rockflow_yang::Edit {
        path: Default::default(),
        op: rockflow_yang::EditOperation::Merge,
        value: Some(rockflow_yang::DataNode::Container(fields)),
    };
    management
        .edit_config(id, Datastore::Candidate, &[merged], ErrorOption::Rollback, EditMode::Apply)
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

/// The hosts that running has an override of.
fn overridden_hosts(management: &DiskManagement) -> Vec<String> {
    management.administrative_overrides().into_keys().collect()
}

/// The steps of one life: what each does, and what a restart may come back with once it was acknowledged.
#[derive(Clone, Copy, Debug)]
enum Request {
    Drain(&'static str),
    /// Acknowledged, and undone by a restart.
    CommitUnconfirmed(&'static str),
    CommitOptions,
    Cancel,
    Rollback(u64),
}

const STEPS: [Request; 9] = [
    Request::Drain("c1"),
    Request::Drain("c2"),
    Request::CommitUnconfirmed("c3"),
    Request::CommitOptions,
    Request::CommitUnconfirmed("c4"),
    Request::Cancel,
    Request::Drain("c5"),
    Request::Rollback(1),
    Request::Drain("c6"),
];

#[test]
fn crash_at_any_step_restores_one_whole_configuration_with_all_acknowledged_commits() {
    let schema = Arc::new(Schema::published());
    let (mut points, mut step) = (0, 0);
    loop {
        let mut management = open(&schema, FaultyDisk::default().dying_at(step));
        let id = session(&mut management);
        // What was acknowledged for good, and what the step that died might have made durable.
        let (mut acknowledged, mut possible) = (Vec::new(), Vec::new());
        for request in STEPS {
            let ended = match request {
                Request::Drain(host) => drain(&mut management, id, host).map(|_| ()),
                Request::CommitUnconfirmed(host) => {
                    candidate(&mut management, id, &schema, host);
                    commit(&mut management, id, Some(60)).map(|_| ())
                }
                Request::CommitOptions => commit(&mut management, id, None).map(|_| ()),
                Request::Cancel => management.cancel_commit(NOW, id, None),
                Request::Rollback(version) => {
                    management.rollback(NOW, id, version, None, &ValidationContext::default()).map(|_| ())
                }
            };
            let unconfirmed = matches!(request, Request::CommitUnconfirmed(_));
            match ended {
                Ok(()) if unconfirmed => {}
                Ok(()) => {
                    acknowledged = overridden_hosts(&management);
                    possible = acknowledged.clone();
                }
                Err(_) => {
                    // The one after it, had it gone through.
                    possible = match request {
                        Request::Drain(host) => {
                            let mut after = acknowledged.clone();
                            after.push(host.to_string());
                            after.sort();
                            after
                        }
                        Request::Rollback(_) => vec!["c1".to_string()],
                        Request::CommitOptions => overridden_hosts(&management),
                        Request::CommitUnconfirmed(_) | Request::Cancel => acknowledged.clone(),
                    };
                    break;
                }
            }
        }
        let disk = management.storage().disk().clone();
        for names in 0..=disk.unsynced_names() {
            for bytes in UnsyncedBytes::EACH {
                points += 1;
                let mut restarted = open(&schema, disk.after_crash(names, bytes));
                let restored = overridden_hosts(&restarted);
                let whole = restored == acknowledged || restored == possible;
                assert!(
                    whole,
                    "step {step} names {names} {bytes:?}: {restored:?}, {acknowledged:?} or {possible:?}"
                );
                assert!(restarted.pending_commit().is_none());
                // It goes on from there.
                let id = session(&mut restarted);
                drain(&mut restarted, id, "c9").unwrap();
                let after = open(&schema, restarted.storage().disk().after_crash(0, UnsyncedBytes::Lost));
                assert!(overridden_hosts(&after).contains(&"c9".to_string()));
            }
        }
        if !disk.has_died() {
            break;
        }
        step += 1;
    }
    println!("{points} crash points over {step} steps of {} commits: 0 torn, 0 lost", STEPS.len());
    assert!(points > 200, "{points}");
}
