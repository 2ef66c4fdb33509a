//! Checks the literal text of names that appear on the wire, in snapshots or in the log.

use rockflow_management::{ConfirmedCommitEvent, Datastore, Protocol, SessionEndReason};

#[test]
fn names_events_of_confirmed_commits_as_rfc_6470_does() {
    let events = [
        ConfirmedCommitEvent::Start,
        ConfirmedCommitEvent::Extend,
        ConfirmedCommitEvent::Complete,
        ConfirmedCommitEvent::Cancel,
        ConfirmedCommitEvent::Timeout,
    ];
    let names = events.map(ConfirmedCommitEvent::name);
    assert_eq!(names, ["start", "extend", "complete", "cancel", "timeout"]);
}

#[test]
fn names_reasons_of_session_ends_as_rfc_6470_does() {
    let reasons = [
        SessionEndReason::Closed,
        SessionEndReason::Killed,
        SessionEndReason::Dropped,
        SessionEndReason::Timeout,
    ];
    assert_eq!(reasons.map(SessionEndReason::name), ["closed", "killed", "dropped", "timeout"]);
}

#[test]
fn names_protocols_and_datastores_as_the_model_does() {
    let protocols = [Protocol::NetconfSsh, Protocol::NetconfTls, Protocol::Gnmi, Protocol::System];
    assert_eq!(protocols.map(Protocol::name), ["netconf-ssh", "netconf-tls", "gnmi", "system"]);
    assert_eq!(protocols.map(|protocol| Protocol::from_name(protocol.name())), protocols);
    let datastores = [Datastore::Running, Datastore::Candidate, Datastore::Startup];
    assert_eq!(datastores.map(Datastore::name), ["running", "candidate", "startup"]);
}
