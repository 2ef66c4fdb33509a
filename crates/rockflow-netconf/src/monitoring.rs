//! What the server tells of itself: its capabilities, its modules and the state of RFC 6022.

use crate::ns;
use crate::xml::Writer;
use rockflow_management::{timestamp, Datastore, Protocol};
use rockflow_management_service::ManagementService;
use rockflow_yang::Schema;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Counts since the start, over all sessions.
#[derive(Debug, Default)]
pub struct Counts {
    pub bad_hellos: AtomicU64,
    pub sessions: AtomicU64,
    pub dropped: AtomicU64,
    pub rpcs: AtomicU64,
    pub bad_rpcs: AtomicU64,
    pub errors: AtomicU64,
    pub notifications: AtomicU64,
}

impl Counts {
    pub fn add(count: &AtomicU64) {
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Capabilities in the order in which they are told.
pub fn capabilities(schema: &Schema, separate_startup: bool) -> Vec<String> {
    let plain = [
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
    let mut all: Vec<String> = plain.iter().map(|one| one.to_string()).collect();
    if separate_startup {
        all.push("urn:ietf:params:netconf:capability:startup:1.0".to_string());
    }
    let modules = schema.modules().iter();
    all.extend(
        modules.map(|module| {
            format!("{}?module={}&revision={}", module.namespace, module.name, module.revision)
        }),
    );
    let known = [
        (ns::MONITORING, "ietf-netconf-monitoring", "2010-10-04"),
        (ns::NMDA, "ietf-netconf-nmda", "2019-01-07"),
        (ns::SUBSCRIBED, "ietf-subscribed-notifications", "2019-09-09"),
        (ns::PUSH, "ietf-yang-push", "2019-09-09"),
        (ns::WITH_DEFAULTS, "ietf-netconf-with-defaults", "2011-06-01"),
    ];
    all.extend(known.map(|(ns, name, revision)| format!("{ns}?module={name}&revision={revision}")));
    all
}

pub fn hello(schema: &Schema, separate_startup: bool, session: u32) -> String {
    let mut out = Writer::new();
    out.open("hello", &[("xmlns", ns::BASE)]);
    out.open("capabilities", &[]);
    capabilities(schema, separate_startup).iter().for_each(|one| out.leaf("capability", &[], one));
    out.close("capabilities");
    out.leaf("session-id", &[], &session.to_string());
    out.close("hello");
    out.finish()
}

/// `<netconf-state>`, of which `wanted` says which parts (RFC 6022, section 2.1).
pub fn netconf_state(
    desk: &ManagementService,
    counts: &Counts,
    started: Duration,
    wanted: &dyn Fn(&str) -> bool,
) -> String {
    let schema = desk.schema();
    let mut out = Writer::new();
    out.open("netconf-state", &[("xmlns", ns::MONITORING)]);
    let separate = desk.inspect(|all| all.has_separate_startup());
    if wanted("capabilities") {
        out.open("capabilities", &[]);
        capabilities(schema, separate).iter().for_each(|one| out.leaf("capability", &[], one));
        out.close("capabilities");
    }
    if wanted("datastores") {
        out.open("datastores", &[]);
        let locks: Vec<_> = desk.inspect(|all| all.locks().collect());
        for which in [Datastore::Running, Datastore::Candidate, Datastore::Startup] {
            if which == Datastore::Startup && !separate {
                continue;
            }
            out.open("datastore", &[]);
            out.leaf("name", &[], which.name());
            if let Some(lock) = locks.iter().find(|lock| lock.datastore == which) {
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
    if wanted("schemas") {
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
    if wanted("sessions") {
        out.open("sessions", &[]);
        let sessions: Vec<_> = desk.inspect(|all| all.sessions().collect());
        for session in sessions.iter().filter(|session| session.operator.protocol != Protocol::Gnmi) {
            out.open("session", &[]);
            out.leaf("session-id", &[], &session.id.0.to_string());
            out.leaf("transport", &[], session.operator.protocol.name());
            out.leaf("username", &[], &session.operator.user);
            out.leaf("source-host", &[], &session.operator.source);
            out.leaf("login-time", &[], &timestamp::format(session.since));
            out.close("session");
        }
        out.close("sessions");
    }
    if wanted("statistics") {
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
    out.close("netconf-state");
    out.finish()
}
