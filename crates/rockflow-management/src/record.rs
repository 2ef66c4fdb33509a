//! The state that survives a restart: the configurations, the history and the origin of each value, as one JSON text
//! that is the payload of a snapshot. Paths and values are written with the model's names, so that a later version of
//! the program can read what an earlier one wrote.

use crate::error::{RestoreError, RestoreWarning};
use crate::history::{Commit, Origin};
use crate::session::{Operator, Protocol};
use rockflow_yang::{data, json, Change, DataTree, NodeScope, Path, Scalar, Schema};
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The version of the payload's format, which the header of a snapshot names.
pub const FORMAT_VERSION: u16 = 1;
/// The largest payload that is written or read, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024 * 1024;

/// A confirmed commit that was pending when the record was written.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingRecord {
    /// The number of the commit.
    pub version: u64,
    /// The user who made the commit.
    pub author: String,
}

/// The stored state of the datastores.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// The configuration in force or, while a commit is pending, the one before it.
    pub running: DataTree,
    /// The startup configuration; empty where it is not separate.
    pub startup: DataTree,
    /// The number of the commit that made `running`.
    pub version: u64,
    /// The greatest number given to a commit, in force or not.
    pub last_used_version: u64,
    /// The pending confirmed commit, which a restart reverts.
    pub pending: Option<PendingRecord>,
    /// Past commits, oldest first.
    pub history: VecDeque<Commit>,
    /// The commit that last set each value of `running`.
    pub origins: BTreeMap<Path, Origin>,
}

impl Record {
    /// Encodes the record as the payload of a snapshot.
    pub fn write(&self, schema: &Schema) -> Vec<u8> {
        let pending = self.pending.as_ref().map(|pending| json!([pending.version, pending.author]));
        let history: Vec<_> = self.history.iter().map(|commit| write_commit(schema, commit)).collect();
        let origins: Vec<_> =
            self.origins.iter().map(|(path, origin)| write_origin(schema, path, origin)).collect();
        let value = json!({
            "version": self.version,
            "used": self.last_used_version,
            "trial": pending,
            "running": json::write(schema, &self.running),
            "startup": json::write(schema, &self.startup),
            "history": history,
            "origins": origins,
        });
        value.to_string().into_bytes()
    }

    /// Decodes a payload. Where a commit of the history can't be read, it and all earlier ones are dropped with a
    /// warning.
    ///
    /// # Errors
    /// Fails where a configuration or a number can't be read, since a configuration must not be restored in part.
    pub fn read(schema: &Schema, payload: &[u8]) -> Result<(Record, Vec<RestoreWarning>), RestoreError> {
        let value: Value = serde_json::from_slice(payload)?;
        let mut record = Record {
            running: read_configuration(schema, &value, "running")?,
            startup: read_configuration(schema, &value, "startup")?,
            version: read_number(&value, "version")?,
            last_used_version: read_number(&value, "used")?,
            ..Record::default()
        };
        record.pending = read_pending(&value, record.last_used_version);
        let mut warnings = Vec::new();
        for entry in elements(&value, "history") {
            match read_commit(schema, entry) {
                Some(commit) => record.history.push_back(commit),
                None => {
                    // A rollback undoes commits one by one from the newest, so it must not skip one in between.
                    warnings.push(RestoreWarning::HistoryLeftOut { version: entry["version"].to_string() });
                    record.history.clear();
                }
            }
        }
        record.origins = elements(&value, "origins").filter_map(|entry| read_origin(schema, entry)).collect();
        Ok((record, warnings))
    }
}

fn write_commit(schema: &Schema, commit: &Commit) -> Value {
    let text = |value: &Option<Scalar>| value.as_ref().map(Scalar::to_string);
    let change =
        |change: &Change| json!([change.path.to_text(schema), text(&change.before), text(&change.after)]);
    let changes: Vec<_> = commit.changes.iter().map(change).collect();
    json!({
        "version": commit.version,
        "user": commit.operator.user,
        "protocol": commit.operator.protocol.name(),
        "source": commit.operator.source,
        "time": millis(commit.time),
        "comment": commit.comment,
        "changes": changes,
    })
}

fn write_origin(schema: &Schema, path: &Path, origin: &Origin) -> Value {
    json!([path.to_text(schema), origin.author, origin.version, millis(origin.time)])
}

fn read_configuration(schema: &Schema, value: &Value, key: &'static str) -> Result<DataTree, RestoreError> {
    let tree = value.get(key).unwrap_or(&Value::Null);
    let fields = json::read(schema, None, tree, NodeScope::ConfigOnly)
        .map_err(|source| RestoreError::Configuration { key, source })?;
    data::check_constraints(schema, &fields, &Path::default())
        .map_err(|source| RestoreError::Constraint { key, source })?;
    Ok(fields)
}

fn read_number(value: &Value, key: &'static str) -> Result<u64, RestoreError> {
    value.get(key).and_then(Value::as_u64).ok_or(RestoreError::NotANumber { key })
}

fn read_pending(value: &Value, last_used_version: u64) -> Option<PendingRecord> {
    let pending = value.get("trial").and_then(Value::as_array)?;
    let version = pending.first().and_then(Value::as_u64).unwrap_or(last_used_version);
    let author = pending.get(1).and_then(Value::as_str).unwrap_or_default().to_string();
    Some(PendingRecord { version, author })
}

fn read_commit(schema: &Schema, entry: &Value) -> Option<Commit> {
    let text = |key: &str| entry.get(key).and_then(Value::as_str).map(str::to_string);
    let changes = entry.get("changes")?.as_array()?;
    let changes: Option<Vec<_>> = changes.iter().map(|change| read_change(schema, change)).collect();
    let operator = Operator {
        user: text("user")?,
        protocol: Protocol::from_name(&text("protocol")?),
        source: text("source")?,
    };
    Some(Commit {
        version: entry.get("version")?.as_u64()?,
        operator,
        time: Duration::from_millis(entry.get("time")?.as_u64()?),
        comment: text("comment")?,
        changes: changes?,
    })
}

fn read_change(schema: &Schema, change: &Value) -> Option<Change> {
    let path = Path::parse(schema, change.get(0)?.as_str()?).ok()?;
    let leaf_type = schema.type_of(path.node()?)?;
    let value_at = |index: usize| match change.get(index)? {
        Value::Null => Some(None),
        value => Some(Some(leaf_type.parse(value.as_str()?).ok()?)),
    };
    let (before, after) = (value_at(1)?, value_at(2)?);
    Some(Change { path, before, after })
}

fn read_origin(schema: &Schema, entry: &Value) -> Option<(Path, Origin)> {
    let path = Path::parse(schema, entry.get(0)?.as_str()?).ok()?;
    let number = |index: usize| entry.get(index).and_then(Value::as_u64).unwrap_or_default();
    let author = entry.get(1).and_then(Value::as_str).unwrap_or_default().to_string();
    let time = Duration::from_millis(number(3));
    Some((path, Origin { author, version: number(2), time }))
}

/// The elements of the JSON array under the key; none where there is no array.
fn elements<'a>(value: &'a Value, key: &str) -> impl Iterator<Item = &'a Value> {
    value.get(key).and_then(Value::as_array).into_iter().flatten()
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
