//! The audit log: who changed what, when and from where. Each commit is one line of JSON, logged under the
//! target `audit` and also appended to a file if the operator's file names one.

use rockflow_management::{timestamp, Commit};
use rockflow_yang::{Change, Schema};
use serde_json::{json, Value};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;
use tracing::{error, info};

/// Maximum number of changes listed in one line; the line gives the number of further ones.
const MAX_NAMED_CHANGES: usize = 200;

/// The audit file can't be opened for appending.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
pub struct OpenAuditError {
    path: PathBuf,
    source: io::Error,
}

/// Writes the audit log.
pub struct Audit {
    file: Option<File>,
}

impl Audit {
    /// Opens the audit log. If a path is given, lines are also appended to that file; if it does not exist,
    /// it is created with access for its owner only.
    ///
    /// # Errors
    /// Fails if the file can't be opened.
    pub fn open(path: Option<&Path>) -> Result<Audit, OpenAuditError> {
        Ok(Audit { file: path.map(open_file).transpose()? })
    }

    /// Writes the line for a commit. A failed write to the file is only logged; the commit remains in effect.
    pub fn write(&mut self, schema: &Schema, commit: &Commit) {
        let line = audit_line(schema, commit);
        info!(target: "audit", line = %line, "commit");
        if let Some(file) = &mut self.file {
            if let Err(error) = writeln!(file, "{line}") {
                error!(%error, version = commit.version, "audit line not written");
            }
        }
    }
}

fn open_file(path: &Path) -> Result<File, OpenAuditError> {
    let mut options = OpenOptions::new();
    options.create(true).append(true);
    #[cfg(unix)]
    {
        use std::os::unix::fs::OpenOptionsExt;
        options.mode(0o600);
    }
    options.open(path).map_err(|source| OpenAuditError { path: path.to_path_buf(), source })
}

fn audit_line(schema: &Schema, commit: &Commit) -> Value {
    let named = |change: &Change| {
        json!({
            "path": change.path.to_text(schema),
            "before": change.before.as_ref().map(ToString::to_string),
            "after": change.after.as_ref().map(ToString::to_string),
        })
    };
    let changes: Vec<_> = commit.changes.iter().take(MAX_NAMED_CHANGES).map(named).collect();
    json!({
        "time": timestamp::format(commit.time),
        "version": commit.version,
        "user": commit.operator.user,
        "protocol": commit.operator.protocol.name(),
        "source": commit.operator.source,
        "comment": commit.comment,
        "changes": changes,
        "more": commit.changes.len().saturating_sub(MAX_NAMED_CHANGES),
    })
}
