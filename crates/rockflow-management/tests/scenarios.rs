//! Plays a scenario against the datastores, on a virtual clock and a disk in memory. A line is a session and what
//! it does, or one of:
//!
//!     host NAME cache|parent|origin LOCATION [draining]   an entry of the endpoint list
//!     rules JSON                       what the owner commits under /router/access, ahead of the rest
//!     a opens [USER]                   a session; the user has the session's name unless one is given
//!     a marks HOST [gone] [force] [reason=WORD] [expires=SECONDS]    edits its candidate
//!     a unmarks HOST                   likewise; no error where there is no override
//!     a edits OP PATH [JSON]           any other edit of its candidate
//!     a commits [within=S] [persist=ID] [id=ID]
//!     a cancels [id=ID] | a discards | a validates | a closes | a kills b
//!     a follows                        has a subscription from now on
//!     a locks|unlocks running|candidate|startup | a holds PATH | a frees NUMBER
//!     a sets OP PATH [JSON] [expected=N]      one transaction on running
//!     a drains HOST [force] | a undrains HOST | a rolls-back N [expected=N]
//!     after SECONDS                    time passes, and what is due happens
//!     restart                          the process dies; what it synced is there
//!     disk fails | disk works          the next saves
//!     marked HOST=STATE ... | marked nothing     the overrides in running, in order of names
//!     version N | pending USER | pending nobody
//!     told WORD...                     a notification since the last such line holds all words
//!
//! `! TAG WORD...` at a line's end: it fails with that tag, and its message and finer tag hold the words.

#[allow(dead_code)] // Each test file uses a part of it.
mod common;

use common::{restore, DiskManagement};
use rockflow::{Readiness, Role};
use rockflow_endpoints::{AdminOverride, ListedEndpoint};
use rockflow_management::*;
use rockflow_store::faulty::{FaultyDisk, UnsyncedBytes};
use rockflow_yang::{json, DataNode, Edit, EditOperation, NodeScope, Path, Pattern, Scalar, Schema};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

const START: Duration = Duration::from_secs(1_780_000_000);

struct Scenario {
    schema: Arc<Schema>,
    management: DiskManagement,
    now: Duration,
    context: ValidationContext,
    sessions: BTreeMap<String, SessionId>,
    notifications: Vec<String>,
}

fn management(schema: &Arc<Schema>, disk: FaultyDisk) -> DiskManagement {
    restore(schema, disk, "owner", START)
}

fn op(name: &str) -> EditOperation {
    match name {
        "merge" => EditOperation::Merge,
        "replace" => EditOperation::Replace,
        "create" => EditOperation::Create,
        "delete" => EditOperation::Delete,
        "remove" => EditOperation::Remove,
        other => panic!("{other}"),
    }
}

impl Scenario {
    fn edit(&self, words: &[&str]) -> Edit {
        let path = Path::parse(&self.schema, words[1]).unwrap();
        let node = path.node().unwrap();
        let whole = path.0.last().unwrap().keys.is_empty();
        let value = words.get(2).filter(|word| !word.contains('=')).map(|text| {
            let value: Value = serde_json::from_str(text).unwrap();
            if whole {
                json::read_data(&self.schema, node, &value, NodeScope::ConfigAndState).unwrap()
            } else {
                DataNode::Container(
                    json::read(&self.schema, Some(node), &value, NodeScope::ConfigAndState).unwrap(),
                )
            }
        });
        Edit { path, op: op(words[0]), value }
    }

    fn override_edits(&self, host: &str, words: &[&str]) -> Vec<Edit> {
        let path = format!("/router/marks/mark[host='{host}']");
        let mut leaves = serde_json::Map::new();
        for word in words {
            match word.split_once('=') {
                Some(("reason", reason)) => leaves.insert("reason".into(), reason.into()),
                Some(("expires", seconds)) => {
                    let at = self.now + Duration::from_secs(seconds.parse().unwrap());
                    leaves.insert("expires".into(), timestamp::format(at).into())
                }
                _ if *word == "force" => leaves.insert("force".into(), true.into()),
                _ => leaves.insert("state".into(), (*word).into()),
            };
        }
        let leaves = Value::Object(leaves).to_string();
        vec![self.edit(&["merge", &path, &leaves])]
    }

    fn perform(&mut self, who: &str, what: &str, words: &[&str]) -> Result<(), ManagementError> {
        let now = self.now;
        let option = |name: &str| words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
        let number = |name: &str| option(name).map(|word| word.parse::<u64>().unwrap());
        if what == "opens" {
            let user = words.first().unwrap_or(&who).to_string();
            let who_is = Operator { user, protocol: Protocol::NetconfSsh, source: "127.0.0.1".into() };
            let id = self.management.open_session(now, who_is)?;
            self.sessions.insert(who.into(), id);
            return Ok(());
        }
        let id = self.sessions[who];
        self.management.record_activity(now, id);
        let parse_datastore = |word: &str| match word {
            "running" => Datastore::Running,
            "startup" => Datastore::Startup,
            _ => Datastore::Candidate,
        };
        let edit = |scenario: &mut Scenario, edits: &[Edit]| {
            let made = scenario.management.edit_config(
                id,
                Datastore::Candidate,
                edits,
                ErrorOption::Rollback,
                EditMode::Apply,
            );
            made.map_err(|faults| faults[0].clone())
        };
        match what {
            "marks" => edit(self, &self.override_edits(words[0], &words[1..])),
            "unmarks" => {
                let path = format!("/router/marks/mark[host='{}']", words[0]);
                edit(self, &[self.edit(&["remove", &path])])
            }
            "edits" => edit(self, &[self.edit(words)]),
            "commits" => {
                let confirm = CommitOptions {
                    confirm_timeout: number("within").map(Duration::from_secs),
                    persist: option("persist").map(str::to_string),
                    persist_id: option("id").map(str::to_string),
                };
                self.management.commit(now, id, &confirm, "", &self.context).map(|_| ())
            }
            "cancels" => self.management.cancel_commit(now, id, option("id")),
            "follows" => {
                self.management.set_subscription_count(id, 1);
                Ok(())
            }
            "discards" => self.management.discard_changes(id),
            "validates" => {
                let candidate = ConfigSource::Datastore(Datastore::Candidate);
                self.management.validate(now, id, &candidate, &self.context)
            }
            "closes" => {
                self.management.close_session(now, id, SessionEndReason::Closed);
                Ok(())
            }
            "kills" => self.management.kill_session(now, id, self.sessions[words[0]]),
            "locks" => self.management.lock(now, id, parse_datastore(words[0])),
            "unlocks" => self.management.unlock(id, parse_datastore(words[0])),
            "holds" => {
                let pattern = Pattern::parse(&self.schema, words[0]).unwrap();
                self.management.partial_lock(id, &[pattern]).map(|_| ())
            }
            "frees" => self.management.partial_unlock(id, words[0].parse().unwrap()),
            "sets" => {
                let edits = [self.edit(words)];
                self.management.set(now, id, &edits, number("expected"), "", &self.context).map(|_| ())
            }
            "drains" => {
                let force = Scalar::Bool(words.contains(&"force"));
                let leaves = [("state", Scalar::text("draining")), ("force", force)];
                self.management.set_override(now, id, "drain", words[0], &leaves, &self.context).map(|_| ())
            }
            "undrains" => {
                self.management.set_override(now, id, "undrain", words[0], &[], &self.context).map(|_| ())
            }
            "rolls-back" => {
                let (to, expected) = (words[0].parse().unwrap(), number("expected"));
                self.management.rollback(now, id, to, expected, &self.context).map(|_| ())
            }
            other => panic!("{other}"),
        }
    }

    fn run_line(&mut self, line: &str) {
        let (line, error) = line.split_once(" ! ").map_or((line, None), |(line, error)| (line, Some(error)));
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["host", name, role, location, rest @ ..] => {
                let role = match *role {
                    "cache" => Role::Cache,
                    "parent" => Role::Parent,
                    _ => Role::Origin,
                };
                let readiness = if rest.is_empty() { Readiness::Ready } else { Readiness::Draining };
                let listed = ListedEndpoint { role, location: location.parse().unwrap(), readiness };
                self.context.endpoints.insert(name.to_string(), listed);
            }
            ["rules", ..] => {
                let rules = line.trim_start_matches("rules ");
                self.run_line("ruler opens owner");
                let edit = self.edit(&["replace", "/router/access", rules]);
                let id = self.sessions["ruler"];
                self.management.set(self.now, id, &[edit], None, "", &self.context).unwrap();
                self.run_line("ruler closes");
            }
            ["after", seconds] => {
                self.now += Duration::from_secs(seconds.parse().unwrap());
                self.management.on_tick(self.now);
            }
            ["restart"] => {
                let disk = self.management.storage().disk().after_crash(0, UnsyncedBytes::Lost);
                self.management = management(&self.schema, disk);
                self.sessions.clear();
            }
            ["disk", "fails"] => {
                let disk = self.management.storage_mut().disk_mut();
                *disk = disk.clone().failing_at(0..1000);
            }
            ["disk", "works"] => {
                let disk = self.management.storage_mut().disk_mut();
                *disk = disk.clone().failing_at([]);
            }
            ["marked", expected @ ..] => {
                let marks = self.management.administrative_overrides();
                let state = |entry: &AdminOverride| {
                    if entry.readiness == Readiness::Gone {
                        "gone"
                    } else {
                        "draining"
                    }
                };
                let actual: Vec<_> =
                    marks.iter().map(|(host, entry)| format!("{host}={}", state(entry))).collect();
                let expected: Vec<_> = expected.iter().filter(|word| **word != "nothing").collect();
                assert!(actual.iter().eq(expected.iter().copied()), "{actual:?}");
            }
            ["version", number] => assert_eq!(self.management.version().to_string(), *number),
            ["pending", user] => {
                let actual = self.management.pending_commit();
                let actual = actual.map_or("nobody", |pending| pending.author.user.as_str());
                assert_eq!(actual, *user);
            }
            ["told", expected @ ..] => {
                let taken = self.management.take_notifications();
                self.notifications.extend(taken.iter().map(|notice| format!("{notice:?}")));
                let matches_all = |notice: &String| expected.iter().all(|word| notice.contains(word));
                assert!(self.notifications.iter().any(matches_all), "{:#?}", self.notifications);
                self.notifications.clear();
            }
            [who, what, rest @ ..] => {
                let ended = self.perform(who, what, rest);
                match (ended, error) {
                    (Ok(()), None) => {}
                    (Err(found), Some(wanted)) => {
                        let mut wanted = wanted.split_whitespace();
                        assert_eq!(Some(found.tag.name()), wanted.next(), "{found:?}");
                        let text = format!("{found:?}");
                        assert!(wanted.all(|word| text.contains(word)), "{text}");
                    }
                    (ended, wanted) => panic!("{ended:?}, wanted {wanted:?}"),
                }
            }
            other => panic!("{other:?}"),
        }
    }
}

#[test_case(include_str!("scenarios/commits.txt"); "commits")]
#[test_case(include_str!("scenarios/two-operators.txt"); "two operators")]
#[test_case(include_str!("scenarios/confirmed.txt"); "confirmed commits")]
#[test_case(include_str!("scenarios/locks.txt"); "locks")]
#[test_case(include_str!("scenarios/none-left.txt"); "none left")]
#[test_case(include_str!("scenarios/history.txt"); "history")]
#[test_case(include_str!("scenarios/disk.txt"); "disk")]
#[test_case(include_str!("scenarios/access.txt"); "access")]
#[test_case(include_str!("scenarios/sessions.txt"); "sessions")]
fn scenario(text: &str) {
    let schema = Arc::new(Schema::published());
    let mut scenario = Scenario {
        management: management(&schema, FaultyDisk::default()),
        schema,
        now: START,
        context: ValidationContext::default(),
        sessions: BTreeMap::new(),
        notifications: Vec::new(),
    };
    for (number, line) in text.lines().enumerate() {
        if !line.trim().is_empty() && !line.starts_with('#') {
            println!("{}: {line}", number + 1);
            scenario.run_line(line);
        }
    }
}
