//! `rockflow control`: a control node. It reads the notice board's purges, the directory of members and the operators'
//! marks, publishes them to the fleet, and says in the log what is in force everywhere. It decides nothing.

mod marks;

use crate::beside::dissemination::{base, told_of, Carried};
use crate::Source;
use marks::{Marks, Published};
use rockflow::{GroupId, ObjectId};
use rockflow_dispatcher::{Clock, Config, ObservedPurge, Purge, PurgeFollower};
use rockflow_dissemination as node;
use rockflow_dissemination::{Directory, Output, Publication};
use rockflow_operator_config::{parse_overrides, ControlSection, DisseminationSection};
use rockflow_transport::dissemination::{Link, Tally, WeakLink, Word};
use signal_hook::consts::SIGHUP;
use signal_hook::iterator::Signals;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{error, info, warn};

/// How often a signal is looked for, and how often it is said who is behind.
const LOOK: Duration = Duration::from_millis(50);
const SUMMARY: Duration = Duration::from_secs(10);

/// What a control process is told, read and judged as a whole.
pub struct Given {
    told: Config,
    part: DisseminationSection,
    files: ControlSection,
    directory: Directory,
    marks: Marks,
}

impl Given {
    pub fn read(source: &Source) -> Result<Given, String> {
        let told = source.read()?;
        let beside = source.beside()?;
        let (part, files) = (beside.file().dissemination.clone(), beside.file().control.clone());
        let part = part.ok_or("a control process needs a section [dissemination] in the operator's file")?;
        let files = files.ok_or("a control process needs a section [control] in the operator's file")?;
        let own = part.control.iter().find(|node| node.name == told.name);
        let own = own.ok_or_else(|| format!("[dissemination] control: does not name {}", told.name))?;
        let at = own.address;
        // Within a trusted network addresses may be translated on the way.
        let elsewhere = !part.listen.ip().is_unspecified() && part.listen != at;
        if elsewhere && !part.trusted_network {
            return Err(format!(
                "[dissemination] listen: {} is another address than {at} of {} in control",
                part.listen, told.name
            ));
        }
        let directory = directory(&files.directory, &part)?;
        let marks = marks(files.overrides.as_deref())?;
        Ok(Given { told, part, files, directory, marks })
    }

    pub fn lines(&self) -> Vec<String> {
        let (name, at) = (&self.told.name, self.part.listen);
        let (members, version) = (self.directory.members.len(), self.directory.version);
        vec![
            format!("{name}: ready to control at {at}"),
            format!("directory {version}: {members} members"),
            format!("marks: {}", self.marks.len()),
        ]
    }
}

fn text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|what| format!("{}: {what}", path.display()))
}

fn directory(path: &Path, part: &DisseminationSection) -> Result<Directory, String> {
    let fault = |what: String| format!("{}: {what}", path.display());
    let directory = Directory::parse(&text(path)?).map_err(|what| fault(what.to_string()))?;
    let outside = directory.members.iter().find(|member| !member.address.ip().is_loopback());
    if let Some(member) = outside.filter(|_| !part.trusted_network) {
        let (name, at) = (&member.name, member.address);
        return Err(fault(format!(
            "{name}: {at} is no address of the loopback, and trusted-network does not say yes"
        )));
    }
    Ok(directory)
}

fn marks(path: Option<&Path>) -> Result<Marks, String> {
    let Some(path) = path else { return Ok(Marks::new()) };
    parse_overrides(&path.display().to_string(), &text(path)?).map_err(|faults| {
        let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
        faults.join("\n")
    })
}

/// Runs until another signal than SIGHUP comes. Error: it can't begin, or its machine is gone; whoever started it starts it
/// again.
pub fn run(source: &Source, signals: &mut Signals) -> Result<(), String> {
    let given = Given::read(source)?;
    let clock = Clock::start();
    rockflow_dispatcher::Service::set_up();
    let mut plan = base(&given.part, given.told.seed);
    plan.config = told_of(&given.part, &given.told.name);
    plan.directory = Some(given.directory.clone());
    let link = Link::start(plan, heard).map_err(|what| format!("dissemination: {what}"))?;
    let (name, members) = (&given.told.name, given.directory.members.len());
    info!(name, listen = %link.listens_at, members, version = given.directory.version, "control");
    let control = Control {
        carried: Carried(link.clone()),
        given,
        published: Published::default(),
        unsaid: true,
        overflown: Arc::default(),
        troubled: Arc::default(),
    };
    let (words, overflown) = (link, control.overflown.clone());
    let follow =
        PurgeFollower::start(clock, &control.given.told, control.given.part.purge_window, move |heard| {
            board(&words, &overflown, &heard);
        });
    let follow = follow.map_err(|what| format!("board: {what}"))?;
    control.run(source, signals, &follow)
}

struct Control {
    carried: Carried,
    given: Given,
    published: Published,
    /// Marks were read that are not published yet.
    unsaid: bool,
    /// Purges found no place on their way: one of everything stands for them.
    overflown: Arc<AtomicBool>,
    /// Whether the last summary named anybody.
    troubled: Arc<AtomicBool>,
}

fn named(purge: &Purge) -> node::Purge {
    match (purge.object, purge.group) {
        (Some(ObjectId(id)), _) => node::Purge::object(id),
        (None, Some(GroupId(group))) => node::Purge::Group(group),
        (None, None) => node::Purge::Everything,
    }
}

/// Passes on what the board says. Where it finds no place, a purge of everything goes ahead of the next word.
fn board(link: &Link, overflown: &AtomicBool, heard: &ObservedPurge) {
    let (purge, age, backlog) = (named(&heard.purge), heard.age, heard.is_backlog);
    if !link.say(Word::Board { purge, age, backlog }) && !overflown.swap(true, Ordering::Relaxed) {
        warn!("too many purges of the board wait; one of everything stands for them");
    }
}

impl Control {
    fn run(mut self, source: &Source, signals: &mut Signals, follow: &PurgeFollower) -> Result<(), String> {
        let mut said = Instant::now();
        loop {
            for signal in signals.pending() {
                if signal != SIGHUP {
                    info!("control ends");
                    return Ok(());
                }
                self.read_again(source, follow);
            }
            // Guards against a node that only seems to be there: without its thread nothing is published or heard.
            if self.carried.0.is_over() {
                return Err("dissemination: its thread has ended".to_string());
            }
            self.make_up();
            self.publish_marks();
            if said.elapsed() >= SUMMARY {
                said = Instant::now();
                let troubled = self.troubled.clone();
                self.carried.0.say(Word::Status(Box::new(move |tally| summary(&tally, &troubled))));
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Guards against purges of the board that are lost for want of a place: stricter, and of now.
    fn make_up(&self) {
        let all = Word::Board { purge: node::Purge::Everything, age: Duration::ZERO, backlog: false };
        if self.overflown.load(Ordering::Relaxed) && self.carried.0.say(all) {
            self.overflown.store(false, Ordering::Relaxed);
        }
    }

    /// Each file on its own: a fault in one leaves what it said before in force.
    fn read_again(&mut self, source: &Source, follow: &PurgeFollower) {
        match source.read() {
            Ok(told) if told.discovery_address != self.given.told.discovery_address => {
                info!(from = %self.given.told.discovery_address, to = %told.discovery_address, "the board has moved");
                follow.set_address(told.discovery_address);
                self.given.told.discovery_address = told.discovery_address;
            }
            Ok(_) => {}
            Err(what) => error!(what, "configuration not taken; the old one stays in force"),
        }
        match source.beside() {
            Ok(read) if read.file().dissemination.as_ref() != Some(&self.given.part) => {
                warn!("the operator's file has changed; that takes a restart");
            }
            Ok(read) if read.file().control.as_ref() != Some(&self.given.files) => {
                warn!("the operator's file has changed; that takes a restart");
            }
            Ok(_) => {}
            Err(what) => error!(what, "operator's file not taken; the old one stays in force"),
        }
        self.read_directory();
        self.read_marks();
    }

    fn read_directory(&mut self) {
        let read = directory(&self.given.files.directory, &self.given.part);
        let before = &self.given.directory;
        match read {
            Ok(read) if read == *before => {}
            Ok(read) if read.version <= before.version => {
                error!(
                    version = read.version,
                    in_force = before.version,
                    "the directory has changed and its version has not grown; not taken"
                );
            }
            Ok(read) => {
                info!(version = read.version, members = read.members.len(), "directory");
                if self.carried.0.say(Word::Directory(read.clone())) {
                    self.given.directory = read;
                }
            }
            Err(what) => error!(what, "directory not taken; the old one stays in force"),
        }
    }

    fn read_marks(&mut self) {
        match marks(self.given.files.overrides.as_deref()) {
            Ok(read) => {
                self.given.marks = read;
                self.unsaid = true;
            }
            Err(what) => error!(what, "marks not taken; the old ones stay in force"),
        }
    }

    /// What is wanted otherwise than it was published. What finds no place goes with the next look.
    fn publish_marks(&mut self) {
        if !self.unsaid {
            return;
        }
        let link = &self.carried.0;
        let said = self.published.publish(&self.given.marks, |changes| {
            changes.iter().for_each(|(host, wanted)| info!(host, ?wanted, "published"));
            let publications = changes.into_iter();
            let publications =
                publications.map(|(host, wanted)| Publication::Setting { host, desired: wanted });
            let reply = Box::new(|ids: Vec<node::EntryId>| {
                if let (Some((_, first)), Some((_, last))) = (ids.first(), ids.last()) {
                    info!(first = first.0, last = last.0, "settings numbered");
                }
            });
            link.say(Word::Publish { publications: publications.collect(), reply })
        });
        if !said {
            error!("too much waits; the marks are published later");
        }
        self.unsaid = !said;
    }
}

fn heard(_: &WeakLink, out: Output) {
    match out {
        Output::ReplicatedToAll { stream, number, after } => info!(
            control = stream.control.0,
            kind = ?stream.kind,
            number = number.0,
            seconds = after.as_secs_f64(),
            "everywhere"
        ),
        Output::IncarnationSuperseded { incarnation } => {
            warn!(
                incarnation = incarnation.0,
                "a later life of this control node was known; begun again above it"
            )
        }
        Output::Send { .. } | Output::Purge { .. } | Output::Configure { .. } => {}
    }
}

/// One line while somebody is missing or behind, or refuses a setting, and one when nobody is any more.
fn summary(tally: &Tally, troubled: &AtomicBool) {
    let Some(control) = &tally.survey.control else { return };
    let well = control.present >= control.expected_members
        && control.lagging.is_empty()
        && control.rejected.is_empty();
    if troubled.swap(!well, Ordering::Relaxed) && well {
        info!(told = control.expected_members, "all members are there and go by what was published");
    }
    if well {
        return;
    }
    let behind: Vec<_> = control
        .lagging
        .iter()
        .map(|(name, stream, number)| format!("{name}:{}", numbered(stream, *number)))
        .collect();
    let refused = control
        .rejected
        .iter()
        .map(|(stream, number, why, members)| format!("{}:{why:?} at {members}", numbered(stream, *number)));
    warn!(
        told = control.expected_members,
        present = control.present,
        missing = control.missing.join(" "),
        behind = behind.join(" "),
        refused = refused.collect::<Vec<_>>().join(" "),
        publishing = control.is_publishing,
        faults = tally.traffic.faults.values().sum::<u64>(),
        "not in force everywhere"
    );
}

fn numbered(stream: &node::StreamId, number: node::SequenceNumber) -> String {
    format!("{:?}@{}/{}", stream.kind, stream.control.0, number.0)
}
