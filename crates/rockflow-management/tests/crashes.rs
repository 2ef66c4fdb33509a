//! A process killed at every step of every kind of commit: after a restart the old or the new configuration,
//! whole, and nothing acknowledged lost.

use rockflow_management::*;
use rockflow_store::faulty::{Disk, EVERY_BYTES};
use rockflow_store::Store;
use rockflow_yang::{json, NodeScope, Scalar, Schema};
use std::sync::Arc;
use std::time::Duration;

type Machine = Management<Store<Disk>>;
const NOW: Duration = Duration::from_secs(1_780_000_000);

fn open(schema: &Arc<Schema>, disk: Disk) -> Machine {
    let (store, found, _) = Store::open(disk, "config", record::VERSION, record::MOST).unwrap();
    let found = found.map(|found| found.payload);
    Management::new(NOW, schema.clone(), store, found.as_deref(), Some("root".into()), false).unwrap().0
}

fn session(machine: &mut Machine) -> SessionId {
    let who = Operator { user: "root".into(), protocol: Protocol::Gnmi, source: "-".into() };
    machine.open(NOW, who).unwrap()
}

fn drain(machine: &mut Machine, id: SessionId, host: &str) -> Result<u64, ManagementError> {
    let leaves = [("state", Scalar::text("draining")), ("reason", Scalar::text("r".repeat(50)))];
    machine.mark(NOW, id, "drain", host, &leaves, &ValidationContext::default())
}

fn candidate(machine: &mut Machine, id: SessionId, schema: &Schema, host: &str) {
    let value = serde_json::json!({"rockflow-router:router": {"marks": {"mark": [{"host": host}]}}});
    let fields = json::read(schema, None, &value, NodeScope::ConfigOnly).unwrap();
    let merged = rockflow_yang::Edit {
        path: Default::default(),
        op: rockflow_yang::EditOperation::Merge,
        value: Some(rockflow_yang::DataNode::Container(fields)),
    };
    machine.edit_config(id, Datastore::Candidate, &[merged], ErrorOption::Rollback, false).unwrap();
}

fn commit(
    machine: &mut Machine,
    id: SessionId,
    confirm_timeout: Option<u64>,
) -> Result<u64, ManagementError> {
    let confirm = CommitOptions {
        confirm_timeout: confirm_timeout.map(Duration::from_secs),
        ..CommitOptions::default()
    };
    machine.commit(NOW, id, &confirm, "", &ValidationContext::default())
}

/// What holds, as the marks' names.
fn marks(machine: &Machine) -> Vec<String> {
    machine.marks().into_keys().collect()
}

/// The steps of one life: what each does, and what a restart may come back with once it was acknowledged.
#[derive(Clone, Copy, Debug)]
enum Act {
    Drain(&'static str),
    /// Acknowledged, and undone by a restart.
    Trial(&'static str),
    CommitOptions,
    Cancel,
    Rollback(u64),
}

const LIFE: [Act; 9] = [
    Act::Drain("c1"),
    Act::Drain("c2"),
    Act::Trial("c3"),
    Act::CommitOptions,
    Act::Trial("c4"),
    Act::Cancel,
    Act::Drain("c5"),
    Act::Rollback(1),
    Act::Drain("c6"),
];

#[test]
fn a_kill_at_any_step_leaves_one_whole_configuration_and_loses_nothing_acknowledged() {
    let schema = Arc::new(Schema::published());
    let (mut points, mut step) = (0, 0);
    loop {
        let mut machine = open(&schema, Disk::default().dying_at(step));
        let id = session(&mut machine);
        // What was acknowledged for good, and what the step that died might have made durable.
        let (mut lasting, mut perhaps) = (Vec::new(), Vec::new());
        for act in LIFE {
            let ended = match act {
                Act::Drain(host) => drain(&mut machine, id, host).map(|_| ()),
                Act::Trial(host) => {
                    candidate(&mut machine, id, &schema, host);
                    commit(&mut machine, id, Some(60)).map(|_| ())
                }
                Act::CommitOptions => commit(&mut machine, id, None).map(|_| ()),
                Act::Cancel => machine.cancel(NOW, id, None),
                Act::Rollback(version) => {
                    machine.rollback(NOW, id, version, None, &ValidationContext::default()).map(|_| ())
                }
            };
            let trial = matches!(act, Act::Trial(_));
            match ended {
                Ok(()) if trial => {}
                Ok(()) => {
                    lasting = marks(&machine);
                    perhaps = lasting.clone();
                }
                Err(_) => {
                    // The one after it, had it gone through.
                    perhaps = match act {
                        Act::Drain(host) => {
                            let mut after = lasting.clone();
                            after.push(host.to_string());
                            after.sort();
                            after
                        }
                        Act::Rollback(_) => vec!["c1".to_string()],
                        Act::CommitOptions => marks(&machine),
                        Act::Trial(_) | Act::Cancel => lasting.clone(),
                    };
                    break;
                }
            }
        }
        let disk = machine.saved().disk().clone();
        for names in 0..=disk.pending() {
            for bytes in EVERY_BYTES {
                points += 1;
                let mut again = open(&schema, disk.after_crash(names, bytes));
                let found = marks(&again);
                let whole = found == lasting || found == perhaps;
                assert!(whole, "step {step} names {names} {bytes:?}: {found:?}, {lasting:?} or {perhaps:?}");
                assert!(again.pending().is_none());
                // It goes on from there.
                let id = session(&mut again);
                drain(&mut again, id, "c9").unwrap();
                let after = open(&schema, again.saved().disk().after_crash(0, EVERY_BYTES[0]));
                assert!(marks(&after).contains(&"c9".to_string()));
            }
        }
        if !disk.died() {
            break;
        }
        step += 1;
    }
    println!("{points} crash points over {step} steps of {} commits: 0 torn, 0 lost", LIFE.len());
    assert!(points > 200, "{points}");
}
