//! Plays a scenario against the datastores, on a virtual clock and a disk in memory. A line is who and what:
//!
//!     host NAME cache|parent|origin LOCATION [draining]   what the board lists
//!     rules JSON                       what the owner commits under /router/access, ahead of the rest
//!     a opens [USER]                   a session; the user is the party's name unless told
//!     a marks HOST [gone] [force] [reason=WORD] [expires=SECONDS]    edits its candidate
//!     a unmarks HOST                   likewise; no fault where there is no mark
//!     a edits OP PATH [JSON]           any other edit of its candidate
//!     a commits [within=S] [persist=ID] [id=ID]
//!     a cancels [id=ID] | a discards | a validates | a closes | a kills b
//!     a follows                        something, from now on
//!     a locks|unlocks running|candidate|startup | a holds PATH | a frees NUMBER
//!     a sets OP PATH [JSON] [expected=N]      one transaction on running
//!     a drains HOST [force] | a undrains HOST | a rolls-back N [expected=N]
//!     after SECONDS                    time passes, and what is due happens
//!     restart                          the process dies; what it synced is there
//!     disk fails | disk works          the next saves
//!     marked HOST=STATE ... | marked nothing     what running holds, in order of names
//!     version N | pending USER | pending nobody
//!     told WORD...                     a notice since the last such line holds all words
//!
//! `! TAG WORD...` at a line's end: it fails with that tag, and its message and finer tag hold the words.

use rockflow::{Readiness, Role};
use rockflow_endpoints::{AdminOverride, ListedEndpoint};
use rockflow_management::*;
use rockflow_store::faulty::{Bytes, Disk};
use rockflow_store::Store;
use rockflow_yang::{json, DataNode, Edit, EditOperation, NodeScope, Path, Pattern, Scalar, Schema};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

type Machine = Management<Store<Disk>>;
const START: Duration = Duration::from_secs(1_780_000_000);

struct Play {
    schema: Arc<Schema>,
    machine: Machine,
    now: Duration,
    around: ValidationContext,
    sessions: BTreeMap<String, SessionId>,
    notices: Vec<String>,
}

fn machine(schema: &Arc<Schema>, disk: Disk) -> Machine {
    let (store, found, _) = Store::open(disk, "config", record::VERSION, record::MOST).unwrap();
    let found = found.map(|found| found.payload);
    Management::new(START, schema.clone(), store, found.as_deref(), Some("owner".into()), false).unwrap().0
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

impl Play {
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

    fn mark(&self, host: &str, words: &[&str]) -> Vec<Edit> {
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

    fn act(&mut self, who: &str, what: &str, words: &[&str]) -> Result<(), ManagementError> {
        let now = self.now;
        let option = |name: &str| words.iter().find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
        let number = |name: &str| option(name).map(|word| word.parse::<u64>().unwrap());
        if what == "opens" {
            let user = words.first().unwrap_or(&who).to_string();
            let who_is = Operator { user, protocol: Protocol::NetconfSsh, source: "127.0.0.1".into() };
            let id = self.machine.open(now, who_is)?;
            self.sessions.insert(who.into(), id);
            return Ok(());
        }
        let id = self.sessions[who];
        self.machine.touch(now, id);
        let which = |word: &str| match word {
            "running" => Datastore::Running,
            "startup" => Datastore::Startup,
            _ => Datastore::Candidate,
        };
        let edit = |play: &mut Play, edits: &[Edit]| {
            let made =
                play.machine.edit_config(id, Datastore::Candidate, edits, ErrorOption::Rollback, false);
            made.map_err(|faults| faults[0].clone())
        };
        match what {
            "marks" => edit(self, &self.mark(words[0], &words[1..])),
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
                self.machine.commit(now, id, &confirm, "", &self.around).map(|_| ())
            }
            "cancels" => self.machine.cancel(now, id, option("id")),
            "follows" => {
                self.machine.follows(id, true);
                Ok(())
            }
            "discards" => self.machine.discard_changes(id),
            "validates" => self.machine.validate(now, id, Ok(Datastore::Candidate), &self.around),
            "closes" => {
                self.machine.close(now, id, "closed");
                Ok(())
            }
            "kills" => self.machine.kill(now, id, self.sessions[words[0]]),
            "locks" => self.machine.lock(now, id, which(words[0])),
            "unlocks" => self.machine.unlock(id, which(words[0])),
            "holds" => {
                let pattern = Pattern::parse(&self.schema, words[0]).unwrap();
                self.machine.partial_lock(id, &[pattern]).map(|_| ())
            }
            "frees" => self.machine.partial_unlock(id, words[0].parse().unwrap()),
            "sets" => {
                let edits = [self.edit(words)];
                self.machine.set(now, id, &edits, number("expected"), "", &self.around).map(|_| ())
            }
            "drains" => {
                let force = Scalar::Bool(words.contains(&"force"));
                let leaves = [("state", Scalar::text("draining")), ("force", force)];
                self.machine.mark(now, id, "drain", words[0], &leaves, &self.around).map(|_| ())
            }
            "undrains" => self.machine.mark(now, id, "undrain", words[0], &[], &self.around).map(|_| ()),
            "rolls-back" => {
                let (to, expected) = (words[0].parse().unwrap(), number("expected"));
                self.machine.rollback(now, id, to, expected, &self.around).map(|_| ())
            }
            other => panic!("{other}"),
        }
    }

    fn line(&mut self, line: &str) {
        let (line, fault) = line.split_once(" ! ").map_or((line, None), |(line, fault)| (line, Some(fault)));
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
                self.around.hosts.insert(name.to_string(), listed);
            }
            ["rules", ..] => {
                let rules = line.trim_start_matches("rules ");
                self.line("ruler opens owner");
                let edit = self.edit(&["replace", "/router/access", rules]);
                let id = self.sessions["ruler"];
                self.machine.set(self.now, id, &[edit], None, "", &self.around).unwrap();
                self.line("ruler closes");
            }
            ["after", seconds] => {
                self.now += Duration::from_secs(seconds.parse().unwrap());
                self.machine.tick(self.now);
            }
            ["restart"] => {
                let disk = self.machine.saved().disk().after_crash(0, Bytes::Synced);
                self.machine = machine(&self.schema, disk);
                self.sessions.clear();
            }
            ["disk", "fails"] => {
                let disk = self.machine.saved_mut().disk_mut();
                *disk = disk.clone().failing_at(0..1000);
            }
            ["disk", "works"] => {
                let disk = self.machine.saved_mut().disk_mut();
                *disk = disk.clone().failing_at([]);
            }
            ["marked", told @ ..] => {
                let marks = self.machine.marks();
                let state = |mark: &AdminOverride| {
                    if mark.readiness == Readiness::Gone {
                        "gone"
                    } else {
                        "draining"
                    }
                };
                let have: Vec<_> =
                    marks.iter().map(|(host, mark)| format!("{host}={}", state(mark))).collect();
                let told: Vec<_> = told.iter().filter(|word| **word != "nothing").collect();
                assert!(have.iter().eq(told.iter().copied()), "{have:?}");
            }
            ["version", number] => assert_eq!(self.machine.version().to_string(), *number),
            ["pending", user] => {
                let have = self.machine.pending().map_or("nobody", |(who, ..)| who.user.as_str());
                assert_eq!(have, *user);
            }
            ["told", told @ ..] => {
                let fresh = self.machine.take_notices();
                self.notices.extend(fresh.iter().map(|notice| format!("{notice:?}")));
                let holds = |notice: &String| told.iter().all(|word| notice.contains(word));
                assert!(self.notices.iter().any(holds), "{:#?}", self.notices);
                self.notices.clear();
            }
            [who, what, rest @ ..] => {
                let ended = self.act(who, what, rest);
                match (ended, fault) {
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
    let mut play = Play {
        machine: machine(&schema, Disk::default()),
        schema,
        now: START,
        around: ValidationContext::default(),
        sessions: BTreeMap::new(),
        notices: Vec::new(),
    };
    for (number, line) in text.lines().enumerate() {
        if !line.trim().is_empty() && !line.starts_with('#') {
            println!("{}: {line}", number + 1);
            play.line(line);
        }
    }
}
