//! `rockflow control`: runs a control node. It follows the purges that discovery announces, reads the directory of
//! members and the operators' overrides, publishes them to the dispatchers, and logs which entries all members have
//! applied. It makes no routing decisions.

mod error;
mod inputs;
mod overrides;
mod report;

use crate::extensions::dissemination::{node_options, RunningNode};
use crate::Source;
pub use error::ControlError;
pub use inputs::ControlInputs;
use inputs::{read_directory, read_overrides};
use overrides::PublishedOverrides;
use report::{log_output, log_summary};
use rockflow::{GroupId, ObjectId};
use rockflow_dispatcher::{Clock, ObservedPurge, Purge, PurgeFollower};
use rockflow_dissemination::{EntryId, Publication, Purge as DisseminatedPurge};
use rockflow_transport::dissemination::{Command, Handle};
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{error, info, warn};

/// Interval between checks for signals, for overrides to be published, and for the end of the node's thread.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between summaries of missing and lagging members and of rejected settings.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// Runs a control node until a signal other than SIGHUP arrives. At SIGHUP it reads its files again.
///
/// # Errors
/// If the control node can't start, or if its thread has ended. The process then exits with an error, and its
/// supervisor is expected to restart it.
pub fn run(source: &Source, signals: &mut Signals) -> Result<(), ControlError> {
    let inputs = ControlInputs::read(source)?;
    let clock = Clock::start();
    rockflow_dispatcher::Service::set_up();
    let mut options = node_options(&inputs.dissemination, &inputs.config.name, inputs.config.seed);
    options.directory = Some(inputs.directory.clone());
    let handle = Handle::start(options, |_, output| log_output(output)).map_err(ControlError::Start)?;
    let (name, members) = (&inputs.config.name, inputs.directory.members.len());
    info!(name, listen = %handle.listens_at, members, version = inputs.directory.version, "control");
    let control = Control {
        node: RunningNode(handle.clone()),
        inputs,
        published: PublishedOverrides::default(),
        overrides_are_pending: true,
        has_lost_purges: Arc::default(),
        has_problems: Arc::default(),
    };
    let has_lost_purges = control.has_lost_purges.clone();
    let window = control.inputs.dissemination.purge_window;
    let follower = PurgeFollower::start(clock, &control.inputs.config, window, move |observed| {
        forward_purge(&handle, &has_lost_purges, &observed);
    });
    let follower = follower.map_err(ControlError::Discovery)?;
    control.run(source, signals, &follower)
}

/// A running control node with its inputs and what it has published of them.
struct Control {
    node: RunningNode,
    inputs: ControlInputs,
    published: PublishedOverrides,
    /// Whether overrides were read that have not been passed to the node yet.
    overrides_are_pending: bool,
    /// Whether purges from discovery were dropped, so that a purge of everything has to replace them. Set by the thread
    /// that follows discovery.
    has_lost_purges: Arc<AtomicBool>,
    /// Whether the last summary reported a missing or lagging member or a rejected setting. Set by the node's thread.
    has_problems: Arc<AtomicBool>,
}

impl Control {
    fn run(
        mut self,
        source: &Source,
        signals: &mut Signals,
        follower: &PurgeFollower,
    ) -> Result<(), ControlError> {
        let mut summarized_at = Instant::now();
        loop {
            for signal in signals.pending() {
                if signal != SIGHUP {
                    info!("control node stops");
                    return Ok(());
                }
                self.reload(source, follower);
            }
            // Without this check the process would keep running while nothing is published or received.
            if self.node.0.has_ended() {
                return Err(ControlError::NodeEnded);
            }
            self.replace_lost_purges();
            self.publish_overrides();
            if summarized_at.elapsed() >= SUMMARY_INTERVAL {
                summarized_at = Instant::now();
                let has_problems = self.has_problems.clone();
                let reply = Box::new(move |status| log_summary(&status, &has_problems));
                self.node.0.send(Command::Status(reply));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Publishes a purge of everything if purges were dropped. If the mailbox is full, the next poll repeats it.
    fn replace_lost_purges(&self) {
        let everything = Command::PurgeNotice {
            purge: DisseminatedPurge::Everything,
            age: Duration::ZERO,
            backlog: false,
        };
        if self.has_lost_purges.load(Ordering::Relaxed) && self.node.0.send(everything) {
            self.has_lost_purges.store(false, Ordering::Relaxed);
        }
    }

    /// Reads all inputs again. An input that is not valid is logged, and its previous value stays in effect.
    fn reload(&mut self, source: &Source, follower: &PurgeFollower) {
        self.reload_configuration(source, follower);
        self.check_operator_file(source);
        self.reload_directory();
        self.reload_overrides();
    }

    /// Applies a changed discovery address; other changes of the configuration take effect at the next start.
    fn reload_configuration(&mut self, source: &Source, follower: &PurgeFollower) {
        match source.read() {
            Ok(config) if config.discovery_address != self.inputs.config.discovery_address => {
                info!(
                    from = %self.inputs.config.discovery_address,
                    to = %config.discovery_address,
                    "discovery address changed"
                );
                follower.set_address(config.discovery_address);
                self.inputs.config.discovery_address = config.discovery_address;
            }
            Ok(_) => {}
            Err(error) => {
                error!(error = error.to_string(), "configuration rejected; the previous one stays in effect")
            }
        }
    }

    /// Warns if the operator's file has changed, as its changes take effect only at the next start.
    fn check_operator_file(&self, source: &Source) {
        match source.read_extensions() {
            Ok(extensions) => {
                let file = extensions.file();
                let has_changed = file.dissemination.as_ref() != Some(&self.inputs.dissemination)
                    || file.control.as_ref() != Some(&self.inputs.files);
                if has_changed {
                    warn!("operator's file changed; restart to apply it");
                }
            }
            Err(error) => error!(
                error = error.to_string(),
                "operator's file rejected; the previous one stays in effect"
            ),
        }
    }

    /// Passes a changed directory to the node. A changed directory is rejected if its version is not greater.
    fn reload_directory(&mut self) {
        let current = &self.inputs.directory;
        match read_directory(&self.inputs.files.directory, &self.inputs.dissemination) {
            Ok(directory) if directory == *current => {}
            Ok(directory) if directory.version <= current.version => error!(
                version = directory.version,
                in_force = current.version,
                "directory rejected: its version has not grown; the previous one stays in effect"
            ),
            Ok(directory) => {
                info!(version = directory.version, members = directory.members.len(), "directory");
                if self.node.0.send(Command::SetDirectory(directory.clone())) {
                    self.inputs.directory = directory;
                }
            }
            Err(error) => error!(%error, "directory rejected; the previous one stays in effect"),
        }
    }

    /// Reads the overrides; the next poll publishes their changes.
    fn reload_overrides(&mut self) {
        match read_overrides(self.inputs.files.overrides.as_deref()) {
            Ok(overrides) => {
                self.inputs.overrides = overrides;
                self.overrides_are_pending = true;
            }
            Err(error) => error!(%error, "marks rejected; the previous ones stay in effect"),
        }
    }

    /// Publishes the overrides that differ from the published ones. If the node's mailbox is full, the next poll
    /// repeats it.
    fn publish_overrides(&mut self) {
        if !self.overrides_are_pending {
            return;
        }
        let handle = &self.node.0;
        let is_sent = self.published.publish(&self.inputs.overrides, |changes| {
            for (host, desired) in &changes {
                info!(host, wanted = ?desired, "published");
            }
            let publications =
                changes.into_iter().map(|(host, desired)| Publication::Setting { host, desired });
            let reply = Box::new(|ids: Vec<EntryId>| log_sequence_numbers(&ids));
            handle.send(Command::Publish { publications: publications.collect(), reply })
        });
        if !is_sent {
            error!("mailbox full; the marks are published later");
        }
        self.overrides_are_pending = !is_sent;
    }
}

/// Logs the first and last sequence number of the published settings, by which later log lines name them.
fn log_sequence_numbers(ids: &[EntryId]) {
    if let (Some((_, first)), Some((_, last))) = (ids.first(), ids.last()) {
        info!(first = first.0, last = last.0, "settings numbered");
    }
}

/// Passes a purge from discovery on to the node. If the node's mailbox is full, the purge is dropped and a purge of
/// everything is requested in its place.
fn forward_purge(handle: &Handle, has_lost_purges: &AtomicBool, observed: &ObservedPurge) {
    let command = Command::PurgeNotice {
        purge: disseminated_purge(&observed.purge),
        age: observed.age,
        backlog: observed.is_backlog,
    };
    if !handle.send(command) && !has_lost_purges.swap(true, Ordering::Relaxed) {
        warn!("mailbox full; a purge of everything replaces the dropped purges");
    }
}

/// Converts a purge as discovery announces it. An object takes precedence over a group; a purge with neither is a purge
/// of everything.
fn disseminated_purge(purge: &Purge) -> DisseminatedPurge {
    match (purge.object, purge.group) {
        (Some(ObjectId(id)), _) => DisseminatedPurge::object(id),
        (None, Some(GroupId(group))) => DisseminatedPurge::Group(group),
        (None, None) => DisseminatedPurge::Everything,
    }
}
