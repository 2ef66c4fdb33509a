//! `rockflow control`: a control node. It reads the notice board's purges, the directory of members and the operators'
//! overrides, publishes them to the fleet, and logs what is replicated to all. It decides nothing.

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
use rockflow_dissemination as node;
use rockflow_dissemination::Publication;
use rockflow_transport::dissemination::{Command, Handle};
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{error, info, warn};

/// Interval at which signals, overrides and the node are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which missing and lagging members are logged.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

/// Runs until a signal other than SIGHUP arrives.
///
/// # Errors
/// The control node can't start, or its thread has ended. Whoever started the process starts it again.
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
        has_lagging_members: Arc::default(),
    };
    let has_lost_purges = control.has_lost_purges.clone();
    let window = control.inputs.dissemination.purge_window;
    let follower = PurgeFollower::start(clock, &control.inputs.config, window, move |observed| {
        forward_purge(&handle, &has_lost_purges, &observed);
    });
    let follower = follower.map_err(ControlError::NoticeBoard)?;
    control.run(source, signals, &follower)
}

/// Owns the node and the inputs by which it runs.
struct Control {
    node: RunningNode,
    inputs: ControlInputs,
    published: PublishedOverrides,
    /// Overrides were read that are not published yet.
    overrides_are_pending: bool,
    /// Purges of the board were dropped: a purge of everything is to replace them.
    has_lost_purges: Arc<AtomicBool>,
    /// Whether the last summary named a member.
    has_lagging_members: Arc<AtomicBool>,
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
            // Without its thread nothing is published or received, though the process seems to be there.
            if self.node.0.has_ended() {
                return Err(ControlError::NodeEnded);
            }
            self.replace_lost_purges();
            self.publish_overrides();
            if summarized_at.elapsed() >= SUMMARY_INTERVAL {
                summarized_at = Instant::now();
                let has_lagging_members = self.has_lagging_members.clone();
                let reply = Box::new(move |status| log_summary(&status, &has_lagging_members));
                self.node.0.send(Command::Status(reply));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Publishes a purge of everything in place of purges that were dropped.
    fn replace_lost_purges(&self) {
        let everything =
            Command::PurgeNotice { purge: node::Purge::Everything, age: Duration::ZERO, backlog: false };
        if self.has_lost_purges.load(Ordering::Relaxed) && self.node.0.send(everything) {
            self.has_lost_purges.store(false, Ordering::Relaxed);
        }
    }

    /// Reads each input anew. One that is not valid keeps its previous state.
    fn reload(&mut self, source: &Source, follower: &PurgeFollower) {
        self.reload_configuration(source, follower);
        self.check_operator_file(source);
        self.reload_directory();
        self.reload_overrides();
    }

    fn reload_configuration(&mut self, source: &Source, follower: &PurgeFollower) {
        match source.read() {
            Ok(config) if config.discovery_address != self.inputs.config.discovery_address => {
                info!(from = %self.inputs.config.discovery_address, to = %config.discovery_address, "discovery address changed");
                follower.set_address(config.discovery_address);
                self.inputs.config.discovery_address = config.discovery_address;
            }
            Ok(_) => {}
            Err(error) => {
                error!(error = error.to_string(), "configuration rejected; the previous one stays in effect")
            }
        }
    }

    fn check_operator_file(&self, source: &Source) {
        match source.read_extensions() {
            Ok(read) => {
                let has_changed = read.file().dissemination.as_ref() != Some(&self.inputs.dissemination)
                    || read.file().control.as_ref() != Some(&self.inputs.files);
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

    fn reload_directory(&mut self) {
        let before = &self.inputs.directory;
        match read_directory(&self.inputs.files.directory, &self.inputs.dissemination) {
            Ok(read) if read == *before => {}
            Ok(read) if read.version <= before.version => error!(
                version = read.version,
                in_force = before.version,
                "the directory has changed and its version has not grown; not taken"
            ),
            Ok(read) => {
                info!(version = read.version, members = read.members.len(), "directory");
                if self.node.0.send(Command::SetDirectory(read.clone())) {
                    self.inputs.directory = read;
                }
            }
            Err(error) => error!(%error, "directory rejected; the previous one stays in effect"),
        }
    }

    fn reload_overrides(&mut self) {
        match read_overrides(self.inputs.files.overrides.as_deref()) {
            Ok(overrides) => {
                self.inputs.overrides = overrides;
                self.overrides_are_pending = true;
            }
            Err(error) => error!(%error, "marks rejected; the previous ones stay in effect"),
        }
    }

    /// Publishes the overrides that differ from the published ones. If the mailbox is full, the next poll repeats it.
    fn publish_overrides(&mut self) {
        if !self.overrides_are_pending {
            return;
        }
        let handle = &self.node.0;
        let is_sent = self.published.publish(&self.inputs.overrides, |changes| {
            for (host, desired) in &changes {
                info!(host, wanted = ?desired, "published");
            }
            let publications = changes.into_iter();
            let publications = publications.map(|(host, desired)| Publication::Setting { host, desired });
            let reply = Box::new(|ids: Vec<node::EntryId>| log_numbers(&ids));
            handle.send(Command::Publish { publications: publications.collect(), reply })
        });
        if !is_sent {
            error!("mailbox full; the marks are published later");
        }
        self.overrides_are_pending = !is_sent;
    }
}

fn log_numbers(ids: &[node::EntryId]) {
    if let (Some((_, first)), Some((_, last))) = (ids.first(), ids.last()) {
        info!(first = first.0, last = last.0, "settings numbered");
    }
}

/// Passes a purge of the board on to the node. If its mailbox is full, a purge of everything is to follow.
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

fn disseminated_purge(purge: &Purge) -> node::Purge {
    match (purge.object, purge.group) {
        (Some(ObjectId(id)), _) => node::Purge::object(id),
        (None, Some(GroupId(group))) => node::Purge::Group(group),
        (None, None) => node::Purge::Everything,
    }
}
