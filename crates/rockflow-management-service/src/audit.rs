//! Who changed what, from where: one structured line a commit, in the log under the target `audit` and, where
//! the operator's file names one, appended to a file.

use rockflow_management::{timestamp, Commit};
use rockflow_yang::Schema;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use tracing::{error, info};

/// Changes that one line names; the rest is counted.
const MAX_NAMED: usize = 200;

pub struct Audit {
    file: Option<File>,
}

impl Audit {
    pub fn open(path: Option<&Path>) -> Result<Audit, String> {
        let open = |path: &Path| {
            let mut options = OpenOptions::new();
            options.create(true).append(true);
            #[cfg(unix)]
            {
                use std::os::unix::fs::OpenOptionsExt;
                options.mode(0o600);
            }
            options.open(path).map_err(|what| format!("{}: {what}", path.display()))
        };
        Ok(Audit { file: path.map(open).transpose()? })
    }

    pub fn write(&mut self, schema: &Schema, commit: &Commit) {
        let line = line(schema, commit);
        info!(target: "audit", line = %line, "commit");
        if let Some(file) = &mut self.file {
            if let Err(what) = writeln!(file, "{line}") {
                error!(%what, version = commit.version, "audit line not written");
            }
        }
    }
}

fn line(schema: &Schema, commit: &Commit) -> serde_json::Value {
    let named = commit.changes.iter().take(MAX_NAMED).map(|change| {
        serde_json::json!({
            "path": change.path.to_text(schema),
            "before": change.before.as_ref().map(ToString::to_string),
            "after": change.after.as_ref().map(ToString::to_string),
        })
    });
    serde_json::json!({
        "time": timestamp::format(commit.time),
        "version": commit.version,
        "user": commit.operator.user,
        "protocol": commit.operator.protocol.name(),
        "source": commit.operator.source,
        "comment": commit.comment,
        "changes": named.collect::<Vec<_>>(),
        "more": commit.changes.len().saturating_sub(MAX_NAMED),
    })
}
