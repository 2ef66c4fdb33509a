//! Log lines of a control node on replicated entries and on the state of members.

use rockflow_dissemination::{Output, SequenceNumber, StreamId};
use rockflow_transport::dissemination::TransportStatus;
use std::sync::atomic::{AtomicBool, Ordering};
use tracing::{info, warn};

/// Logs the outputs that concern control: an entry that all members have applied, and a superseded incarnation.
pub(super) fn log_output(output: Output) {
    match output {
        Output::ReplicatedToAll { stream, number, after } => info!(
            control = stream.control.0,
            kind = ?stream.kind,
            number = number.0,
            seconds = after.as_secs_f64(),
            incarnation = stream.incarnation.0,
            "everywhere"
        ),
        Output::IncarnationSuperseded { incarnation } => warn!(
            incarnation = incarnation.0,
            "a later incarnation of this control node was known; begun again above it"
        ),
        Output::Send { .. } | Output::Purge { .. } | Output::Configure { .. } => {}
    }
}

/// Logs a warning if a member is missing, lags, or rejects a setting, and one line when all of this is over.
/// `has_problems` holds whether the previous summary was a warning, and is updated.
pub(super) fn log_summary(status: &TransportStatus, has_problems: &AtomicBool) {
    let Some(control) = &status.node.control else { return };
    let is_converged = control.present >= control.expected_members
        && control.lagging.is_empty()
        && control.rejected.is_empty();
    let had_problems = has_problems.swap(!is_converged, Ordering::Relaxed);
    if is_converged {
        if had_problems {
            info!(
                told = control.expected_members,
                "all members are there and have applied what was published"
            );
        }
        return;
    }
    let lagging = control.lagging.iter();
    let lagging = lagging.map(|(name, stream, number)| format!("{name}:{}", entry_name(stream, *number)));
    let rejected = control.rejected.iter().map(|(stream, number, reason, members)| {
        format!("{}:{reason:?} at {members}", entry_name(stream, *number))
    });
    warn!(
        told = control.expected_members,
        present = control.present,
        missing = control.missing.join(" "),
        behind = lagging.collect::<Vec<_>>().join(" "),
        refused = rejected.collect::<Vec<_>>().join(" "),
        publishing = control.is_publishing,
        faults = status.traffic.faults.values().sum::<u64>(),
        "not in force everywhere"
    );
}

/// How the log names an entry: the kind of its stream, its control node, and its sequence number.
fn entry_name(stream: &StreamId, number: SequenceNumber) -> String {
    format!("{:?}@{}/{}", stream.kind, stream.control.0, number.0)
}
