//! Writers at random over both ways in, with kills, time-outs, failing disks and restarts: whatever was
//! acknowledged is one serial history, and nothing of it is lost. Beside the datastores runs a flat model of values by
//! path, which knows nothing of trees.
//!
//! `ROCKFLOW_CASES=10000 cargo test -p rockflow-management --release --test serial -- --nocapture` runs the
//! long form.

#[allow(dead_code)] // Each test file uses a part of it.
mod common;

use common::{open_store, restore, DiskManagement};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rockflow_management::*;
use rockflow_store::faulty::{FaultyDisk, UnsyncedBytes};
use rockflow_yang::{json, DataNode, Edit, EditOperation, NodeScope, Path, Schema};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Host and leaf to value; an entry stands while its `host` leaf does.
type Flat = BTreeMap<(u8, &'static str), String>;
const START: Duration = Duration::from_secs(1_000_000);

#[derive(Clone, Debug)]
enum Step {
    Edit { who: u8, host: u8, reason: Option<u8> },
    Unmark { who: u8, host: u8 },
    Commit { who: u8, within: Option<u8>, persist: bool },
    Cancel { who: u8 },
    Set { who: u8, host: u8, reason: Option<u8> },
    Lock { who: u8, candidate: bool },
    Unlock { who: u8, candidate: bool },
    Hold { who: u8, host: u8 },
    Discard { who: u8 },
    Close { who: u8 },
    Wait(u8),
    FailDisk { at: u8 },
    Crash { names: u8, bytes: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    let (who, host) = (0..3u8, 0..4u8);
    prop_oneof![
        6 => (who.clone(), host.clone(), prop::option::of(0..3u8))
            .prop_map(|(who, host, reason)| Step::Edit { who, host, reason }),
        3 => (who.clone(), host.clone()).prop_map(|(who, host)| Step::Unmark { who, host }),
        6 => (who.clone(), prop::option::weighted(0.3, 1..9u8), any::<bool>())
            .prop_map(|(who, within, persist)| Step::Commit { who, within, persist }),
        1 => who.clone().prop_map(|who| Step::Cancel { who }),
        3 => (who.clone(), host.clone(), prop::option::of(0..3u8))
            .prop_map(|(who, host, reason)| Step::Set { who, host, reason }),
        1 => (who.clone(), any::<bool>()).prop_map(|(who, candidate)| Step::Lock { who, candidate }),
        2 => (who.clone(), any::<bool>()).prop_map(|(who, candidate)| Step::Unlock { who, candidate }),
        1 => (who.clone(), host.clone()).prop_map(|(who, host)| Step::Hold { who, host }),
        1 => who.clone().prop_map(|who| Step::Discard { who }),
        2 => who.prop_map(|who| Step::Close { who }),
        2 => (1..6u8).prop_map(Step::Wait),
        1 => (0..8u8).prop_map(|at| Step::FailDisk { at }),
        1 => (0..6u8, 0..4u8).prop_map(|(names, bytes)| Step::Crash { names, bytes }),
    ]
}

struct Writer {
    id: SessionId,
    base: Flat,
    edited_copy: Option<Flat>,
}

struct Unconfirmed {
    before: Flat,
    due: Duration,
    owner: Option<SessionId>,
}

struct Model {
    schema: Arc<Schema>,
    machine: DiskManagement,
    now: Duration,
    writers: Vec<Writer>,
    running: Flat,
    /// What a restart must come back with; more than one where a save failed without word of its fate.
    durable: Flat,
    unconfirmed: Option<Unconfirmed>,
    last: u64,
}

fn machine(schema: &Arc<Schema>, disk: FaultyDisk) -> DiskManagement {
    assert!(open_store(disk.clone()).unreadable.is_empty());
    restore(schema, disk, "owner", START)
}

fn flatten(schema: &Schema, fields: &rockflow_yang::DataTree) -> Flat {
    let value = json::write(schema, fields);
    let marks = value["rockflow-router:router"]["marks"]["mark"].as_array().cloned().unwrap_or_default();
    let mut all = Flat::new();
    for mark in marks {
        let host: u8 = mark["host"].as_str().unwrap()[1..].parse().unwrap();
        all.insert((host, "host"), String::new());
        if let Some(reason) = mark["reason"].as_str() {
            all.insert((host, "reason"), reason.to_string());
        }
    }
    all
}

fn edit(schema: &Schema, host: u8, reason: Option<u8>) -> Edit {
    let path = Path::parse(schema, &format!("/router/marks/mark[host='h{host}']")).unwrap();
    let value = match reason {
        Some(reason) => serde_json::json!({"reason": format!("r{reason}")}),
        None => serde_json::json!({}),
    };
    let fields = json::read(schema, path.node(), &value, NodeScope::ConfigOnly).unwrap();
    Edit { path, op: EditOperation::Merge, value: Some(DataNode::Container(fields)) }
}

fn put(all: &mut Flat, host: u8, reason: Option<u8>) {
    all.insert((host, "host"), String::new());
    if let Some(reason) = reason {
        all.insert((host, "reason"), format!("r{reason}"));
    }
}

/// The serial meaning of a commit: what the writer changed since it began, laid over what holds now; none where
/// both changed the same to different ends, or one lost the entry that the other wrote to.
fn rebase(base: &Flat, edited_copy: &Flat, now: &Flat) -> Option<Flat> {
    let diff = |from: &Flat, to: &Flat| {
        let keys = from.keys().chain(to.keys());
        let changed = keys.filter(|key| from.get(key) != to.get(key));
        changed.map(|key| (*key, to.get(key).cloned())).collect::<BTreeMap<_, _>>()
    };
    let (ours, theirs) = (diff(base, edited_copy), diff(base, now));
    let lost = |all: &BTreeMap<(u8, &'static str), Option<String>>, host: u8| {
        all.get(&(host, "host")).is_some_and(Option::is_none)
    };
    for (key, value) in &ours {
        let other = theirs.get(key).is_some_and(|other| other != value);
        if other || (value.is_some() && lost(&theirs, key.0)) {
            return None;
        }
    }
    if theirs.iter().any(|(key, value)| value.is_some() && lost(&ours, key.0)) {
        return None;
    }
    let mut merged = now.clone();
    for (key, value) in ours {
        match value {
            Some(value) => merged.insert(key, value),
            None => merged.remove(&key),
        };
    }
    Some(merged)
}

impl Model {
    fn new(schema: &Arc<Schema>) -> Model {
        let mut world = Model {
            machine: machine(schema, FaultyDisk::default()),
            schema: schema.clone(),
            now: START,
            writers: Vec::new(),
            running: Flat::new(),
            durable: Flat::new(),
            unconfirmed: None,
            last: 0,
        };
        (0..3).for_each(|who| world.open(who));
        world
    }

    fn open(&mut self, who: usize) {
        let protocol = if who == 2 { Protocol::Gnmi } else { Protocol::NetconfSsh };
        let operator = Operator { user: "owner".into(), protocol, source: format!("w{who}") };
        let id = self.machine.open_session(self.now, operator).expect("a session");
        let writer = Writer { id, base: Flat::new(), edited_copy: None };
        if who < self.writers.len() {
            self.writers[who] = writer;
        } else {
            self.writers.push(writer);
        }
    }

    fn undo(&mut self) {
        if let Some(unconfirmed) = self.unconfirmed.take() {
            self.running = unconfirmed.before;
        }
    }

    fn committed(&mut self, after: Flat) {
        self.running = after.clone();
        self.durable = after;
        self.unconfirmed = None;
    }

    fn perform(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let context = ValidationContext::default();
        let now = self.now;
        for writer in &self.writers {
            self.machine.record_activity(now, writer.id);
        }
        match *step {
            Step::Edit { who, host, reason } => {
                let edits = [edit(&self.schema, host, reason)];
                let id = self.writers[who as usize].id;
                if self
                    .machine
                    .edit_config(id, Datastore::Candidate, &edits, ErrorOption::Rollback, EditMode::Apply)
                    .is_ok()
                {
                    self.edited(who, |edited_copy| put(edited_copy, host, reason));
                }
            }
            Step::Unmark { who, host } => {
                let path = Path::parse(&self.schema, &format!("/router/marks/mark[host='h{host}']")).unwrap();
                let edits = [Edit { path, op: EditOperation::Remove, value: None }];
                let id = self.writers[who as usize].id;
                if self
                    .machine
                    .edit_config(id, Datastore::Candidate, &edits, ErrorOption::Rollback, EditMode::Apply)
                    .is_ok()
                {
                    self.edited(who, |edited_copy| edited_copy.retain(|(at, _), _| *at != host));
                }
            }
            Step::Commit { who, within, persist } => {
                let writer = &self.writers[who as usize];
                let id = writer.id;
                let wanted = match &writer.edited_copy {
                    Some(edited_copy) => rebase(&writer.base, edited_copy, &self.running),
                    None => Some(self.running.clone()),
                };
                let persist_id = (persist
                    && self.unconfirmed.as_ref().is_some_and(|unconfirmed| unconfirmed.owner.is_none()))
                .then(|| "name".to_string());
                let confirm = CommitOptions {
                    confirm_timeout: within.map(|seconds| Duration::from_secs(seconds.into())),
                    persist: (persist && within.is_some()).then(|| "name".to_string()),
                    persist_id,
                };
                match self.machine.commit(now, id, &confirm, "", &context) {
                    Ok(_) => {
                        let Some(after) = wanted else {
                            return Err(TestCaseError::fail("a clash was acknowledged"));
                        };
                        self.writers[who as usize].edited_copy = None;
                        match confirm.confirm_timeout {
                            None => self.committed(after),
                            Some(within) => {
                                let held = self.unconfirmed.take().map(|unconfirmed| unconfirmed.before);
                                let before = held.unwrap_or_else(|| self.running.clone());
                                let owner = confirm.persist.is_none().then_some(id);
                                self.unconfirmed = Some(Unconfirmed { before, due: now + within, owner });
                                self.running = after;
                            }
                        }
                    }
                    Err(fault) => {
                        // Refused for a clash just where there is one.
                        let clash = fault.app_tag == Some("conflict");
                        prop_assert!(!clash || wanted.is_none(), "{fault}");
                    }
                }
            }
            Step::Cancel { who } => {
                if self.machine.cancel_commit(now, self.writers[who as usize].id, None).is_ok() {
                    self.undo();
                }
            }
            Step::Set { who, host, reason } => {
                let edits = [edit(&self.schema, host, reason)];
                let id = self.writers[who as usize].id;
                let mut after = self.running.clone();
                put(&mut after, host, reason);
                if self.machine.set(now, id, &edits, None, "", &context).is_ok() {
                    prop_assert!(self.unconfirmed.is_none(), "set past a pending commit");
                    self.committed(after);
                }
            }
            Step::Lock { who, candidate } => {
                let which = if candidate { Datastore::Candidate } else { Datastore::Running };
                let _ = self.machine.lock(now, self.writers[who as usize].id, which);
            }
            Step::Unlock { who, candidate } => {
                let which = if candidate { Datastore::Candidate } else { Datastore::Running };
                let unlocked = self.machine.unlock(self.writers[who as usize].id, which).is_ok();
                if unlocked && candidate {
                    self.writers[who as usize].edited_copy = None;
                }
            }
            Step::Hold { who, host } => {
                let text = format!("/router/marks/mark[host='h{host}']");
                let pattern = rockflow_yang::Pattern::parse(&self.schema, &text).unwrap();
                let _ = self.machine.partial_lock(self.writers[who as usize].id, &[pattern]);
            }
            Step::Discard { who } => {
                self.machine.discard_changes(self.writers[who as usize].id).unwrap();
                self.writers[who as usize].edited_copy = None;
            }
            Step::Close { who } => {
                let id = self.writers[who as usize].id;
                self.machine.close_session(now, id, SessionEndReason::Killed);
                if self.unconfirmed.as_ref().is_some_and(|unconfirmed| unconfirmed.owner == Some(id)) {
                    self.undo();
                }
                self.open(who as usize);
            }
            Step::Wait(seconds) => {
                self.now += Duration::from_secs(seconds.into());
                self.machine.on_tick(self.now);
                if self.unconfirmed.as_ref().is_some_and(|unconfirmed| unconfirmed.due <= self.now) {
                    self.undo();
                }
            }
            Step::FailDisk { at } => {
                let disk = self.machine.storage_mut().disk_mut();
                *disk = disk.clone().failing_at([usize::from(at)]);
            }
            Step::Crash { names, bytes } => {
                let disk = self.machine.storage().disk();
                let names = usize::from(names).min(disk.unsynced_names());
                let bytes =
                    [UnsyncedBytes::Lost, UnsyncedBytes::Half, UnsyncedBytes::Zeros, UnsyncedBytes::All]
                        [usize::from(bytes)];
                let disk = disk.after_crash(names, bytes);
                self.machine = machine(&self.schema, disk);
                self.unconfirmed = None;
                self.running = self.durable.clone();
                (0..3).for_each(|who| self.open(who));
            }
        }
        let have = flatten(&self.schema, self.machine.running());
        prop_assert_eq!(&have, &self.running, "after {:?}", step);
        prop_assert_eq!(self.machine.pending_commit().is_some(), self.unconfirmed.is_some());
        prop_assert!(self.machine.version() >= self.last, "numbers went back");
        self.last = self.machine.version();
        Ok(())
    }

    fn edited(&mut self, who: u8, change: impl FnOnce(&mut Flat)) {
        let running = &self.running;
        let writer = &mut self.writers[who as usize];
        if writer.edited_copy.is_none() {
            writer.base = running.clone();
        }
        let mut edited_copy = writer.edited_copy.clone().unwrap_or_else(|| running.clone());
        change(&mut edited_copy);
        // An edit that changes nothing begins no candidate.
        if writer.edited_copy.is_some() || edited_copy != *running {
            writer.edited_copy = Some(edited_copy);
        }
    }
}

#[test]
fn every_interleaving_is_serial_and_loses_no_acknowledged_commit() {
    let cases = std::env::var("ROCKFLOW_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(600);
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 20_000, ..Config::default() };
    // One seed, the same verdict every time.
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let schema = Arc::new(Schema::published());
    let (steps, commits) = (Cell::new(0usize), Cell::new(0u64));
    let ran = runner.run(&prop::collection::vec(step(), 1..60), |all| {
        let mut world = Model::new(&schema);
        for step in &all {
            world.perform(step)?;
        }
        // Nothing stays locked or pending once everybody has gone and what was due is past.
        for who in 0..3 {
            world.perform(&Step::Close { who })?;
        }
        world.perform(&Step::Wait(20))?;
        prop_assert_eq!(world.machine.locks().count(), 0);
        prop_assert!(world.machine.pending_commit().is_none());
        let disk = world.machine.storage_mut().disk_mut();
        *disk = disk.clone().failing_at([]);
        for host in 0..4 {
            let (edits, id) = ([edit(&schema, host, Some(9))], world.writers[0].id);
            let set = world.machine.set(world.now, id, &edits, None, "", &ValidationContext::default());
            prop_assert!(set.is_ok(), "a lock is stuck: {:?}", set);
        }
        steps.set(steps.get() + all.len());
        commits.set(commits.get() + world.machine.version());
        Ok(())
    });
    println!("{cases} interleavings, {} steps, {} commits", steps.get(), commits.get());
    ran.unwrap_or_else(|what| panic!("{what}"));
    assert!(commits.get() > u64::from(cases), "too few commits to say anything");
}
