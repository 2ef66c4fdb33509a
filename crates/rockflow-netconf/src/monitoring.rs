//! The server's hello, its capabilities and its monitoring data `<netconf-state>` (RFC 6022).

use crate::ns;
use crate::xml::Writer;
use rockflow_management::{timestamp, Datastore, Protocol};
use rockflow_management_service::ManagementService;
use rockflow_yang::Schema;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Event counters over all sessions since the server started.
#[derive(Debug, Default)]
pub struct Counts {
    /// Client hellos that were rejected.
    pub bad_hellos: AtomicU64,
    /// Sessions that were opened.
    pub sessions: AtomicU64,
    /// Sessions that were refused, or ended for any reason other than `<close-session>`, `<kill-session>` or
    /// the idle limit.
    pub dropped: AtomicU64,
    /// Messages received after the hello.
    pub rpcs: AtomicU64,
    /// Messages that are not a valid `<rpc>`.
    pub bad_rpcs: AtomicU64,
    /// Replies that contain errors, except those to messages that are not an `<rpc>`.
    pub errors: AtomicU64,
    /// Notifications that were taken from the queue to be sent.
    pub notifications: AtomicU64,
}

impl Counts {
    /// Increments a counter.
    pub fn add(count: &AtomicU64) {
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns the capabilities in the order in which the hello lists them. `separate_startup` tells whether
/// there is a startup datastore.
pub fn capabilities(schema: &Schema, separate_startup: bool) -> Vec<String> {
    let protocol_capabilities = [
        "urn:ietf:params:netconf:base:1.0",
        "urn:ietf:params:netconf:base:1.1",
        "urn:ietf:params:netconf:capability:candidate:1.0",
        "urn:ietf:params:netconf:capability:confirmed-commit:1.1",
        "urn:ietf:params:netconf:capability:rollback-on-error:1.0",
        "urn:ietf:params:netconf:capability:validate:1.1",
        "urn:ietf:params:netconf:capability:notification:1.0",
        "urn:ietf:params:netconf:capability:interleave:1.0",
        "urn:ietf:params:netconf:capability:partial-lock:1.0",
        "urn:ietf:params:netconf:capability:with-defaults:1.0?basic-mode=explicit&also-supported=report-all,\
         report-all-tagged,trim",
    ];
    let mut all: Vec<String> = protocol_capabilities.iter().map(|uri| uri.to_string()).collect();
    if separate_startup {
        all.push("urn:ietf:params:netconf:capability:startup:1.0".to_string());
    }
    let modules = schema.modules().iter();
    all.extend(
        modules.map(|module| {
            format!("{}?module={}&revision={}", module.namespace, module.name, module.revision)
        }),
    );
    let standard_modules = [
        (ns::MONITORING, "ietf-netconf-monitoring", "2010-10-04"),
        (ns::NMDA, "ietf-netconf-nmda", "2019-01-07"),
        (ns::SUBSCRIBED, "ietf-subscribed-notifications", "2019-09-09"),
        (ns::PUSH, "ietf-yang-push", "2019-09-09"),
        (ns::WITH_DEFAULTS, "ietf-netconf-with-defaults", "2011-06-01"),
    ];
    all.extend(
        standard_modules.map(|(ns, name, revision)| format!("{ns}?module={name}&revision={revision}")),
    );
    all
}

/// Writes the server's hello. `session` is the id assigned to the session.
pub fn hello(schema: &Schema, separate_startup: bool, session: u32) -> String {
    let mut out = Writer::new();
    out.open("hello", &[("xmlns", ns::BASE)]);
    write_capabilities(schema, separate_startup, &mut out);
    out.leaf("session-id", &[], &session.to_string());
    out.close("hello");
    out.finish()
}

/// Writes `<netconf-state>` with those of its child containers (RFC 6022, section 2.1) whose name
/// `is_selected` accepts. `started` is the server's start time since the Unix epoch.
pub fn netconf_state(
    service: &ManagementService,
    counts: &Counts,
    started: Duration,
    is_selected: &dyn Fn(&str) -> bool,
) -> String {
    let separate_startup = service.inspect(|datastores| datastores.has_separate_startup());
    let mut out = Writer::new();
    out.open("netconf-state", &[("xmlns", ns::MONITORING)]);
    if is_selected("capabilities") {
        write_capabilities(service.schema(), separate_startup, &mut out);
    }
    if is_selected("datastores") {
        write_datastores(service, separate_startup, &mut out);
    }
    if is_selected("schemas") {
        write_schemas(service.schema(), &mut out);
    }
    if is_selected("sessions") {
        write_sessions(service, &mut out);
    }
    if is_selected("statistics") {
        write_statistics(counts, started, &mut out);
    }
    out.close("netconf-state");
    out.finish()
}

fn write_capabilities(schema: &Schema, separate_startup: bool, out: &mut Writer) {
    out.open("capabilities", &[]);
    for capability in capabilities(schema, separate_startup) {
        out.leaf("capability", &[], &capability);
    }
    out.close("capabilities");
}

fn write_datastores(service: &ManagementService, separate_startup: bool, out: &mut Writer) {
    out.open("datastores", &[]);
    let locks: Vec<_> = service.inspect(|datastores| datastores.locks().collect());
    for datastore in [Datastore::Running, Datastore::Candidate, Datastore::Startup] {
        if datastore == Datastore::Startup && !separate_startup {
            continue;
        }
        out.open("datastore", &[]);
        out.leaf("name", &[], datastore.name());
        if let Some(lock) = locks.iter().find(|lock| lock.datastore == datastore) {
            out.open("locks", &[]);
            out.open("global-lock", &[]);
            out.leaf("locked-by-session", &[], &lock.session.0.to_string());
            out.leaf("locked-time", &[], &timestamp::format(lock.since));
            out.close("global-lock");
            out.close("locks");
        }
        out.close("datastore");
    }
    out.close("datastores");
}

fn write_schemas(schema: &Schema, out: &mut Writer) {
    out.open("schemas", &[]);
    for module in schema.modules() {
        out.open("schema", &[]);
        out.leaf("identifier", &[], &module.name);
        out.leaf("version", &[], &module.revision);
        out.leaf("format", &[], "yang");
        out.leaf("namespace", &[], &module.namespace);
        out.leaf("location", &[], "NETCONF");
        out.close("schema");
    }
    out.close("schemas");
}

fn write_sessions(service: &ManagementService, out: &mut Writer) {
    out.open("sessions", &[]);
    let sessions: Vec<_> = service.inspect(|datastores| datastores.sessions().collect());
    for session in &sessions {
        let operator = &session.operator;
        if operator.protocol == Protocol::Gnmi {
            continue;
        }
        out.open("session", &[]);
        out.leaf("session-id", &[], &session.id.0.to_string());
        out.leaf("transport", &[], operator.protocol.name());
        out.leaf("username", &[], &operator.user);
        out.leaf("source-host", &[], &operator.source);
        out.leaf("login-time", &[], &timestamp::format(session.since));
        out.close("session");
    }
    out.close("sessions");
}

fn write_statistics(counts: &Counts, started: Duration, out: &mut Writer) {
    out.open("statistics", &[]);
    out.leaf("netconf-start-time", &[], &timestamp::format(started));
    let all = [
        ("in-bad-hellos", &counts.bad_hellos),
        ("in-sessions", &counts.sessions),
        ("dropped-sessions", &counts.dropped),
        ("in-rpcs", &counts.rpcs),
        ("in-bad-rpcs", &counts.bad_rpcs),
        ("out-rpc-errors", &counts.errors),
        ("out-notifications", &counts.notifications),
    ];
    for (name, count) in all {
        out.leaf(name, &[], &count.load(Ordering::Relaxed).to_string());
    }
    out.close("statistics");
}
