//! A discrete-event simulation of a fleet: nodes, frames in transit and faults. A run is determined by its seed.

mod events;
mod faults;
mod publishing;

use crate::virtual_fleet::checker::Checker;
use crate::virtual_fleet::layout::{Layout, Shape};
use crate::virtual_fleet::traffic::Traffic;
use rockflow_dissemination::{
    ApplyToken, DesiredState, Directory, DirectoryMember, Identity, Incarnation, Message, Node, Publisher,
    Purge, RejectionReason, SequenceNumber, StreamId,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
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
