//! Runs scenario files against the datastores, on a virtual clock and a simulated disk. Each line of a file names a
//! session and the request that it makes, or is one of the lines without a session:
//!
//!     host NAME cache|parent|origin LOCATION [draining]   adds an entry to the endpoint list
//!     rules JSON                       the owner replaces /router/access, in a session that ends at once
//!     a opens [USER]                   opens session a; the user is named like the session unless one is given
//!     a marks HOST [gone] [force] [reason=WORD] [expires=SECONDS]    sets an override in the candidate
//!     a unmarks HOST                   removes an override from the candidate; no error where there is none
//!     a edits OP PATH [JSON]           makes any other edit of the candidate
//!     a commits [within=S] [persist=ID] [id=ID]
//!     a cancels [id=ID] | a discards | a validates | a closes | a kills b
//!     a subscribes                     has a subscription from now on
//!     a locks|unlocks running|candidate|startup
//!     a partially-locks PATH | a partially-unlocks NUMBER
//!     a sets OP PATH [JSON] [expected=N]      changes running in one transaction
//!     a drains HOST [force] | a undrains HOST | a rolls-back N [expected=N]
//!     after SECONDS                    advances the clock and handles the deadlines that have passed
//!     restart                          restarts the process after a crash that loses all unsynced data
//!     disk fails | disk works          whether the next saves fail or succeed
//!     marked HOST=STATE ... | marked nothing     checks the overrides in running, in the order of host names
//!     version N | pending USER | pending nobody  checks the commit in force, or who made the pending commit
//!     notified WORD...                 checks that a notification since the last such line contains all words
//!
//! A line that ends in `! TAG WORD...` must fail with that tag, and the debug text of the error must contain all words.

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

fn edit_operation(name: &str) -> EditOperation {
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
        let is_keyless = path.0.last().unwrap().keys.is_empty();
        let value = words.get(2).filter(|word| !word.contains('=')).map(|text| {
            let value: Value = serde_json::from_str(text).unwrap();
            if is_keyless {
                json::read_data(&self.schema, node, &value, NodeScope::ConfigAndState).unwrap()
            } else {
                DataNode::Container(
                    json::read(&self.schema, Some(node), &value, NodeScope::ConfigAndState).unwrap(),
                )
            }
        });
        Edit { path, op: edit_operation(words[0]), value }
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

    fn perform(&mut self, session: &str, request: &str, words: &[&str]) -> Result<(), ManagementError> {
        let now = self.now;
        let option = |name: &str| words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
        let number = |name: &str| option(name).map(|word| word.parse::<u64>().unwrap());
        if request == "opens" {
            let user = words.first().unwrap_or(&session).to_string();
            let operator = Operator { user, protocol: Protocol::NetconfSsh, source: "127.0.0.1".into() };
            let id = self.management.open_session(now, operator)?;
            self.sessions.insert(session.into(), id);
            return Ok(());
        }
        let id = self.sessions[session];
        self.management.record_activity(now, id);
        let parse_datastore = |word: &str| match word {
            "running" => Datastore::Running,
            "startup" => Datastore::Startup,
            _ => Datastore::Candidate,
        };
        let edit = |scenario: &mut Scenario, edits: &[Edit]| {
            let result = scenario.management.edit_config(
                id,
                Datastore::Candidate,
                edits,
                ErrorOption::Rollback,
                EditMode::Apply,
            );
            result.map_err(|errors| errors[0].clone())
        };
        match request {
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
            "subscribes" => {
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
            "partially-locks" => {
                let pattern = Pattern::parse(&self.schema, words[0]).unwrap();
                self.management.partial_lock(id, &[pattern]).map(|_| ())
            }
            "partially-unlocks" => self.management.partial_unlock(id, words[0].parse().unwrap()),
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
                self.run_line("rules-session opens owner");
                let edit = self.edit(&["replace", "/router/access", rules]);
                let id = self.sessions["rules-session"];
                self.management.set(self.now, id, &[edit], None, "", &self.context).unwrap();
                self.run_line("rules-session closes");
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
            ["notified", expected @ ..] => {
                let taken = self.management.take_notifications();
                self.notifications.extend(taken.iter().map(|notification| format!("{notification:?}")));
                let matches_all = |text: &String| expected.iter().all(|word| text.contains(word));
                assert!(self.notifications.iter().any(matches_all), "{:#?}", self.notifications);
                self.notifications.clear();
            }
            [session, request, rest @ ..] => {
                let result = self.perform(session, request, rest);
                match (result, error) {
                    (Ok(()), None) => {}
                    (Err(error), Some(expected)) => {
                        let mut expected_words = expected.split_whitespace();
                        assert_eq!(Some(error.tag.name()), expected_words.next(), "{error:?}");
                        let text = format!("{error:?}");
                        assert!(expected_words.all(|word| text.contains(word)), "{text}");
                    }
                    (result, expected) => panic!("{result:?}, expected {expected:?}"),
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
