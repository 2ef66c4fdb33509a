//! What a control node says in the log of entries and members.

use rockflow_dissemination::{Output, SequenceNumber, StreamId};
use rockflow_transport::dissemination::TransportStatus;
use std::sync::atomic::{AtomicBool, Ordering};
use tracing::{info, warn};

/// Logs what the node has found out.
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
            "a later life of this control node was known; begun again above it"
        ),
        Output::Send { .. } | Output::Purge { .. } | Output::Configure { .. } => {}
    }
}

/// Logs one line while a member is missing, lags, or rejects a setting, and one line when none does any more.
/// `has_trouble` is whether the previous summary named a member.
pub(super) fn log_summary(status: &TransportStatus, has_problems: &AtomicBool) {
    let Some(control) = &status.node.control else { return };
    let is_converged = control.present >= control.expected_members
        && control.lagging.is_empty()
        && control.rejected.is_empty();
    let had_problems = has_problems.swap(!is_converged, Ordering::Relaxed);
    if is_converged {
        if had_problems {
            info!(told = control.expected_members, "all members are there and go by what was published");
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

/// An entry as it is named in the log.
fn entry_name(stream: &StreamId, number: SequenceNumber) -> String {
    format!("{:?}@{}/{}", stream.kind, stream.control.0, number.0)
}
