//! Random interleavings of writers that use candidates and direct sets, with killed sessions, timeouts, failing disks
//! and restarts. The acknowledged commits must form one serial history, and none may be lost. A reference model, a flat
//! map of values without trees, predicts the result of each step.
//!
//! `ROCKFLOW_CASES=10000 cargo test -p rockflow-management --release --test serial -- --nocapture` runs more cases
//! than the default.

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

/// The value of each leaf of an override, by host and leaf name. An override exists as long as its `host` leaf does.
type OverrideValues = BTreeMap<(u8, &'static str), String>;
const START: Duration = Duration::from_secs(1_000_000);

/// A step of a test case. `writer` is the index of the writer that takes the step. `Wait` is in seconds, `FailDisk`
/// makes the disk operation fail that comes after `at` others, and the numbers of `Crash` select how much unsynced data
/// survives.
#[derive(Clone, Debug)]
enum Step {
    MergeOverride { writer: u8, host: u8, reason: Option<u8> },
    RemoveOverride { writer: u8, host: u8 },
    Commit { writer: u8, within: Option<u8>, persist: bool },
    Cancel { writer: u8 },
    Set { writer: u8, host: u8, reason: Option<u8> },
    Lock { writer: u8, candidate: bool },
    Unlock { writer: u8, candidate: bool },
    PartialLock { writer: u8, host: u8 },
    Discard { writer: u8 },
    Close { writer: u8 },
    Wait(u8),
    FailDisk { at: u8 },
    Crash { names: u8, bytes: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    let (writer, host) = (0..3u8, 0..4u8);
    prop_oneof![
        6 => (writer.clone(), host.clone(), prop::option::of(0..3u8))
            .prop_map(|(writer, host, reason)| Step::MergeOverride { writer, host, reason }),
        3 => (writer.clone(), host.clone()).prop_map(|(writer, host)| Step::RemoveOverride { writer, host }),
        6 => (writer.clone(), prop::option::weighted(0.3, 1..9u8), any::<bool>())
            .prop_map(|(writer, within, persist)| Step::Commit { writer, within, persist }),
        1 => writer.clone().prop_map(|writer| Step::Cancel { writer }),
        3 => (writer.clone(), host.clone(), prop::option::of(0..3u8))
            .prop_map(|(writer, host, reason)| Step::Set { writer, host, reason }),
        1 => (writer.clone(), any::<bool>()).prop_map(|(writer, candidate)| Step::Lock { writer, candidate }),
        2 => (writer.clone(), any::<bool>()).prop_map(|(writer, candidate)| Step::Unlock { writer, candidate }),
        1 => (writer.clone(), host.clone()).prop_map(|(writer, host)| Step::PartialLock { writer, host }),
        1 => writer.clone().prop_map(|writer| Step::Discard { writer }),
        2 => writer.prop_map(|writer| Step::Close { writer }),
        2 => (1..6u8).prop_map(Step::Wait),
        1 => (0..8u8).prop_map(|at| Step::FailDisk { at }),
        1 => (0..6u8, 0..4u8).prop_map(|(names, bytes)| Step::Crash { names, bytes }),
    ]
}

/// An operator's session, as the reference model sees it.
struct Writer {
    id: SessionId,
    /// Running as it was when the candidate was begun.
    base: OverrideValues,
    /// The expected candidate; `None` while it equals running.
    edited_copy: Option<OverrideValues>,
}

/// The pending confirmed commit.
struct Unconfirmed {
    before: OverrideValues,
    deadline: Duration,
    /// The only session that may confirm the commit; `None` where it has a persist id.
    session: Option<SessionId>,
}

/// The datastores under test, with the reference model of their state.
struct Model {
    schema: Arc<Schema>,
    management: DiskManagement,
    now: Duration,
    writers: Vec<Writer>,
    running: OverrideValues,
    /// What a restart must restore: the result of the last permanent commit.
    durable: OverrideValues,
    unconfirmed: Option<Unconfirmed>,
    /// The greatest commit number so far.
    last_version: u64,
}

fn restore_checked(schema: &Arc<Schema>, disk: FaultyDisk) -> DiskManagement {
    assert!(open_store(disk.clone()).unreadable.is_empty());
    restore(schema, disk, "owner", START)
}

fn flatten(schema: &Schema, fields: &rockflow_yang::DataTree) -> OverrideValues {
    let value = json::write(schema, fields);
    let marks = value["rockflow-router:router"]["marks"]["mark"].as_array().cloned().unwrap_or_default();
    let mut values = OverrideValues::new();
    for mark in marks {
        let host: u8 = mark["host"].as_str().unwrap()[1..].parse().unwrap();
        values.insert((host, "host"), String::new());
        if let Some(reason) = mark["reason"].as_str() {
            values.insert((host, "reason"), reason.to_string());
        }
    }
    values
}

fn override_edit(schema: &Schema, host: u8, reason: Option<u8>) -> Edit {
    let path = Path::parse(schema, &format!("/router/marks/mark[host='h{host}']")).unwrap();
    let value = match reason {
        Some(reason) => serde_json::json!({"reason": format!("r{reason}")}),
        None => serde_json::json!({}),
    };
    let fields = json::read(schema, path.node(), &value, NodeScope::ConfigOnly).unwrap();
    Edit { path, op: EditOperation::Merge, value: Some(DataNode::Container(fields)) }
}

fn insert_override(values: &mut OverrideValues, host: u8, reason: Option<u8>) {
    values.insert((host, "host"), String::new());
    if let Some(reason) = reason {
        values.insert((host, "reason"), format!("r{reason}"));
    }
}

/// The expected result of a commit: the writer's changes since `base`, applied to `running`. `None` where they conflict
/// with other commits since then: both set a value differently, or one deleted an entry in which the other set a value.
fn rebase(
    base: &OverrideValues,
    edited_copy: &OverrideValues,
    running: &OverrideValues,
) -> Option<OverrideValues> {
    let diff = |from: &OverrideValues, to: &OverrideValues| {
        let keys = from.keys().chain(to.keys());
        let changed = keys.filter(|key| from.get(key) != to.get(key));
        changed.map(|key| (*key, to.get(key).cloned())).collect::<BTreeMap<_, _>>()
    };
    let (ours, theirs) = (diff(base, edited_copy), diff(base, running));
    let deletes_override = |changes: &BTreeMap<(u8, &'static str), Option<String>>, host: u8| {
        changes.get(&(host, "host")).is_some_and(Option::is_none)
    };
    for (key, value) in &ours {
        let differs = theirs.get(key).is_some_and(|their_value| their_value != value);
        if differs || (value.is_some() && deletes_override(&theirs, key.0)) {
            return None;
        }
    }
    if theirs.iter().any(|(key, value)| value.is_some() && deletes_override(&ours, key.0)) {
        return None;
    }
    let mut merged = running.clone();
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
        let mut model = Model {
            management: restore_checked(schema, FaultyDisk::default()),
            schema: schema.clone(),
            now: START,
            writers: Vec::new(),
            running: OverrideValues::new(),
            durable: OverrideValues::new(),
            unconfirmed: None,
            last_version: 0,
        };
        (0..3).for_each(|index| model.open(index));
        model
    }

    fn open(&mut self, index: usize) {
        let protocol = if index == 2 { Protocol::Gnmi } else { Protocol::NetconfSsh };
        let operator = Operator { user: "owner".into(), protocol, source: format!("w{index}") };
        let id = self.management.open_session(self.now, operator).expect("a session");
        let writer = Writer { id, base: OverrideValues::new(), edited_copy: None };
        if index < self.writers.len() {
            self.writers[index] = writer;
        } else {
            self.writers.push(writer);
        }
    }

    fn revert_unconfirmed(&mut self) {
        if let Some(unconfirmed) = self.unconfirmed.take() {
            self.running = unconfirmed.before;
        }
    }

    fn record_commit(&mut self, after: OverrideValues) {
        self.running = after.clone();
        self.durable = after;
        self.unconfirmed = None;
    }

    fn perform(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let context = ValidationContext::default();
        let now = self.now;
        for writer in &self.writers {
            self.management.record_activity(now, writer.id);
        }
        match *step {
            Step::MergeOverride { writer, host, reason } => {
                let edits = [override_edit(&self.schema, host, reason)];
                let id = self.writers[writer as usize].id;
                if self
                    .management
                    .edit_config(id, Datastore::Candidate, &edits, ErrorOption::Rollback, EditMode::Apply)
                    .is_ok()
                {
                    self.record_edit(writer, |edited_copy| insert_override(edited_copy, host, reason));
                }
            }
            Step::RemoveOverride { writer, host } => {
                let path = Path::parse(&self.schema, &format!("/router/marks/mark[host='h{host}']")).unwrap();
                let edits = [Edit { path, op: EditOperation::Remove, value: None }];
                let id = self.writers[writer as usize].id;
                if self
                    .management
                    .edit_config(id, Datastore::Candidate, &edits, ErrorOption::Rollback, EditMode::Apply)
                    .is_ok()
                {
                    self.record_edit(writer, |edited_copy| edited_copy.retain(|(at, _), _| *at != host));
                }
            }
            Step::Commit { writer, within, persist } => {
                let committer = &self.writers[writer as usize];
                let id = committer.id;
                let expected = match &committer.edited_copy {
                    Some(edited_copy) => rebase(&committer.base, edited_copy, &self.running),
                    None => Some(self.running.clone()),
                };
                let persist_id = (persist
                    && self.unconfirmed.as_ref().is_some_and(|unconfirmed| unconfirmed.session.is_none()))
                .then(|| "name".to_string());
                let confirm = CommitOptions {
                    confirm_timeout: within.map(|seconds| Duration::from_secs(seconds.into())),
                    persist: (persist && within.is_some()).then(|| "name".to_string()),
                    persist_id,
                };
                match self.management.commit(now, id, &confirm, "", &context) {
                    Ok(_) => {
                        let Some(after) = expected else {
                            return Err(TestCaseError::fail("a conflicting commit was acknowledged"));
                        };
                        self.writers[writer as usize].edited_copy = None;
                        match confirm.confirm_timeout {
                            None => self.record_commit(after),
                            Some(within) => {
                                let pending = self.unconfirmed.take();
                                let before = pending.map(|unconfirmed| unconfirmed.before);
                                let before = before.unwrap_or_else(|| self.running.clone());
                                let session = confirm.persist.is_none().then_some(id);
                                self.unconfirmed =
                                    Some(Unconfirmed { before, deadline: now + within, session });
                                self.running = after;
                            }
                        }
                    }
                    Err(error) => {
                        // A conflict may be reported only where the reference model finds one.
                        let is_conflict = error.app_tag == Some("conflict");
                        prop_assert!(!is_conflict || expected.is_none(), "{error}");
                    }
                }
            }
            Step::Cancel { writer } => {
                if self.management.cancel_commit(now, self.writers[writer as usize].id, None).is_ok() {
                    self.revert_unconfirmed();
                }
            }
            Step::Set { writer, host, reason } => {
                let edits = [override_edit(&self.schema, host, reason)];
                let id = self.writers[writer as usize].id;
                let mut after = self.running.clone();
                insert_override(&mut after, host, reason);
                if self.management.set(now, id, &edits, None, "", &context).is_ok() {
                    prop_assert!(
                        self.unconfirmed.is_none(),
                        "a set was accepted while a confirmed commit was pending"
                    );
                    self.record_commit(after);
                }
            }
            Step::Lock { writer, candidate } => {
                let datastore = if candidate { Datastore::Candidate } else { Datastore::Running };
                let _ = self.management.lock(now, self.writers[writer as usize].id, datastore);
            }
            Step::Unlock { writer, candidate } => {
                let datastore = if candidate { Datastore::Candidate } else { Datastore::Running };
                let unlocked = self.management.unlock(self.writers[writer as usize].id, datastore).is_ok();
                if unlocked && candidate {
                    self.writers[writer as usize].edited_copy = None;
                }
            }
            Step::PartialLock { writer, host } => {
                let text = format!("/router/marks/mark[host='h{host}']");
                let pattern = rockflow_yang::Pattern::parse(&self.schema, &text).unwrap();
                let _ = self.management.partial_lock(self.writers[writer as usize].id, &[pattern]);
            }
            Step::Discard { writer } => {
                self.management.discard_changes(self.writers[writer as usize].id).unwrap();
                self.writers[writer as usize].edited_copy = None;
            }
            Step::Close { writer } => {
                let id = self.writers[writer as usize].id;
                self.management.close_session(now, id, SessionEndReason::Killed);
                if self.unconfirmed.as_ref().is_some_and(|unconfirmed| unconfirmed.session == Some(id)) {
                    self.revert_unconfirmed();
                }
                self.open(writer as usize);
            }
            Step::Wait(seconds) => {
                self.now += Duration::from_secs(seconds.into());
                self.management.on_tick(self.now);
                if self.unconfirmed.as_ref().is_some_and(|unconfirmed| unconfirmed.deadline <= self.now) {
                    self.revert_unconfirmed();
                }
            }
            Step::FailDisk { at } => {
                let disk = self.management.storage_mut().disk_mut();
                *disk = disk.clone().failing_at([usize::from(at)]);
            }
            Step::Crash { names, bytes } => {
                let disk = self.management.storage().disk();
                let names = usize::from(names).min(disk.unsynced_names());
                let bytes =
                    [UnsyncedBytes::Lost, UnsyncedBytes::Half, UnsyncedBytes::Zeros, UnsyncedBytes::All]
                        [usize::from(bytes)];
                let disk = disk.after_crash(names, bytes);
                self.management = restore_checked(&self.schema, disk);
                self.unconfirmed = None;
                self.running = self.durable.clone();
                (0..3).for_each(|index| self.open(index));
            }
        }
        let actual = flatten(&self.schema, self.management.running());
        prop_assert_eq!(&actual, &self.running, "after {:?}", step);
        prop_assert_eq!(self.management.pending_commit().is_some(), self.unconfirmed.is_some());
        prop_assert!(self.management.version() >= self.last_version, "the commit number decreased");
        self.last_version = self.management.version();
        Ok(())
    }

    /// Applies an acknowledged edit to the expected candidate of a writer.
    fn record_edit(&mut self, writer: u8, change: impl FnOnce(&mut OverrideValues)) {
        let running = &self.running;
        let editor = &mut self.writers[writer as usize];
        if editor.edited_copy.is_none() {
            editor.base = running.clone();
        }
        let mut edited_copy = editor.edited_copy.clone().unwrap_or_else(|| running.clone());
        change(&mut edited_copy);
        // An edit that changes nothing does not begin a candidate.
        if editor.edited_copy.is_some() || edited_copy != *running {
            editor.edited_copy = Some(edited_copy);
        }
    }
}

#[test]
fn every_interleaving_is_serial_and_loses_no_acknowledged_commit() {
    let cases = std::env::var("ROCKFLOW_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(600);
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 20_000, ..Config::default() };
    // A fixed seed makes the test deterministic.
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let schema = Arc::new(Schema::published());
    let (steps, commits) = (Cell::new(0usize), Cell::new(0u64));
    let result = runner.run(&prop::collection::vec(step(), 1..60), |case| {
        let mut model = Model::new(&schema);
        for step in &case {
            model.perform(step)?;
        }
        // Once all sessions have ended and all deadlines have passed, nothing may be locked or pending.
        for writer in 0..3 {
            model.perform(&Step::Close { writer })?;
        }
        model.perform(&Step::Wait(20))?;
        prop_assert_eq!(model.management.locks().count(), 0);
        prop_assert!(model.management.pending_commit().is_none());
        let disk = model.management.storage_mut().disk_mut();
        *disk = disk.clone().failing_at([]);
        for host in 0..4 {
            let (edits, id) = ([override_edit(&schema, host, Some(9))], model.writers[0].id);
            let set = model.management.set(model.now, id, &edits, None, "", &ValidationContext::default());
            prop_assert!(set.is_ok(), "a lock was not released: {:?}", set);
        }
        steps.set(steps.get() + case.len());
        commits.set(commits.get() + model.management.version());
        Ok(())
    });
    println!("{cases} interleavings, {} steps, {} commits", steps.get(), commits.get());
    result.unwrap_or_else(|failure| panic!("{failure}"));
    assert!(commits.get() > u64::from(cases), "too few commits for a meaningful test");
}
