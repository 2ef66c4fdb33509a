//! A discrete-event simulation of a fleet: nodes, frames in transit and faults. A run is determined by its seed.

use super::checker::{Checker, Violation, What};
use super::layout::{Layout, Shape};
use super::traffic::Traffic;
use crate::slopes::measure::processor;
use rockflow_dissemination::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Unix milliseconds at the beginning of virtual time.
const EPOCH_MS: u64 = 1_800_000_000_000;
/// What a socket holds for a process that is stopped, and what a datagram takes of it beside its own bytes.
const SOCKET_BUFFER: usize = 212_992;
const BUFFER_OVERHEAD: usize = 768;
/// A frame that is late is so up to this.
const MAX_EXTRA_DELAY: Duration = Duration::from_secs(1);
/// The board is heard at a control node within this.
const BOARD_DELAY: Duration = Duration::from_millis(50);
/// Shares of frames that are lost, doubled or late on an ordinary day, at most.
const ORDINARY_FAULT_SHARE: f64 = 0.001;
/// Control nodes read a new directory within this.
const DIRECTORY_READ_DELAY: Duration = Duration::from_secs(1);
/// Between two looks at the tables of all.
const TABLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Shares of frames.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Share of frames that are lost.
    pub lost: f64,
    /// Share of frames that are delivered twice.
    pub duplicated: f64,
    /// Share of frames that are delayed.
    pub late: f64,
}

/// Configuration of a simulated fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of members, sites, zones, regions and control nodes.
    pub shape: Shape,
    /// Seed of all random draws.
    pub seed: u64,
    /// Purges published a second.
    pub purges_per_second: f64,
    /// Configuration changes published a second.
    pub changes_per_second: f64,
    /// Hosts whose settings are changed.
    pub hosts: usize,
    /// Neighbours that a member is told for when no control node answers.
    pub seeds: usize,
    /// Frame faults from the start of the simulation.
    pub faults: Faults,
    /// A purge is applied by all reachable members within this time.
    pub window: Duration,
    /// A change of the configuration is in force everywhere within this.
    pub change_window: Duration,
    /// Bandwidth limit of a member, in bytes a second.
    pub bytes_per_second: u32,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// A dispatcher goes by what it is given within this.
    pub decide: Duration,
    /// Places for members that replace others.
    pub spare: usize,
    /// All members start within this.
    pub start_within: Duration,
}

impl FleetConfig {
    /// The target's rates for a fleet of so many members.
    pub fn new(members: usize, seed: u64) -> FleetConfig {
        FleetConfig {
            shape: Shape::of(members),
            seed,
            purges_per_second: 49.0,
            changes_per_second: 0.5,
            hosts: 450,
            seeds: 0,
            faults: Faults::default(),
            window: Duration::from_secs_f64(8.7),
            change_window: Duration::from_secs(4),
            bytes_per_second: 6 * 1024,
            heartbeat_interval: Duration::from_millis(500),
            decide: Duration::from_millis(5),
            spare: 0,
            start_within: Duration::from_secs(5),
        }
    }
}

/// What a dispatcher was given, on its way into its decisions.
enum ReceivedState {
    Purges(Vec<(Purge, Duration)>),
    Settings { settings: BTreeMap<String, DesiredState>, changed: Vec<((StreamId, SequenceNumber), String)> },
}

enum FleetEvent {
    Frame {
        to: usize,
        from: usize,
        identity: Identity,
        bytes: usize,
        messages: Vec<Message>,
    },
    Tick {
        at: usize,
        epoch: u32,
    },
    Decided {
        at: usize,
        epoch: u32,
        given: Duration,
        token: ApplyToken,
        state: ReceivedState,
    },
    /// The board's word of a purge reaches a control node.
    Board {
        at: usize,
        purge: Purge,
        said: Duration,
    },
    /// A control node reads a new directory.
    Directory {
        at: usize,
        directory: Directory,
    },
    /// The next purge or change is due.
    Purge,
    Change,
    Start(usize),
    Wake(usize),
    Look,
}

struct Process {
    node: Option<Node>,
    identity: Identity,
    /// Grows with each start; what was meant for an earlier life is dropped.
    epoch: u32,
    stopped: bool,
    held: VecDeque<FleetEvent>,
    held_bytes: usize,
    next_tick: Option<Duration>,
    /// When it has decided on all that it was given.
    decides: Duration,
    /// Its clock is wrong by this, in milliseconds.
    clock: i64,
    /// The board's clock is behind this one by so many milliseconds; below nothing: ahead.
    board_clock_lag_ms: i64,
    publisher: Option<Publisher>,
    directory: Directory,
    /// It has gone on under a later life without being started again.
    has_new_incarnation: bool,
}

struct Cut {
    from: Vec<bool>,
    to: Vec<bool>,
    until: Duration,
}

/// Why a member refuses a setting, if it does: by its index, the host and what is wanted.
pub type Refuses = Box<dyn Fn(usize, &str, DesiredState) -> Option<RejectionReason>>;

/// A simulated fleet: nodes, frames in transit and faults, ordered by virtual time.
pub struct World {
    /// Configuration of the fleet.
    pub play: FleetConfig,
    /// Location of each node.
    pub layout: Layout,
    /// Current virtual time.
    pub now: Duration,
    /// Independent checker of the fleet's invariants.
    pub checker: Checker,
    /// Bytes and frames by node and second.
    pub traffic: Traffic,
    /// Index of the current phase, recorded with each published entry.
    pub moment: usize,
    /// Current frame faults.
    pub faults: Faults,
    /// Processor time in the machine, by node.
    pub spent: Vec<Duration>,
    /// By its own words: the last that it sent an acknowledgement to.
    pub follows: Vec<Option<usize>>,
    /// Decides which settings members reject; `None` accepts all.
    pub refuses: Option<Refuses>,
    /// Incarnations that continued as a later one without a restart.
    pub superseded_incarnations: usize,
    /// Frames dropped: on their way, at a cut, at a socket that was full, and at nobody.
    pub lost: [u64; 4],
    /// The most that one member held, by table.
    pub most: BTreeMap<&'static str, usize>,
    processes: Vec<Process>,
    cuts: Vec<Cut>,
    sides: Vec<Option<u8>>,
    rng: oorandom::Rand64,
    due: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: Vec<Option<FleetEvent>>,
    free: Vec<usize>,
    sequence: u64,
    next_host: usize,
    directory: Directory,
    replaced: usize,
    /// Purges and changes go on until then.
    busy_until: Duration,
    loads: [bool; 2],
    published_by: Vec<(usize, usize)>,
}

impl World {
    /// Creates a fleet whose control nodes run and whose members are scheduled to start.
    pub fn new(play: FleetConfig) -> World {
        let mut rng = oorandom::Rand64::new(u128::from(play.seed));
        let layout = Layout::new(play.shape, play.spare, &mut rng);
        let mut checker = Checker::new(layout.member_slots, play.window, play.change_window);
        (play.shape.members..layout.member_slots).for_each(|at| checker.set_listed(at, false));
        let directory = directory(&layout, 1, &(0..play.shape.members).collect::<Vec<_>>());
        let process = |at: usize| Process {
            node: None,
            identity: Identity { node: layout.peer(at).node, incarnation: Incarnation(0) },
            epoch: 0,
            stopped: false,
            held: VecDeque::new(),
            held_bytes: 0,
            next_tick: None,
            decides: Duration::ZERO,
            clock: 0,
            board_clock_lag_ms: 0,
            publisher: None,
            directory: directory.clone(),
            has_new_incarnation: false,
        };
        let nodes = layout.nodes();
        let mut world = World {
            now: Duration::ZERO,
            checker,
            traffic: Traffic::new(nodes),
            moment: 0,
            faults: play.faults,
            spent: vec![Duration::ZERO; nodes],
            follows: vec![None; nodes],
            refuses: None,
            superseded_incarnations: 0,
            lost: [0; 4],
            most: BTreeMap::new(),
            processes: (0..nodes).map(process).collect(),
            cuts: Vec::new(),
            sides: vec![None; nodes],
            rng,
            due: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            sequence: 0,
            next_host: 0,
            directory,
            replaced: 0,
            busy_until: Duration::ZERO,
            loads: [false; 2],
            published_by: Vec::new(),
            play,
            layout,
        };
        (0..world.layout.shape.control).for_each(|place| world.start(world.layout.control(place)));
        for at in 0..world.play.shape.members {
            let after = world.within(world.play.start_within);
            world.schedule(after, FleetEvent::Start(at));
        }
        world.schedule(TABLE_CHECK_INTERVAL, FleetEvent::Look);
        world
    }

    /// Above 0, at most `span`.
    pub fn within(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.rand_float())
    }

    /// Draws an index below `count`; 0 if `count` is 0.
    pub fn below(&mut self, count: usize) -> usize {
        self.rng.rand_range(0..count.max(1) as u64) as usize
    }

    fn schedule(&mut self, at: Duration, what: FleetEvent) {
        self.sequence += 1;
        let slot = match self.free.pop() {
            Some(slot) => {
                self.events[slot] = Some(what);
                slot
            }
            None => {
                self.events.push(Some(what));
                self.events.len() - 1
            }
        };
        self.due.push(Reverse((at.max(self.now), self.sequence, slot)));
    }

    /// Purges and changes come at their rates from now until then.
    pub fn busy(&mut self, until: Duration) {
        self.busy_until = until;
        if self.play.purges_per_second > 0.0 && !self.loads[0] {
            self.loads[0] = true;
            self.schedule(self.now, FleetEvent::Purge);
        }
        if self.play.changes_per_second > 0.0 && !self.loads[1] {
            self.loads[1] = true;
            self.schedule(self.now, FleetEvent::Change);
        }
    }

    /// Advances virtual time to `until`, handling all events that are due.
    pub fn play_to(&mut self, until: Duration) {
        while let Some(Reverse((at, _, slot))) = self.due.peek().copied() {
            if at > until {
                break;
            }
            self.due.pop();
            self.free.push(slot);
            self.now = at;
            if let Some(what) = self.events[slot].take() {
                self.handle_event(what);
            }
        }
        self.now = until;
    }

    /// Advances virtual time by `span`.
    pub fn play_for(&mut self, span: Duration) {
        self.play_to(self.now + span);
    }

    /// Whether the node at this index has a running process.
    pub fn alive(&self, at: usize) -> bool {
        self.processes[at].node.is_some()
    }

    /// The node at this index, if it is running.
    pub fn node(&self, at: usize) -> Option<&Node> {
        self.processes[at].node.as_ref()
    }

    /// Ends a node without anybody's hearing of it, for what it holds.
    pub fn drop_node(&mut self, at: usize) {
        self.processes[at].node = None;
    }

    fn member(&self, at: usize) -> bool {
        !self.layout.is_control(at)
    }

    // What goes wrong.

    /// A new life that knows nothing.
    pub fn start(&mut self, at: usize) {
        if self.alive(at) || (self.member(at) && !self.checker.is_listed(at)) {
            return;
        }
        let now = self.now;
        let seed = self.rng.rand_u64();
        let unix = EPOCH_MS as i64 + now.as_millis() as i64 + self.processes[at].clock;
        let identity =
            Identity { node: self.layout.peer(at).node, incarnation: Incarnation(unix.max(1) as u64) };
        let mut seeds = Vec::new();
        for _ in 0..self.play.seeds {
            let near = self.layout.region(self.layout.places[at].region);
            let near: Vec<_> = near.into_iter().filter(|other| *other != at).collect();
            if !near.is_empty() {
                let pick = self.below(near.len());
                seeds.push(Layout::address(near[pick]));
            }
        }
        let config = NodeConfig {
            identity,
            control_id: self.layout.control_id(at),
            control: self.layout.control_peers(),
            seeds,
            purge_window: self.play.window,
            bytes_per_second: self.play.bytes_per_second,
            heartbeat_interval: self.play.heartbeat_interval,
        };
        let control = config.control_id;
        let process = &mut self.processes[at];
        process.identity = identity;
        process.epoch += 1;
        process.has_new_incarnation = false;
        process.stopped = false;
        process.next_tick = None;
        process.publisher = control.map(|_| Publisher::new(config.purge_window));
        let directory = control.is_some().then(|| process.directory.clone());
        let clock = processor();
        let mut node = Node::new(config, directory, seed, now);
        let outputs = node.start(now);
        self.spent[at] += processor() - clock;
        process.node = Some(node);
        if self.member(at) {
            self.checker.on_start(now, at);
        }
        self.carry(at, outputs);
    }

    /// As SIGKILL: what it held is gone.
    pub fn kill(&mut self, at: usize) {
        self.checker.disturbed_at_all = true;
        let process = &mut self.processes[at];
        // The file of the members is read again by its next life.
        let unread = process.held.iter().rev().find_map(|held| match held {
            FleetEvent::Directory { directory, .. } => Some(directory.clone()),
            _ => None,
        });
        if let Some(directory) = unread {
            process.directory = directory;
        }
        process.node = None;
        process.publisher = None;
        process.held.clear();
        process.held_bytes = 0;
        process.stopped = false;
        self.follows[at] = None;
        if self.member(at) {
            self.checker.on_exit(at);
        } else {
            self.publisher_ends(at);
            for (control, entry) in self.recent_settings() {
                if control == at {
                    self.checker.doubt(entry);
                }
            }
        }
    }

    /// Settings that were published just now, and by whom.
    fn recent_settings(&self) -> Vec<(usize, usize)> {
        let since = self.now.saturating_sub(self.play.heartbeat_interval * 3);
        let lately = self.published_by.iter().rev();
        // Of settings alone these stand in the order of their time: a purge may be published long after it was said.
        let lately = lately.filter(|(_, entry)| self.checker.is_setting(*entry));
        lately.take_while(|(_, entry)| self.checker.entries[*entry].at >= since).copied().collect()
    }

    fn publisher_ends(&mut self, at: usize) {
        let mine = self.published_by.iter().filter(|(control, _)| *control == at);
        mine.for_each(|(_, entry)| self.checker.publisher_ended(*entry));
    }

    /// Killed now, begun again with nothing after so long.
    pub fn restart(&mut self, at: usize, after: Duration) {
        self.kill(at);
        self.schedule(self.now + after, FleetEvent::Start(at));
    }

    /// As SIGSTOP until then: what comes meanwhile waits in its socket, as far as that holds it.
    pub fn stop(&mut self, at: usize, until: Duration) {
        if self.alive(at) {
            self.checker.disturbed_at_all = true;
            self.processes[at].stopped = true;
            if self.member(at) {
                self.checker.set_stopped(at, true);
                self.checker.record_disturbance(at, until);
            }
            for (control, entry) in self.recent_settings() {
                if control == at {
                    self.checker.held_up(entry, until);
                }
            }
            self.schedule(until, FleetEvent::Wake(at));
        }
    }

    /// Its next lives begin with a clock that is wrong by so many milliseconds.
    pub fn set_clock(&mut self, at: usize, wrong_ms: i64) {
        self.processes[at].clock = wrong_ms;
    }

    /// The board's clock and that of a control node are apart by so many milliseconds: what the board says seems older there
    /// by so much, but never older than a board takes to tell of it.
    pub fn set_board_clock(&mut self, at: usize, behind_ms: i64) {
        self.processes[at].board_clock_lag_ms = behind_ms;
    }

    /// Nothing goes from some to others until then.
    pub fn cut(&mut self, from: &[usize], to: &[usize], until: Duration) {
        let set = |picked: &[usize]| {
            let mut set = vec![false; self.layout.nodes()];
            picked.iter().for_each(|at| set[*at] = true);
            set
        };
        self.checker.disturbed_at_all = true;
        let cut = Cut { from: set(from), to: set(to), until };
        self.cuts.push(cut);
    }

    /// Members that nothing is asked of before then, as they are cut off.
    pub fn disturb(&mut self, picked: &[usize], until: Duration) {
        for at in picked {
            if self.member(*at) {
                self.checker.record_disturbance(*at, until);
            }
        }
    }

    /// The fleet in two: nothing goes from the picked to all others, nor back, until then.
    pub fn part(&mut self, one: &[usize], until: Duration) {
        let mut sides = vec![Some(1); self.layout.nodes()];
        one.iter().for_each(|at| sides[*at] = Some(0));
        let other: Vec<_> = (0..self.layout.nodes()).filter(|at| sides[*at] == Some(1)).collect();
        self.cut(one, &other, until);
        self.cut(&other, one, until);
        self.checker.on_partition(sides[..self.layout.member_slots].to_vec(), until);
        for (control, entry) in self.recent_settings() {
            self.checker.sided(entry, sides[control]);
        }
        self.sides = sides;
    }

    /// New members in place of others: another directory, which control nodes read within a second of each other.
    pub fn replace(&mut self, members: &[usize]) {
        for at in members {
            let spare = self.play.shape.members + self.replaced;
            if spare >= self.layout.member_slots {
                return;
            }
            self.replaced += 1;
            self.layout.places[spare] = self.layout.places[*at];
            self.kill(*at);
            self.checker.on_replacement(spare, *at);
            self.sides[spare] = self.sides[*at];
            for cut in &mut self.cuts {
                (cut.from[spare], cut.to[spare]) = (cut.from[*at], cut.to[*at]);
            }
            let after = Duration::from_secs(1) + self.within(Duration::from_secs(4));
            self.schedule(self.now + after, FleetEvent::Start(spare));
        }
        let told: Vec<_> = (0..self.layout.member_slots).filter(|at| self.checker.is_listed(*at)).collect();
        self.directory = directory(&self.layout, self.directory.version + 1, &told);
        for place in 0..self.layout.shape.control {
            let at = self.layout.control(place);
            self.on_directory_read(at);
            let (after, directory) = (self.within(DIRECTORY_READ_DELAY), self.directory.clone());
            self.schedule(self.now + after, FleetEvent::Directory { at, directory });
        }
    }

    /// The checker is told by which directory a control node goes.
    fn on_directory_read(&mut self, at: usize) {
        let directory = &self.processes[at].directory;
        let named = |member: usize| directory.region_of(self.layout.peer(member).node).is_some();
        let told = (0..self.layout.member_slots).map(named).collect();
        self.checker.on_directory_read(at, told);
    }

    /// One control node reads another directory.
    pub fn directory_at(&mut self, at: usize, directory: Directory) {
        self.processes[at].directory = directory.clone();
        self.on_directory_read(at);
        let now = self.now;
        self.does(at, |node| node.set_directory(now, directory));
    }

    /// The directory that was published last.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    // What is published.

    /// The board says a purge, to all control nodes of a side.
    pub fn purge(&mut self, purge: Purge, side: Option<u8>) -> usize {
        let (now, moment) = (self.now, self.moment);
        let entry = self.checker.record_publication(now, What::Purge(purge), side, moment);
        for place in 0..self.layout.shape.control {
            let at = self.layout.control(place);
            if side.is_none() || self.sides[at] == side {
                let after = self.within(BOARD_DELAY);
                self.schedule(now + after, FleetEvent::Board { at, purge, said: now });
            }
        }
        entry
    }

    /// A purge of an object that no other names.
    pub fn purge_next(&mut self, side: Option<u8>) -> usize {
        let name = self.checker.entries.len() as u64 + 1;
        let purge = if name.is_multiple_of(16) { Purge::Group(name) } else { Purge::object(name) };
        self.purge(purge, side)
    }

    /// An operator says at a control node what is wanted of a host. Gives its entry; none: that node is not there.
    pub fn change(&mut self, control: usize, host: &str, wanted: DesiredState) -> Option<usize> {
        let at = self.layout.control(control);
        if !self.alive(at) || self.processes[at].stopped {
            return None;
        }
        let now = self.now;
        let what = What::Setting { host: host.to_string(), wanted };
        let (side, moment) = (self.sides[at].filter(|_| self.parted()), self.moment);
        let entry = self.checker.record_publication(now, what, side, moment);
        let publication = Publication::Setting { host: host.to_string(), desired: wanted };
        let ids = self.publish(at, vec![publication]);
        ids.into_iter().for_each(|(stream, number)| self.checker.numbered(entry, stream, number));
        self.published_by.push((at, entry));
        Some(entry)
    }

    /// Whether a partition of the fleet into sides is in force.
    pub fn parted(&self) -> bool {
        self.cuts.iter().any(|cut| cut.until > self.now) && self.sides.iter().any(|side| side.is_some())
    }

    fn publish(&mut self, at: usize, what: Vec<Publication>) -> Vec<(StreamId, SequenceNumber)> {
        let now = self.now;
        let mut ids = Vec::new();
        self.does(at, |node| {
            let (given, outputs) = node.publish(now, what);
            ids = given;
            outputs
        });
        ids
    }

    // How it goes on.

    /// One call of a machine, and what it wants done.
    fn does(&mut self, at: usize, call: impl FnOnce(&mut Node) -> Vec<Output>) {
        let Some(node) = &mut self.processes[at].node else { return };
        let clock = processor();
        let outputs = call(node);
        self.spent[at] += processor() - clock;
        self.carry(at, outputs);
    }

    fn carry(&mut self, at: usize, outputs: Vec<Output>) {
        let now = self.now;
        let mut sends: Vec<(SocketAddr, Vec<Message>)> = Vec::new();
        for out in outputs {
            self.sent_anew(at, &out);
            match out {
                Output::Send { to, message } => match sends.iter_mut().find(|(other, _)| *other == to) {
                    Some((_, messages)) => messages.push(message),
                    None => sends.push((to, vec![message])),
                },
                Output::Purge { purges, .. } if self.layout.is_control(at) => {
                    if let Some(publisher) = &mut self.processes[at].publisher {
                        purges.into_iter().for_each(|(purge, age)| publisher.on_published(now, purge, age));
                    }
                }
                Output::Purge { purges, token } => self.decide(at, token, ReceivedState::Purges(purges)),
                Output::Configure { settings, changed, token } => {
                    self.decide(at, token, ReceivedState::Settings { settings, changed });
                }
                Output::ReplicatedToAll { stream, number, .. } => {
                    self.checker.everywhere(now, stream, number, at);
                }
                Output::IncarnationSuperseded { incarnation } => {
                    self.superseded_incarnations += 1;
                    self.processes[at].identity.incarnation = incarnation;
                    self.processes[at].has_new_incarnation = true;
                    self.publisher_ends(at);
                }
            }
        }
        for (to, messages) in sends {
            self.send(at, to, messages);
        }
        let process = &mut self.processes[at];
        let Some(node) = &process.node else { return };
        let next = node.next_due().max(now);
        if process.next_tick.is_none_or(|held| next < held) {
            process.next_tick = Some(next);
            let epoch = process.epoch;
            self.schedule(next, FleetEvent::Tick { at, epoch });
        }
    }

    /// What a control node's life that goes on above another sends of its own, for the first time.
    fn sent_anew(&mut self, at: usize, out: &Output) {
        let Output::Send { message: Message::Batch { stream, first, entries }, .. } = out else { return };
        let process = &self.processes[at];
        let own = Some(stream.control) == self.layout.control_id(at)
            && stream.incarnation == process.identity.incarnation;
        if !process.has_new_incarnation || !own {
            return;
        }
        for (number, aged) in (first.0..).map(SequenceNumber).zip(entries) {
            self.checker.sent_anew(*stream, number, &aged.entry);
        }
    }

    fn decide(&mut self, at: usize, token: ApplyToken, state: ReceivedState) {
        let (given, epoch) = (self.now, self.processes[at].epoch);
        // In the order given, as a dispatcher takes its events.
        let due = (given + self.within(self.play.decide)).max(self.processes[at].decides);
        self.processes[at].decides = due;
        self.schedule(due, FleetEvent::Decided { at, epoch, given, token, state });
    }

    /// Packs messages to one peer as the link does, and puts the frames on their way.
    fn send(&mut self, from: usize, to: SocketAddr, messages: Vec<Message>) {
        let Some(to) = self.layout.at(to) else {
            self.lost[3] += 1;
            return;
        };
        if messages.iter().any(|message| matches!(message, Message::Acknowledgement { .. })) {
            self.follows[from] = Some(to);
        }
        let identity = self.processes[from].identity;
        for (bytes, messages) in super::wire::pack(identity, messages) {
            self.frame(from, to, identity, bytes, messages);
        }
    }

    fn frame(&mut self, from: usize, to: usize, identity: Identity, bytes: usize, messages: Vec<Message>) {
        let now = self.now;
        self.traffic.sent(now, from, bytes);
        if !self.cuts.is_empty() {
            self.cuts.retain(|cut| cut.until > now);
            if self.cuts.iter().any(|cut| cut.from[from] && cut.to[to]) {
                self.lost[1] += 1;
                return;
            }
        }
        let faults = self.faults;
        if [faults.lost, faults.duplicated, faults.late].into_iter().any(|share| share > ORDINARY_FAULT_SHARE)
        {
            self.checker.disturbed_at_all = true;
        }
        if faults.lost > 0.0 && self.rng.rand_float() < faults.lost {
            self.lost[0] += 1;
            return;
        }
        let way = self.layout.delay(from, to);
        if faults.duplicated > 0.0 && self.rng.rand_float() < faults.duplicated {
            let after = way + self.within(way + Duration::from_millis(1));
            let messages = messages.clone();
            self.schedule(now + after, FleetEvent::Frame { to, from, identity, bytes, messages });
        }
        let mut after = way + self.within(way.mul_f64(0.1) + Duration::from_micros(50));
        if faults.late > 0.0 && self.rng.rand_float() < faults.late {
            after += self.within(MAX_EXTRA_DELAY);
        }
        self.schedule(now + after, FleetEvent::Frame { to, from, identity, bytes, messages });
    }

    fn handle_event(&mut self, what: FleetEvent) {
        let now = self.now;
        match what {
            FleetEvent::Frame { to, from, identity, bytes, messages } => {
                let process = &mut self.processes[to];
                if process.node.is_none() {
                    self.lost[3] += 1;
                    return;
                }
                self.traffic.record_received(now, to, bytes);
                if process.stopped {
                    if process.held_bytes + bytes + BUFFER_OVERHEAD > SOCKET_BUFFER {
                        self.lost[2] += 1;
                        return;
                    }
                    process.held_bytes += bytes + BUFFER_OVERHEAD;
                    process.held.push_back(FleetEvent::Frame { to, from, identity, bytes, messages });
                    return;
                }
                self.hear(to, from, identity, messages);
            }
            FleetEvent::Tick { at, epoch } => {
                let process = &mut self.processes[at];
                if process.epoch != epoch || process.next_tick.is_none_or(|due| due > now) {
                    return;
                }
                process.next_tick = None;
                if process.stopped {
                    return;
                }
                self.tick(at);
            }
            FleetEvent::Decided { at, epoch, given, token, state } => {
                let process = &mut self.processes[at];
                if process.epoch != epoch || process.node.is_none() {
                    return;
                }
                if process.stopped {
                    process.held.push_back(FleetEvent::Decided { at, epoch, given, token, state });
                    return;
                }
                self.decided(at, given, token, state);
            }
            FleetEvent::Board { at, purge, said } => {
                let process = &mut self.processes[at];
                if process.stopped {
                    process.held.push_back(FleetEvent::Board { at, purge, said });
                    return;
                }
                self.board(at, purge, said);
            }
            FleetEvent::Directory { at, directory } => {
                let process = &mut self.processes[at];
                if process.stopped {
                    process.held.push_back(FleetEvent::Directory { at, directory });
                } else if directory.version > process.directory.version {
                    self.directory_at(at, directory);
                }
            }
            FleetEvent::Purge => {
                if now >= self.busy_until {
                    self.loads[0] = false;
                    return;
                }
                let side = if self.parted() { Some(self.below(2) as u8) } else { None };
                self.purge_next(side);
                let mean = 1.0 / self.play.purges_per_second;
                let after = Duration::from_secs_f64(mean * (0.5 + self.rng.rand_float()));
                self.schedule(now + after, FleetEvent::Purge);
            }
            FleetEvent::Change => {
                if now >= self.busy_until {
                    self.loads[1] = false;
                    return;
                }
                self.next_change();
                let mean = 1.0 / self.play.changes_per_second;
                let after = Duration::from_secs_f64(mean * (0.5 + self.rng.rand_float()));
                self.schedule(now + after, FleetEvent::Change);
            }
            FleetEvent::Start(at) => self.start(at),
            FleetEvent::Wake(at) => self.wake(at),
            FleetEvent::Look => {
                self.look();
                self.schedule(now + TABLE_CHECK_INTERVAL, FleetEvent::Look);
            }
        }
    }

    /// A host in turn, so that the same one does not come again soon.
    fn next_change(&mut self) {
        let controls: Vec<_> = (0..self.layout.shape.control)
            .filter(|place| {
                let at = self.layout.control(*place);
                self.alive(at) && !self.processes[at].stopped
            })
            .collect();
        if controls.is_empty() {
            return;
        }
        let control = controls[self.below(controls.len())];
        self.next_host += 1;
        // Two sides of a cut change different hosts; what becomes of the same one is for the hard cases.
        if self.parted() {
            let side = usize::from(self.sides[self.layout.control(control)].unwrap_or_default());
            self.next_host += (self.next_host % 2 + side) % 2;
        }
        let host = format!("cache-{:04}", self.next_host % self.play.hosts);
        let wanted = [DesiredState::Draining, DesiredState::Gone, DesiredState::Listed][self.below(3)];
        self.change(control, &host, wanted);
    }

    fn hear(&mut self, to: usize, from: usize, identity: Identity, messages: Vec<Message>) {
        let (now, address) = (self.now, Layout::address(from));
        let mut outputs = Vec::new();
        for message in messages {
            let Some(node) = &mut self.processes[to].node else { return };
            let tells = match &message {
                Message::Heartbeat { tips, .. } => !tips.is_empty(),
                Message::Batch { .. } | Message::Snapshot { .. } => true,
                _ => false,
            };
            if tells && !self.layout.is_control(to) {
                self.checker.on_contact(now, to);
            }
            let clock = processor();
            outputs.extend(node.on_message(now, identity, address, message));
            self.spent[to] += processor() - clock;
        }
        self.carry(to, outputs);
    }

    fn tick(&mut self, at: usize) {
        let now = self.now;
        self.does(at, |node| node.tick(now));
        self.publish_waiting(at);
    }

    fn decided(&mut self, at: usize, given: Duration, token: ApplyToken, state: ReceivedState) {
        let now = self.now;
        if self.member(at) {
            match state {
                ReceivedState::Purges(purges) => self.checker.purged(now, given, at, &purges),
                ReceivedState::Settings { mut settings, mut changed } => {
                    let refused = self.on_rejected_setting(at, &settings, &changed);
                    for (id, host, why) in refused {
                        settings.remove(&host);
                        changed.retain(|(other, _)| *other != id);
                        self.checker.on_rejected_setting(at, id);
                        self.does(at, |node| node.reject(now, id, why));
                    }
                    self.checker.configured(now, at, settings, &changed);
                }
            }
        }
        self.does(at, |node| node.confirm_applied(now, token));
    }

    #[allow(clippy::type_complexity)]
    fn on_rejected_setting(
        &self,
        at: usize,
        settings: &BTreeMap<String, DesiredState>,
        changed: &[((StreamId, SequenceNumber), String)],
    ) -> Vec<((StreamId, SequenceNumber), String, RejectionReason)> {
        let Some(refuses) = &self.refuses else { return Vec::new() };
        let judged = changed.iter().filter_map(|(id, host)| {
            let wanted = settings.get(host).copied().unwrap_or(DesiredState::Listed);
            refuses(at, host, wanted).map(|why| (*id, host.clone(), why))
        });
        judged.collect()
    }

    fn board(&mut self, at: usize, purge: Purge, said: Duration) {
        let (now, ago) = (self.now, self.now.saturating_sub(said));
        let process = &mut self.processes[at];
        let wrong = Duration::from_millis(process.board_clock_lag_ms.unsigned_abs());
        let seems = if process.board_clock_lag_ms < 0 { ago.saturating_sub(wrong) } else { ago + wrong };
        let age = seems.min(BACKLOG_AGE_UNCERTAINTY).min(self.play.window);
        if let (Some(publisher), Some(entry)) = (&mut process.publisher, self.checker.entry_of(&purge)) {
            publisher.on_purge_notice(now, purge, age);
            self.checker.overstated_age(entry, age.saturating_sub(ago));
            self.publish_waiting(at);
        }
    }

    /// What is this control node's to publish of the board's purges.
    fn publish_waiting(&mut self, at: usize) {
        let now = self.now;
        let process = &mut self.processes[at];
        let (Some(node), Some(publisher)) = (&process.node, &mut process.publisher) else { return };
        let what = publisher.tick(now, node.publisher_role(now));
        if what.is_empty() {
            return;
        }
        let entries: Vec<_> = what
            .iter()
            .map(|publication| match publication {
                Publication::Purge { purge, .. } => self.checker.entry_of(purge),
                Publication::Setting { .. } => None,
            })
            .collect();
        let ids = self.publish(at, what);
        for (entry, (stream, number)) in entries.into_iter().zip(ids) {
            if let Some(entry) = entry {
                self.checker.numbered(entry, stream, number);
                self.published_by.push((at, entry));
            }
        }
    }

    fn wake(&mut self, at: usize) {
        let process = &mut self.processes[at];
        if process.node.is_none() || !process.stopped {
            return;
        }
        process.stopped = false;
        process.held_bytes = 0;
        process.next_tick = None;
        let held = std::mem::take(&mut process.held);
        if self.member(at) {
            self.checker.set_stopped(at, false);
        }
        // Its timers or its socket first: not its to choose.
        let timers_first = self.below(2) == 0;
        if timers_first {
            self.tick(at);
        }
        for what in held {
            self.handle_event(what);
        }
        if !timers_first {
            self.tick(at);
        }
    }

    /// The tables of all, against their caps.
    fn look(&mut self) {
        for at in 0..self.processes.len() {
            let Some(node) = &self.processes[at].node else { continue };
            let status = node.status(self.now);
            let held = |kind| {
                let of = status.streams.iter().filter(move |stream| stream.stream.kind == kind);
                of.map(|stream| stream.entries).max().unwrap_or_default()
            };
            let children = match self.layout.is_control(at) {
                true => MAX_CONTROL_CHILDREN,
                false => MAX_CHILDREN,
            };
            let tables = [
                ("children", status.children, children),
                ("streams", status.streams.len(), MAX_STREAMS),
                ("purges of a log", held(StreamKind::Purges), MAX_PURGE_LOG_ENTRIES),
                ("settings of a log", held(StreamKind::Configuration), MAX_CONFIGURATION_LOG_ENTRIES),
                ("hosts with a setting", status.setting_count, MAX_HOSTS),
                ("tickets", status.unconfirmed, 2 * MAX_PENDING_TOKENS),
            ];
            for (table, held, cap) in tables {
                let most = self.most.entry(table).or_default();
                *most = held.max(*most);
                if held > cap {
                    self.checker.record_violation(Violation::PastCap, || {
                        format!("{held} of {cap} {table} at node {at}")
                    });
                }
            }
        }
    }
}

/// The directory of some members, as an operator would write it.
pub fn directory(layout: &Layout, version: u64, members: &[usize]) -> Directory {
    let listed = members.iter().map(|at| {
        let place = layout.places[*at];
        DirectoryMember {
            name: layout.name(*at),
            region: format!("r{}", place.region),
            site: format!("s{}", place.site),
            zone: format!("z{}", place.zone),
            address: Layout::address(*at),
        }
    });
    Directory::of(version, listed.collect()).expect("a layout's names differ")
}
