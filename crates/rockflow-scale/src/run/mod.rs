//! Hollow dispatchers beside real processes on the loopback interface (`run`): dispatchers, control nodes, a discovery
//! service and a seeded schedule of faults. All are members of one fleet behind one counting proxy, so that figures of
//! hollow and real members can be compared.

pub mod figures;
pub mod hollow;
pub mod layout;
pub mod ledger;
mod lines;
pub mod minutes;
pub mod schedule;
pub mod watch;

use crate::rows;
use crate::target::Target;
use crate::Fault;
use clap::Args;
use figures::{Member, Sample};
use hollow::Hollow;
use ledger::{Cause, Ledger};
use minutes::{Greatest, Minutes};
use rockflow_dissemination as node;
use rockflow_process_harness::datagrams::{MemberSet, PathConditions, Rule, RuleId};
use rockflow_process_harness::{Fleet, Layout, Place, Signal};
use rockflow_test_servers::{DiscoveryServer, TemporaryFolder};
use rockflow_transport::dissemination::{AddressScope, FrameCodec, NodeOptions, TransportStatus};
use schedule::{At, Node, PathFault, Step};
use serde_json::json;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use watch::{ConvergenceReport, Effect, Tail};

/// Processes of one run, this one too, and what all of them may hold.
const MAX_PROCESSES: usize = 300;
const MAX_KB: u64 = 12 * 1024 * 1024;
/// Dispatchers beside the fleet, without the section.
const BARE: usize = 3;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The fleet's processes are started so many at a time.
const AT_ONCE: usize = 10;
/// The longest till the whole fleet has the first purge in force, and till what was missed has been caught up.
const SETTLES: Duration = Duration::from_secs(90);
/// What was told so long before the end is judged.
const GRACE: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(10);
const WATCH: Duration = Duration::from_secs(5);
/// How often the logs of the dispatchers are read, bytes are counted, and what control says is held against the members.
const READ: Duration = Duration::from_millis(250);
const COUNT: Duration = Duration::from_secs(1);
const CHECK: Duration = Duration::from_secs(2);

/// What `run` is asked for.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Dispatchers that are machines on sockets alone, all in this process
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u16).range(1..=4000))]
    pub hollow: u16,
    /// Dispatchers that are processes of the program
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u16).range(1..=280))]
    pub real: u16,
    /// Control nodes, each a process
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(1..=16))]
    pub control: u8,
    /// How long purges and faults last
    #[arg(long, default_value_t = 10.0, value_parser = minutes)]
    pub minutes: f64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Purges a second; the target's where it is not said
    #[arg(long)]
    pub rate: Option<f64>,
    /// The program, built with the feature `dissemination`
    #[arg(long, default_value = "target/release/rockflow")]
    pub program: PathBuf,
    #[arg(long, default_value = "docs/capacity/target.toml")]
    pub target: PathBuf,
    /// Where rows are written, as JSON lines
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Without faults
    #[arg(long)]
    pub calm: bool,
    /// Prints the schedule of the faults and ends
    #[arg(long)]
    pub plan: bool,
}

fn minutes(text: &str) -> Result<f64, String> {
    let within = |minutes: &f64| (0.25..=120.0).contains(minutes);
    text.parse().ok().filter(within).ok_or_else(|| "from 0.25 to 120 minutes".to_string())
}

/// Runs the fleet, prints the result and writes its rows.
pub fn run(options: &Options) -> Result<(), Fault> {
    let target = Target::read(&options.target)?;
    let (hollow, real, control) = (options.hollow.into(), options.real.into(), usize::from(options.control));
    let processes = real + control + BARE + 1;
    if processes > MAX_PROCESSES {
        return Err(Fault(format!("{processes} processes, where at most {MAX_PROCESSES} are allowed")));
    }
    let (places, is_real) = layout::members(&target, hollow, real);
    let length = Duration::from_secs_f64(options.minutes * 60.0);
    let steps = match options.calm {
        true => Vec::new(),
        false => schedule::plan(options.seed, length, &places, control),
    };
    if options.plan {
        steps.iter().for_each(|At { at, step }| println!("{:8.2} s  {step}", at.as_secs_f64()));
        return Ok(());
    }
    let mut run = Run::lay(options, &target, places, is_real)?;
    println!("{}", run.about());
    run.settle()?;
    run.play(length, steps)?;
    let found = run.end()?;
    figures::print(&found);
    if let Some(path) = &options.json {
        rows::write(path, &figures::rows(&found))?;
        println!("rows: {}", path.display());
    }
    match found.violations() {
        0 => Ok(()),
        count => Err(Fault(format!("{count} violations"))),
    }
}

/// All that came of a run, for its figures.
pub struct Found {
    /// Options of the run.
    pub options: Options,
    /// Command that reproduces the run.
    pub command: String,
    /// Purges published a second.
    pub rate: f64,
    /// Dispatchers, real and hollow.
    pub members: Vec<Member>,
    /// Control nodes.
    pub control: Vec<Member>,
    /// Processes without dissemination, for comparison.
    pub bare: Vec<Member>,
    /// Number of processes.
    pub processes: usize,
    /// Resident memory of control nodes, dispatchers and this process, in KiB.
    pub held_kb: u64,
    /// Convergence reports of the control nodes.
    pub said: Vec<ConvergenceReport>,
    /// Published purges.
    pub purges: Vec<ledger::Announcement>,
    /// Published changes.
    pub changes: Vec<ledger::Announcement>,
    /// Number of hollow dispatchers.
    pub hollow: usize,
    /// Resident memory of this process, which runs the hollow dispatchers, in KiB.
    pub hollow_kb: u64,
    /// Of a core each: in the ordinary span, and over all.
    pub hollow_core: (Option<f64>, Option<f64>),
    /// Minimum accepted timestamps received.
    pub floors: u64,
    /// Purges applied more than once by an incarnation.
    pub again: u64,
    /// Sequence numbers of purges in excess of the purges published.
    pub published_twice: u64,
    /// Entries neither applied nor covered.
    pub passed_over: u64,
    /// Entries covered by a minimum accepted timestamp.
    pub by_floor: u64,
    /// Convergence reports of entries that a member had not applied.
    pub too_early: u64,
    /// Convergence reports checked.
    pub checked: u64,
    /// Members that had not caught up at the end, with their number of missing entries.
    pub not_caught_up: Vec<String>,
    /// Number of faults by kind.
    pub faults: BTreeMap<&'static str, usize>,
    /// By place in the proxy, control nodes first.
    pub names: Vec<String>,
    /// Largest minutes outside the faults, by member.
    pub greatest_ordinary: Vec<Greatest>,
    /// Largest minutes of the whole run, by member.
    pub greatest: Vec<Greatest>,
    /// Within so long a purge and a change are to be in force everywhere, and so many bytes a member may send a second.
    pub purge_window: Duration,
    /// A change is applied by unaffected members within this time.
    pub change_window: Duration,
    /// Bandwidth limit of a member, in bytes a second.
    pub bytes_per_second: f64,
    /// Datagrams and bytes carried by the proxy.
    pub carried: rockflow_process_harness::datagrams::Tally,
    /// When the measured part began.
    pub began: Instant,
    /// Till then nothing was at fault.
    pub faults_from: Instant,
}

impl Found {
    /// What must not be: a purge passed over, in effect twice in one life, or said to be everywhere too early.
    pub fn violations(&self) -> u64 {
        self.passed_over
            + self.too_early
            + self.again.saturating_sub(self.published_twice * self.members.len() as u64)
    }
}

struct Run {
    options: Options,
    rate: f64,
    change_every: f64,
    /// Before the processes, so that they end first.
    hollow: Hollow,
    fleet: Fleet,
    ledger: Arc<Mutex<Ledger>>,
    places: usize,
    is_real: Vec<bool>,
    board: DiscoveryServer,
    _quiet: DiscoveryServer,
    tails: Vec<Tail>,
    /// Of each real dispatcher.
    effects: BTreeMap<usize, Tail>,
    change_window: Duration,
    minutes: Minutes,
    /// Those that follow each hollow dispatcher, as of the last look, and hollow ones that stand still, as they were
    /// just before.
    followers: BTreeMap<usize, usize>,
    asleep: BTreeMap<usize, TransportStatus>,
    /// When the present life of a control node began.
    control_born: BTreeMap<usize, Instant>,
    said: Vec<ConvergenceReport>,
    rev: u64,
    marks: BTreeMap<usize, Vec<String>>,
    paths: BTreeMap<usize, (RuleId, Option<Cause>, Vec<usize>)>,
    /// Nodes that are down or stand still.
    down: BTreeSet<Node>,
    born: BTreeMap<usize, Instant>,
    faults: BTreeMap<&'static str, usize>,
    too_early: u64,
    checked: u64,
    ordinary: Option<Sample>,
    began: Option<Sample>,
    play_began: Option<Instant>,
    faults_from: Option<Instant>,
    interrupted: Arc<AtomicBool>,
    _folder: TemporaryFolder,
}

fn lock(ledger: &Arc<Mutex<Ledger>>) -> MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

fn fault(what: &str) -> impl Fn(std::io::Error) -> Fault + '_ {
    move |why| Fault(format!("{what}: {why}"))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Run {
    fn lay(options: &Options, target: &Target, places: Vec<Place>, is_real: Vec<bool>) -> Result<Run, Fault> {
        let interrupted = Arc::new(AtomicBool::new(false));
        for signal in [SIGHUP, SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, interrupted.clone()).map_err(fault("signals"))?;
        }
        let folder = TemporaryFolder::new("run");
        let (board, quiet) = (DiscoveryServer::start(), DiscoveryServer::start());
        let count = places.len();
        let bare = (0..BARE).map(|number| Place {
            name: format!("bare-{number}"),
            region: "none".to_string(),
            site: "none".to_string(),
            zone: "none".to_string(),
        });
        let figure = |name: &str| target.get(name).unwrap_or(1.0);
        // The program's example binds a purge for 6 s; the window is the operators'.
        let layout = Layout {
            program: options.program.clone(),
            folder: folder.path().to_path_buf(),
            control: options.control.into(),
            members: places.into_iter().chain(bare).collect(),
            control_discovery: board.address,
            discovery: quiet.address,
            hosts: Vec::new(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            purge_window: Duration::from_secs_f64(figure("purge_done_seconds")),
            bytes_per_second: (figure("kb_per_second") * 1024.0) as u32,
            seed: options.seed,
            // What is in force at a dispatcher is a line of its log.
            log_level: "debug",
        };
        let fleet = Fleet::prepare(layout).map_err(fault("the fleet's files and ports"))?;
        fleet.write_directory(2, |member| member < count).map_err(fault("the directory"))?;
        let tail = |process: &rockflow_process_harness::Member| Tail::new(process.log_path().to_path_buf());
        let tails = fleet.control.iter().map(tail).collect();
        let real: Vec<_> = (0..count).filter(|member| is_real[*member]).collect();
        let effects = real.iter().map(|member| (*member, tail(&fleet.members[*member]))).collect();
        let ledger = Arc::new(Mutex::new(Ledger::new(real)));
        Ok(Run {
            options: options.clone(),
            rate: options.rate.unwrap_or(figure("purges_per_second")),
            change_every: 86_400.0 / figure("changes_per_day").max(1.0),
            hollow: Hollow::start(ledger.clone())?,
            fleet,
            ledger,
            places: count,
            is_real,
            board,
            _quiet: quiet,
            tails,
            effects,
            change_window: Duration::from_secs_f64(figure("change_in_force_seconds")),
            minutes: Minutes::default(),
            followers: BTreeMap::new(),
            asleep: BTreeMap::new(),
            control_born: BTreeMap::new(),
            said: Vec::new(),
            rev: 1,
            marks: BTreeMap::new(),
            paths: BTreeMap::new(),
            down: BTreeSet::new(),
            born: BTreeMap::new(),
            faults: BTreeMap::new(),
            too_early: 0,
            checked: 0,
            ordinary: None,
            began: None,
            play_began: None,
            faults_from: None,
            interrupted,
            _folder: folder,
        })
    }

    fn about(&self) -> String {
        let Options { hollow, real, control, minutes, seed, .. } = &self.options;
        format!(
            "{hollow} hollow and {real} real dispatchers, {control} control nodes, {minutes} minutes, {} purges a \
             second, a change every {:.0} s, seed {seed}",
            self.rate, self.change_every
        )
    }

    /// Starts all, and waits till the first purge is in force everywhere.
    fn settle(&mut self) -> Result<(), Fault> {
        for place in 0..self.fleet.control.len() {
            self.start(Node::Control(place))?;
        }
        for number in 0..BARE {
            self.fleet
                .start_member_without_dissemination(self.places + number)
                .map_err(fault("a process"))?;
        }
        let real: Vec<_> = (0..self.places).filter(|member| self.is_real[*member]).collect();
        for some in real.chunks(AT_ONCE) {
            for member in some {
                self.start(Node::Member(*member))?;
            }
            let over = || self.interrupted.load(Ordering::Relaxed);
            let ready = || over() || some.iter().all(|member| self.fleet.members[*member].is_ready());
            let ready = rockflow_process_harness::wait_until(SETTLES, ready);
            self.ensure(true, "")?;
            if !ready {
                return Err(Fault(format!("not ready: {}", self.fleet.members[some[0]].log())));
            }
        }
        for member in (0..self.places).filter(|member| !self.is_real[*member]).collect::<Vec<_>>() {
            self.start(Node::Member(member))?;
        }
        let by = Instant::now() + SETTLES;
        self.purge();
        while !self.said.iter().any(|said| said.purges) {
            self.ensure(Instant::now() < by, "the first purge is not in force everywhere")?;
            self.look()?;
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    fn ensure(&self, holds: bool, what: &str) -> Result<(), Fault> {
        if self.interrupted.load(Ordering::Relaxed) {
            return Err(Fault("interrupted".to_string()));
        }
        if holds {
            return Ok(());
        }
        let log = self.fleet.control.iter().map(|control| control.log());
        let last =
            log.map(|log| log.lines().rev().take(3).collect::<Vec<_>>().join("\n")).collect::<Vec<_>>();
        Err(Fault(format!("{what}\n{}", last.join("\n"))))
    }

    /// A purge of an object that was not purged before, by the board.
    fn purge(&mut self) {
        self.rev += 1;
        let object = format!("{}-{}", self.options.seed, self.rev);
        lock(&self.ledger).tell(Instant::now(), xxhash_rust::xxh3::xxh3_64(object.as_bytes()));
        self.board.publish(json!({"rev": self.rev, "flush": {"asset": object, "ms": unix_ms()}}));
    }

    /// A host that was not marked before, at the first control node that is there.
    fn change(&mut self, number: usize) -> Result<(), Fault> {
        let there = |place: &usize| !self.down.contains(&Node::Control(*place));
        let Some(place) = (0..self.fleet.control.len()).find(there) else { return Ok(()) };
        let marks = self.marks.entry(place).or_default();
        marks.push(format!("host-{number}"));
        let all: Vec<_> = marks.iter().map(|host| (host.as_str(), "draining")).collect();
        self.fleet.write_overrides_at(place, &all).map_err(fault("marks"))?;
        lock(&self.ledger).change(Instant::now(), &format!("host-{number}"));
        self.fleet.control[place].signal(Signal::SIGHUP).map_err(fault("SIGHUP"))
    }

    fn start(&mut self, node: Node) -> Result<(), Fault> {
        self.down.remove(&node);
        match node {
            Node::Control(place) => {
                self.control_born.insert(place, Instant::now());
                self.fleet.start_control(place).map_err(fault("a control process"))
            }
            Node::Member(member) => {
                self.born.insert(member, Instant::now());
                if self.is_real[member] {
                    lock(&self.ledger).begin(Instant::now(), member);
                    return self.fleet.start_member(member).map_err(fault("a process"));
                }
                self.hollow.begin(member, self.plan(member));
                Ok(())
            }
        }
    }

    /// What a hollow dispatcher is told: the same as a real one by its file.
    fn plan(&self, member: usize) -> NodeOptions {
        let (layout, own) = (self.fleet.layout(), &self.fleet.members[member]);
        let control = self.fleet.control.iter().enumerate();
        let peer = |(place, control): (usize, &rockflow_process_harness::Member)| node::Peer {
            node: node::NodeId::of(&control.name),
            address: self.fleet.control_address(place),
        };
        NodeOptions {
            codec: FrameCodec::new("processes", layout.control, AddressScope::LoopbackOnly),
            config: node::NodeConfig {
                identity: node::Identity {
                    node: node::NodeId::of(&own.name),
                    incarnation: node::Incarnation(unix_ms()),
                },
                control_id: None,
                control: control.map(peer).collect(),
                seeds: Vec::new(),
                purge_window: layout.purge_window,
                bytes_per_second: layout.bytes_per_second,
                heartbeat_interval: layout.heartbeat_interval,
            },
            directory: None,
            listen: own.socket_address,
            seed: self.options.seed ^ member as u64,
        }
    }

    fn step(&mut self, step: Step) -> Result<(), Fault> {
        let kind = match &step {
            Step::Path { fault, .. } => match fault {
                PathFault::Cut => "paths cut one way",
                PathFault::Lossy { .. } => "paths that lose and double",
                PathFault::Late { .. } => "paths late by up to a second",
            },
            Step::Kill(_) => "SIGKILL",
            Step::Stop(_) => "SIGSTOP",
            Step::End(_) => "planned restarts",
            Step::Mend { .. } | Step::Wake(_) | Step::Start(_) => "",
        };
        if !kind.is_empty() {
            *self.faults.entry(kind).or_default() += 1;
        }
        match step {
            Step::Path { id, from, to, fault } => {
                let path = match fault {
                    PathFault::Cut => PathConditions { cut: true, ..PathConditions::default() },
                    PathFault::Lossy { lost, doubled } => {
                        PathConditions { lost, doubled, ..PathConditions::default() }
                    }
                    PathFault::Late { late, jitter } => {
                        PathConditions { late, jitter, ..PathConditions::default() }
                    }
                };
                let rule = Rule { from: self.who(&from), to: self.who(&to), path };
                let (cause, members) = self.concerned(fault, &from, &to);
                if let Some(cause) = cause {
                    members
                        .iter()
                        .for_each(|member| lock(&self.ledger).troubled(Instant::now(), *member, cause));
                }
                self.paths.insert(id, (self.fleet.proxy.add(rule), cause, members));
            }
            Step::Mend { id } => {
                if let Some((rule, cause, members)) = self.paths.remove(&id) {
                    self.fleet.proxy.remove(rule);
                    if let Some(cause) = cause {
                        members
                            .iter()
                            .for_each(|member| lock(&self.ledger).untroubled(Instant::now(), *member, cause));
                    }
                }
            }
            Step::Start(node) => self.start(node)?,
            Step::Wake(node) => {
                self.down.remove(&node);
                self.signal(node, Signal::SIGCONT)?;
                if let Node::Member(member) = node {
                    self.asleep.remove(&member);
                    lock(&self.ledger).untroubled(Instant::now(), member, Cause::Stopped);
                }
            }
            Step::Kill(node) => self.goes_down(node, Signal::SIGKILL)?,
            Step::Stop(node) => {
                if let Node::Member(member) = node {
                    // What it has in force, of which control may say no more while it stands still.
                    if !self.is_real[member] {
                        self.asleep.extend(self.hollow.transport_status()?.remove_entry(&member));
                    }
                    lock(&self.ledger).troubled(Instant::now(), member, Cause::Stopped);
                }
                self.goes_down(node, Signal::SIGSTOP)?;
            }
            Step::End(node) => self.goes_down(node, Signal::SIGTERM)?,
        }
        Ok(())
    }

    fn goes_down(&mut self, node: Node, signal: Signal) -> Result<(), Fault> {
        self.down.insert(node);
        self.signal(node, signal)?;
        if let (Node::Member(member), false) = (node, signal == Signal::SIGSTOP) {
            lock(&self.ledger).end(member);
        }
        Ok(())
    }

    /// Which members a fault of paths concerns. One cut between a site and all others cuts off the site, whichever way;
    /// two regions that do not hear each other both hear control, and are held to the same time as all.
    fn concerned(&self, fault: PathFault, from: &[usize], to: &[usize]) -> (Option<Cause>, Vec<usize>) {
        let few = if from.len() <= to.len() { from } else { to };
        let all = from.len() + to.len() == self.places + self.fleet.control.len();
        let cause = match fault {
            PathFault::Cut => all.then_some(Cause::CutOff),
            PathFault::Lossy { .. } => Some(Cause::Lossy),
            PathFault::Late { .. } => Some(Cause::Late),
        };
        (cause, few.iter().copied().filter(|member| *member < self.places).collect())
    }

    fn who(&self, members: &[usize]) -> MemberSet {
        let control = self.fleet.control.len();
        let place = |member: &usize| match member.checked_sub(self.places) {
            Some(control) => control,
            None => control + member,
        };
        MemberSet::only(control + self.places, members.iter().map(place))
    }

    fn signal(&mut self, node: Node, signal: Signal) -> Result<(), Fault> {
        let process = match node {
            Node::Control(place) => &mut self.fleet.control[place],
            Node::Member(member) if self.is_real[member] => &mut self.fleet.members[member],
            Node::Member(member) => {
                match signal {
                    Signal::SIGKILL => self.hollow.kill(member),
                    Signal::SIGTERM => self.hollow.end(member),
                    other => self.hollow.stop(member, other == Signal::SIGSTOP),
                }
                return Ok(());
            }
        };
        if signal == Signal::SIGKILL {
            process.kill();
            return Ok(());
        }
        process.signal(signal).map_err(fault("a signal"))
    }

    /// Reads what control says.
    fn look(&mut self) -> Result<(), Fault> {
        self.ensure(true, "")?;
        for (by, tail) in self.tails.iter_mut().enumerate() {
            self.said
                .extend(tail.read().lines().filter_map(|line| watch::parse_convergence_report(by, line)));
        }
        Ok(())
    }

    /// Reads what the real dispatchers go by.
    fn read_effects(&mut self) {
        for (member, tail) in &mut self.effects {
            let new = tail.read();
            for (at, effect) in new.lines().filter_map(watch::effect) {
                let mut ledger = lock(&self.ledger);
                match effect {
                    Effect::Purges(purges) => {
                        purges.into_iter().for_each(|(purge, age)| ledger.purge(at, *member, purge, age));
                    }
                    Effect::Changes(hosts) => ledger.configure(at, *member, &hosts),
                }
            }
        }
    }

    /// Holds what control says against what each hollow dispatcher has in force: none that has long been there may be
    /// behind it, and none that stands still may have been.
    fn check(&mut self, from: usize) -> Result<(), Fault> {
        let mut tops: BTreeMap<(usize, bool), u64> = BTreeMap::new();
        // Its own stream alone, and of its present life, as a control node that begins anew counts from 1 again: the life
        // is not said in the line.
        let present = |said: &&ConvergenceReport| {
            let born = self.control_born.get(&said.control);
            said.by == said.control
                && born.is_some_and(|born| said.read > *born)
                && !self.down.contains(&Node::Control(said.control))
        };
        for said in self.said[from..].iter().filter(present) {
            let top = tops.entry((said.control, said.purges)).or_default();
            *top = (*top).max(said.number);
        }
        let tallies = self.hollow.transport_status()?;
        self.followers = tallies.iter().map(|(member, tally)| (*member, tally.node.children)).collect();
        for (member, tally) in tallies.iter().chain(&self.asleep) {
            if self.born.get(member).is_none_or(|born| born.elapsed() < GRACE) {
                continue;
            }
            for ((control, purges), top) in &tops {
                let of = |stream: &&node::StreamStatus| {
                    usize::from(stream.stream.control.0) == *control
                        && (stream.stream.kind == node::StreamKind::Purges) == *purges
                };
                let newest =
                    tally.node.streams.iter().filter(of).max_by_key(|stream| stream.stream.incarnation);
                self.checked += 1;
                if newest.is_none_or(|stream| stream.applied.0 < *top) {
                    self.too_early += 1;
                    let has = newest.map(|stream| stream.applied.0);
                    println!(
                        "violation: member {member} has {has:?} of control {control}, said everywhere: {top}"
                    );
                }
            }
        }
        Ok(())
    }

    /// Counts the bytes of the second that is over.
    fn count(&mut self) {
        let control = self.fleet.control.len();
        let followers = &self.followers;
        let of = |place: usize| {
            place.checked_sub(control).and_then(|member| followers.get(&member)).copied().unwrap_or_default()
        };
        let carried = self.fleet.proxy.traffic_of_all();
        self.minutes.take(Instant::now(), carried, self.ordinary.is_none(), of);
    }

    fn play(&mut self, length: Duration, steps: Vec<At>) -> Result<(), Fault> {
        let begun = Instant::now();
        let first = steps.first().map_or(length, |step| step.at);
        (self.play_began, self.faults_from) = (Some(begun), Some(begun + first));
        let mut steps = steps.into_iter().peekable();
        let (mut purged, mut changed) = (0, 0);
        let (mut watched, mut read, mut counted, mut held_against) = (begun, begun, begun, begun);
        let mut checked = self.said.len();
        self.began = Some(self.sample());
        while begun.elapsed() < length {
            let now = begun.elapsed();
            if self.ordinary.is_none() && now >= first {
                self.ordinary = Some(self.sample());
            }
            while steps.peek().is_some_and(|step| step.at <= now) {
                if let Some(At { step, .. }) = steps.next() {
                    println!("{:8.2} s  {step}", now.as_secs_f64());
                    self.step(step)?;
                }
            }
            while (purged as f64) < now.as_secs_f64() * self.rate {
                self.purge();
                purged += 1;
            }
            if now.as_secs_f64() >= self.change_every * (changed as f64 + 0.5) {
                changed += 1;
                self.change(changed)?;
            }
            self.look()?;
            if read.elapsed() >= READ {
                read = Instant::now();
                self.read_effects();
            }
            if counted.elapsed() >= COUNT {
                counted = Instant::now();
                self.count();
            }
            if held_against.elapsed() >= CHECK {
                held_against = Instant::now();
                let until = self.said.len();
                self.check(checked)?;
                checked = until;
            }
            if watched.elapsed() >= WATCH {
                watched = Instant::now();
                let held = self.held_kb();
                self.ensure(held <= MAX_KB, "the processes hold more than they may")?;
            }
            std::thread::sleep(LOOK);
        }
        // What is late is mended and woken all the same.
        for At { step, .. } in steps {
            self.step(step)?;
        }
        if self.ordinary.is_none() {
            self.ordinary = Some(self.sample());
        }
        Ok(())
    }

    fn held_kb(&self) -> u64 {
        let all = self.fleet.control.iter().chain(&self.fleet.members);
        let all = all.filter_map(|member| member.process.as_ref()?.usage());
        let own = rockflow_process_harness::Usage::of(std::process::id()).map_or(0, |usage| usage.rss_kb);
        own + all.map(|usage| usage.rss_kb).sum::<u64>()
    }

    fn sample(&self) -> Sample {
        Sample::take(&self.fleet, hollow::THREAD)
    }

    /// How many stand behind each member, by the directory.
    fn children(&self) -> Vec<usize> {
        let listed = |at: usize| {
            let Place { name, region, site, zone } = self.fleet.layout().members[at].clone();
            node::DirectoryMember { name, region, site, zone, address: self.fleet.member_address(at) }
        };
        let mut children = vec![0; self.places];
        let Ok(directory) = node::Directory::of(1, (0..self.places).map(listed).collect()) else {
            return children;
        };
        let ids: Vec<_> = directory.members.iter().map(|member| node::NodeId::of(&member.name)).collect();
        let places: BTreeMap<_, _> = ids.iter().enumerate().map(|(at, id)| (*id, at)).collect();
        let parents =
            ids.iter().filter_map(|id| directory.place(*id, &[])?.parents.first().map(|peer| peer.node));
        parents.filter_map(|parent| places.get(&parent)).for_each(|at| children[*at] += 1);
        children
    }

    /// Waits till all have caught up, judges, and puts the figures together.
    fn end(mut self) -> Result<Found, Fault> {
        let end = self.sample();
        let ended = Instant::now();
        let held_kb = self.held_kb();
        let own = rockflow_process_harness::Usage::of(std::process::id()).unwrap_or_default();
        // What was told till the end has to be there, or covered, once all paths are whole again.
        self.read_effects();
        let mut judged = lock(&self.ledger).judge(ended);
        let by = Instant::now() + GRACE + SETTLES;
        while judged.values().any(|judged| judged.passed_over > 0) && Instant::now() < by {
            std::thread::sleep(Duration::from_millis(500));
            self.look()?;
            self.read_effects();
            judged = lock(&self.ledger).judge(ended);
        }
        let behind = judged.iter().filter(|(_, judged)| judged.passed_over > 0);
        let not_caught_up: Vec<_> = behind
            .map(|(member, judged)| format!("{}: {}", self.fleet.members[*member].name, judged.passed_over))
            .collect();
        let tallies = self.hollow.transport_status()?;
        let of = |purges: bool| {
            let streams = tallies.values().flat_map(|tally| tally.node.streams.iter());
            let streams =
                streams.filter(move |stream| (stream.stream.kind == node::StreamKind::Purges) == purges);
            streams.fold(BTreeMap::new(), |mut tops: BTreeMap<node::StreamId, u64>, stream| {
                let top = tops.entry(stream.stream).or_default();
                *top = (*top).max(stream.last.0);
                tops
            })
        };
        let published: u64 = of(true).values().sum();
        let ledger = lock(&self.ledger);
        let (began, ordinary) =
            (self.began.take().unwrap_or_default(), self.ordinary.take().unwrap_or_default());
        let control = self.fleet.control.len();
        let children = self.children();
        let member = |place: usize, real: bool| Member {
            children: place.checked_sub(control).and_then(|at| children.get(at)).copied().unwrap_or_default(),
            ..Member::of(place, real, &began, &ordinary, &end)
        };
        let hollow = self.is_real.iter().filter(|real| !**real).count();
        let faults_from = self.faults_from.unwrap_or(ended);
        Ok(Found {
            command: command(&self.options),
            rate: self.rate,
            members: (0..self.places).map(|at| member(control + at, self.is_real[at])).collect(),
            control: (0..control).map(|at| member(at, true)).collect(),
            bare: (0..BARE).map(|at| member(control + self.places + at, true)).collect(),
            processes: self.options.real as usize + control + BARE + 1,
            held_kb,
            said: std::mem::take(&mut self.said),
            purges: ledger.purges.clone(),
            changes: ledger.changes.clone(),
            hollow,
            hollow_kb: own.rss_kb,
            hollow_core: (ordinary.hollow_since(&began, hollow), end.hollow_since(&began, hollow)),
            floors: ledger.floors(),
            again: ledger.again(),
            published_twice: published.saturating_sub(ledger.purges.len() as u64),
            passed_over: judged.values().map(|judged| judged.passed_over).sum(),
            by_floor: judged.values().map(|judged| judged.by_floor).sum(),
            too_early: self.too_early,
            checked: self.checked,
            not_caught_up,
            names: self
                .fleet
                .control
                .iter()
                .chain(&self.fleet.members)
                .map(|member| member.name.clone())
                .collect(),
            greatest_ordinary: std::mem::take(&mut self.minutes.ordinary),
            greatest: std::mem::take(&mut self.minutes.whole),
            purge_window: self.fleet.layout().purge_window,
            change_window: self.change_window,
            bytes_per_second: f64::from(self.fleet.layout().bytes_per_second),
            faults: std::mem::take(&mut self.faults),
            carried: self.fleet.proxy.tally(),
            began: self.play_began.unwrap_or(ended),
            faults_from,
            options: self.options.clone(),
        })
    }
}

fn command(options: &Options) -> String {
    let Options { hollow, real, control, minutes, seed, .. } = options;
    let rate = options.rate.map_or(String::new(), |rate| format!(" --rate {rate}"));
    let calm = if options.calm { " --calm" } else { "" };
    format!(
        "rockflow-scale run --hollow {hollow} --real {real} --control {control} --minutes {minutes} --seed {seed}{rate}{calm}"
    )
}
