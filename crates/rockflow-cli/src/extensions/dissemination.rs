//! The dissemination node of a dispatcher. It hands the purges and settings that it receives to the decision logic, and
//! confirms to the node those that are applied.

mod pending_settings;

use pending_settings::PendingSettings;
use rockflow::{GroupId, ObjectId, Readiness};
use rockflow_dispatcher::{Config, Purge, ServiceHandle};
use rockflow_dissemination as node;
use rockflow_dissemination::{ApplyToken, DesiredState, EntryId, Output, RejectionReason};
use rockflow_endpoints::{AdminOverride, AdminOverrides, RejectedOverride};
use rockflow_operator_config::{ControlNode, DisseminationSection, OperatorConfig};
use rockflow_transport::dissemination::{AddressScope, Command, FrameCodec, Handle, NodeOptions, WeakHandle};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{debug, enabled, info, warn, Level};

/// Whether the program is built with dissemination.
pub const BUILT: bool = true;

/// Maximum time for a stopping node to send its last datagrams.
const MAX_STOP_WAIT: Duration = Duration::from_millis(500);
/// Interval at which the end of a stopping node is polled.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Target of this module's log lines. Operators may filter by it, so it stays when the module is renamed.
const LOG_TARGET: &str = "rockflow::beside::dissemination";

/// Why the section of dissemination does not fit the dispatcher's configuration.
#[derive(Debug, thiserror::Error)]
enum SectionError {
    #[error(
        "[dissemination] purge-seconds: {} is shorter than the {} s that a purge binds by the settings",
        section.as_secs_f64(), settings.as_secs_f64()
    )]
    WindowTooShort { section: Duration, settings: Duration },
    #[error("[dissemination] control: {0} is this dispatcher's own name")]
    OwnNameInControl(String),
}

/// Checks the section of dissemination against the configuration. Returns a line of text for the listener, or none
/// without the section.
pub fn check(file: &OperatorConfig, config: &Config) -> Result<Vec<String>, String> {
    let options = member_options(file, config)?;
    Ok(options.iter().map(|options| format!("dissemination: at {}", options.listen)).collect())
}

/// Checks the section of dissemination and returns the options of a member's node; `None` without the section.
pub fn member_options(file: &OperatorConfig, config: &Config) -> Result<Option<NodeOptions>, String> {
    let Some(section) = &file.dissemination else { return Ok(None) };
    check_section(section, config).map_err(|error| error.to_string())?;
    Ok(Some(node_options(section, &config.name, config.seed)))
}

/// The options of the node with this name. If the section lists the name as a control node, the node is one.
pub fn node_options(section: &DisseminationSection, name: &str, seed: u64) -> NodeOptions {
    let addresses = if section.trusted_network { AddressScope::Any } else { AddressScope::LoopbackOnly };
    NodeOptions {
        codec: FrameCodec::new(&section.fleet, section.control.len(), addresses),
        config: node_config(section, name),
        directory: None,
        listen: section.listen,
        seed,
    }
}

/// A running node, which leaves the fleet when dropped.
pub struct RunningNode(pub Handle);

impl Drop for RunningNode {
    fn drop(&mut self) {
        self.0.send(Command::Stop);
        let deadline = Instant::now() + MAX_STOP_WAIT;
        while !self.0.has_ended() && Instant::now() < deadline {
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
    }
}

/// Starts the node of a dispatcher and connects its outputs to the dispatcher.
pub fn start_node(options: NodeOptions, service: ServiceHandle) -> Result<RunningNode, String> {
    let pending: Arc<Mutex<PendingSettings>> = Arc::default();
    let on_output = move |node: &WeakHandle, output| {
        let applier = Applier { service: &service, node, pending: &pending };
        applier.on_output(output);
    };
    let handle = Handle::start(options, on_output).map_err(|error| format!("dissemination: {error}"))?;
    info!(target: LOG_TARGET, listen = %handle.listens_at, "dissemination listens");
    Ok(RunningNode(handle))
}

fn check_section(section: &DisseminationSection, config: &Config) -> Result<(), SectionError> {
    let window = config.deployment_settings.deployment.purge_window;
    if window > section.purge_window {
        return Err(SectionError::WindowTooShort { section: section.purge_window, settings: window });
    }
    if section.control.iter().any(|control| control.name == config.name) {
        return Err(SectionError::OwnNameInControl(config.name.clone()));
    }
    Ok(())
}

fn node_config(section: &DisseminationSection, name: &str) -> node::NodeConfig {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let peer = |control: &ControlNode| node::Peer {
        node: node::NodeId::of(&control.name),
        address: control.address,
    };
    let index = section.control.iter().position(|control| control.name == name);
    node::NodeConfig {
        identity: node::Identity {
            node: node::NodeId::of(name),
            incarnation: node::Incarnation(since_epoch.as_millis() as u64),
        },
        control_id: index.map(|index| node::ControlId(index as u8)),
        control: section.control.iter().map(peer).collect(),
        seeds: section.seeds.clone(),
        purge_window: section.purge_window,
        bytes_per_second: section.bytes_per_second,
        heartbeat_interval: section.heartbeat_interval,
    }
}

/// Hands a node's outputs to the dispatcher, and its results back to the node.
struct Applier<'a> {
    service: &'a ServiceHandle,
    node: &'a WeakHandle,
    /// Settings that were given to the dispatcher, until the endpoint list has applied or rejected them.
    pending: &'a Arc<Mutex<PendingSettings>>,
}

impl Applier<'_> {
    fn on_output(&self, output: Output) {
        match output {
            Output::Purge { purges, token } => self.apply_purges(purges, token),
            Output::Configure { settings, changed, token } => self.apply_settings(settings, changed, token),
            Output::IncarnationSuperseded { incarnation } => {
                warn!(target: LOG_TARGET, incarnation = incarnation.0, "a later incarnation of this node is known");
            }
            Output::Send { .. } | Output::ReplicatedToAll { .. } => {}
        }
    }

    fn apply_purges(&self, purges: Vec<(node::Purge, Duration)>, token: ApplyToken) {
        let summary =
            enabled!(target: LOG_TARGET, Level::DEBUG).then(|| (PurgeSummary::of(&purges), Instant::now()));
        let purges = purges.into_iter().map(|(purge, age)| self.dispatcher_purge(purge, age)).collect();
        let node = self.node.clone();
        let on_applied = move || {
            if let Some((summary, received_at)) = summary {
                let wider_age = summary.youngest_wide_purge_age.map(|age| age + received_at.elapsed());
                let wider = wider_age.map(|age| age.as_secs_f64());
                debug!(target: LOG_TARGET, objects = %summary.objects, wider_seconds = wider, "purges in effect");
            }
            confirm(&node, token);
        };
        if !self.service.purge(purges, on_applied) {
            warn!(target: LOG_TARGET, "purge queue full; a purge of everything replaces the waiting purges");
        }
    }

    fn dispatcher_purge(&self, purge: node::Purge, age: Duration) -> Purge {
        let (object, group) = match purge {
            node::Purge::Object(id) => (Some(ObjectId(u64::from_le_bytes(id))), None),
            node::Purge::Group(group) => (None, Some(GroupId(group))),
            node::Purge::Everything => (None, None),
        };
        Purge { object, group, purged_at: self.service.timestamp_before_now(age) }
    }

    fn apply_settings(
        &self,
        settings: BTreeMap<String, DesiredState>,
        changed: Vec<(EntryId, String)>,
        token: ApplyToken,
    ) {
        let hosts: Vec<String> = changed.iter().map(|(_, host)| host.clone()).collect();
        let over_capacity = lock(self.pending).add(token, changed);
        for (id, host) in over_capacity {
            reject(self.node, id, &host, RejectionReason::Full);
        }
        let overrides = settings.into_iter().filter_map(|(host, desired)| {
            let admin_override = admin_override(desired)?;
            Some((host, admin_override))
        });
        let overrides: AdminOverrides = overrides.collect();
        info!(target: LOG_TARGET, marks = overrides.len(), changed = hosts.len(), "the fleet's marks");
        let (node, pending) = (self.node.clone(), self.pending.clone());
        let on_applied = move |rejected_hosts: BTreeMap<String, RejectedOverride>| {
            debug!(target: LOG_TARGET, hosts = %hosts.join(","), "marks in effect");
            let rejected = lock(&pending).take_rejected(token, &rejected_hosts);
            for setting in rejected {
                reject(&node, setting.id, &setting.host, rejection_reason(setting.reason));
            }
            confirm(&node, token);
        };
        if !self.service.set_control_overrides(overrides, on_applied) {
            warn!(target: LOG_TARGET, "override queue full; a later change replaces this one");
        }
    }
}

/// The purges of one output, as the log shows them.
struct PurgeSummary {
    /// The ids of the objects that have a purge of one object, comma-separated.
    objects: String,
    /// The age of the youngest purge of a group or of everything; `None` if there is none.
    youngest_wide_purge_age: Option<Duration>,
}

impl PurgeSummary {
    fn of(purges: &[(node::Purge, Duration)]) -> PurgeSummary {
        let mut objects = Vec::new();
        let mut youngest_wide_purge_age: Option<Duration> = None;
        for (purge, age) in purges {
            match purge {
                node::Purge::Object(id) => objects.push(format!("{:016x}", u64::from_le_bytes(*id))),
                node::Purge::Group(_) | node::Purge::Everything => {
                    youngest_wide_purge_age =
                        Some(youngest_wide_purge_age.map_or(*age, |youngest| youngest.min(*age)));
                }
            }
        }
        PurgeSummary { objects: objects.join(","), youngest_wide_purge_age }
    }
}

fn confirm(node: &WeakHandle, token: ApplyToken) {
    if !node.send(Command::ConfirmApplied(token)) {
        warn!(target: LOG_TARGET, token = token.0, "mailbox full; confirmation dropped");
    }
}

fn reject(node: &WeakHandle, id: EntryId, host: &str, reason: RejectionReason) {
    warn!(target: LOG_TARGET, host, why = ?reason, "a mark of the fleet is kept apart");
    node.send(Command::Reject { id, reason });
}

/// Locks the pending settings. Callers hold the lock only for one call of [`PendingSettings`].
fn lock(pending: &Mutex<PendingSettings>) -> MutexGuard<'_, PendingSettings> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The override that brings a host to the desired state; `None` if the host is as the endpoint list has it.
fn admin_override(desired: DesiredState) -> Option<AdminOverride> {
    let readiness = match desired {
        DesiredState::Listed => return None,
        DesiredState::Draining => Readiness::Draining,
        DesiredState::Gone => Readiness::Gone,
    };
    Some(AdminOverride { readiness, expires_at: None, force: false })
}

fn rejection_reason(rejected: RejectedOverride) -> RejectionReason {
    match rejected {
        RejectedOverride::LastReadyEndpoint => RejectionReason::LastOne,
        RejectedOverride::TooMany => RejectionReason::Full,
    }
}
