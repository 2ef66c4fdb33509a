//! What lasts: the configuration in force, the startup one, the history and who said what, as one JSON text for
//! a snapshot. Names are the model's, so that a later program reads what an earlier one wrote.

use crate::words::{Commit, Operator, Origin, Protocol};
use rockflow_yang::{data, json, Change, DataTree, NodeScope, Path, Scalar, Schema};
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The form of the payload, for the store's head.
pub const VERSION: u16 = 1;
/// The largest payload that is written and read.
pub const MOST: usize = 16 * 1024 * 1024;

/// A confirmed commit that was pending when the record was written.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    pub version: u64,
    pub author: String,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    pub running: DataTree,
    pub startup: DataTree,
    pub version: u64,
    /// The greatest number given to a commit, in force or not.
    pub used: u64,
    pub trial: Option<Trial>,
    pub history: VecDeque<Commit>,
    pub origins: BTreeMap<Path, Origin>,
}

impl Record {
    pub fn write(&self, schema: &Schema) -> Vec<u8> {
        let text = |value: &Option<Scalar>| value.as_ref().map(Scalar::to_string);
        let change =
            |change: &Change| json!([change.path.to_text(schema), text(&change.before), text(&change.after)]);
        let commit = |commit: &Commit| {
            json!({
                "version": commit.version, "user": commit.operator.user, "protocol": commit.operator.protocol.name(),
                "source": commit.operator.source, "time": millis(commit.time), "comment": commit.comment,
                "changes": commit.changes.iter().map(change).collect::<Vec<_>>(),
            })
        };
        let origin = |(path, origin): (&Path, &Origin)| {
            json!([path.to_text(schema), origin.author, origin.version, millis(origin.time)])
        };
        let value = json!({
            "version": self.version,
            "used": self.used,
            "trial": self.trial.as_ref().map(|trial| json!([trial.version, trial.author])),
            "running": json::write(schema, &self.running),
            "startup": json::write(schema, &self.startup),
            "history": self.history.iter().map(commit).collect::<Vec<_>>(),
            "origins": self.origins.iter().map(origin).collect::<Vec<_>>(),
        });
        value.to_string().into_bytes()
    }

    /// Strict as to the configuration: half of one is none. What tells of the past is left out, with a
    /// complaint, where the model no longer knows it.
    pub fn read(schema: &Schema, bytes: &[u8]) -> Result<(Record, Vec<String>), String> {
        let value: Value = serde_json::from_slice(bytes).map_err(|what| what.to_string())?;
        let number = |value: &Value, key: &str| {
            value.get(key).and_then(Value::as_u64).ok_or_else(|| format!("{key} is no number"))
        };
        let tree = |key: &str| {
            let value = value.get(key).unwrap_or(&Value::Null);
            let fields = json::read(schema, None, value, NodeScope::ConfigOnly);
            let fields = fields.map_err(|error| error.to_string())?;
            data::check_constraints(schema, &fields, &Path::default()).map_err(|what| what.to_string())?;
            Ok::<_, String>(fields)
        };
        let mut record = Record {
            running: tree("running").map_err(|what| format!("running: {what}"))?,
            startup: tree("startup").map_err(|what| format!("startup: {what}"))?,
            version: number(&value, "version")?,
            used: number(&value, "used")?,
            ..Record::default()
        };
        if let Some(trial) = value.get("trial").and_then(Value::as_array) {
            let author = trial.get(1).and_then(Value::as_str).unwrap_or_default().to_string();
            let version = trial.first().and_then(Value::as_u64).unwrap_or(record.used);
            record.trial = Some(Trial { version, author });
        }
        let mut complaints = Vec::new();
        let list = |key: &str| value.get(key).and_then(Value::as_array).cloned().unwrap_or_default();
        for entry in list("history") {
            match commit(schema, &entry) {
                Some(commit) => record.history.push_back(commit),
                None => {
                    // Guards against a way back that leaves one of its steps out.
                    complaints.push(format!("history up to {} left out", entry["version"]));
                    record.history.clear();
                }
            }
        }
        for entry in list("origins") {
            let path = entry.get(0).and_then(Value::as_str).and_then(|text| named(schema, text));
            let Some(path) = path else { continue };
            let author = entry.get(1).and_then(Value::as_str).unwrap_or_default().to_string();
            let version = entry.get(2).and_then(Value::as_u64).unwrap_or_default();
            let time = Duration::from_millis(entry.get(3).and_then(Value::as_u64).unwrap_or_default());
            record.origins.insert(path, Origin { author, version, time });
        }
        Ok((record, complaints))
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

fn commit(schema: &Schema, entry: &Value) -> Option<Commit> {
    let text = |key: &str| entry.get(key).and_then(Value::as_str).map(str::to_string);
    let changes = entry.get("changes")?.as_array()?.iter().map(|change| {
        let path = named(schema, change.get(0)?.as_str()?)?;
        let of = schema.type_of(path.node()?)?;
        let side = |at: usize| match change.get(at)? {
            Value::Null => Some(None),
            value => Some(Some(of.parse(value.as_str()?).ok()?)),
        };
        Some(Change { path, before: side(1)?, after: side(2)? })
    });
    let changes: Option<Vec<_>> = changes.collect();
    Some(Commit {
        version: entry.get("version")?.as_u64()?,
        operator: Operator {
            user: text("user")?,
            protocol: Protocol::named(&text("protocol")?),
            source: text("source")?,
        },
        time: Duration::from_millis(entry.get("time")?.as_u64()?),
        comment: text("comment")?,
        changes: changes?,
    })
}

fn named(schema: &Schema, text: &str) -> Option<Path> {
    Path::parse(schema, text).ok()
}
