//! A small fleet in virtual time: nodes, a network that loses, duplicates and reorders, and what each node has applied.

use super::{control_name, ms, s, HEARTBEAT_INTERVAL, INCARNATION, PURGE_WINDOW};
use rockflow_dissemination::*;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

/// Members by region and site.
pub const TWO_REGIONS: &[&[usize]] = &[&[5, 3], &[4]];

/// Whether a message from one node to another is lost.
pub type DropRule = Box<dyn FnMut(usize, usize, &Message) -> bool>;

type Frame = std::cmp::Reverse<(Duration, u64, usize, usize, u64, bool)>;

/// What a node's caller has applied.
#[derive(Default)]
pub struct Caller {
    pub purges: Vec<(Purge, Duration, Duration)>,
    pub full_purges: usize,
    pub settings: BTreeMap<String, DesiredState>,
    pub configure_outputs: usize,
    pub replicated: Vec<(StreamId, SequenceNumber, Duration, Duration)>,
    pub superseded_by: Vec<Incarnation>,
    pub rejected_hosts: BTreeSet<String>,
    /// Tokens are not confirmed until the test does.
    pub withholds_confirmations: bool,
    pub unconfirmed_tokens: Vec<ApplyToken>,
}

pub struct Member {
    pub name: String,
    pub node: Node,
    pub config: NodeConfig,
    pub up: bool,
    /// Paused: messages wait unread.
    pub stopped: bool,
    pub unread: Vec<(Identity, SocketAddr, Message)>,
    pub caller: Caller,
    pub unix_offset: i64,
}

pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<Member>,
    pub directory: Directory,
    pub controls: usize,
    frames: BinaryHeap<Frame>,
    messages: BTreeMap<u64, (Identity, Message)>,
    serial: u64,
    pub chance: oorandom::Rand64,
    pub loss: f64,
    pub duplication: f64,
    pub delay: (u64, u64),
    pub cut: BTreeSet<(usize, usize)>,
    /// Messages to be lost.
    pub drop_rule: Option<DropRule>,
    pub bytes: usize,
    pub largest: usize,
    pub published: BTreeMap<EntryId, Duration>,
    /// Objects purged, by the ids of their entries.
    pub purged: BTreeMap<EntryId, u64>,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000))
}

/// Members by region, site and count.
pub fn csv(version: u64, controls: usize, regions: &[&[usize]]) -> String {
    let mut text = format!("version,{version}\n");
    let mut index = controls;
    for (region, sites) in regions.iter().enumerate() {
        for (site, count) in sites.iter().enumerate() {
            for member in 0..*count {
                text += &format!(
                    "m-{region}-{site}-{member},region{region},site-{region}-{site},z,{}\n",
                    address(index)
                );
                index += 1;
            }
        }
    }
    text
}

/// A small fleet with three control nodes, in which all have their places.
pub fn settled(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(3, TWO_REGIONS, seed);
    fleet.run(s(6));
    fleet
}

impl Fleet {
    pub fn new(controls: usize, regions: &[&[usize]], seed: u64) -> Fleet {
        let directory = Directory::parse(&csv(1, controls, regions)).expect("a directory");
        let mut fleet = Fleet {
            now: Duration::ZERO,
            nodes: Vec::new(),
            directory: directory.clone(),
            controls,
            frames: BinaryHeap::new(),
            messages: BTreeMap::new(),
            serial: 0,
            chance: oorandom::Rand64::new(u128::from(seed)),
            loss: 0.0,
            duplication: 0.0,
            delay: (5, 30),
            cut: BTreeSet::new(),
            drop_rule: None,
            bytes: 0,
            largest: 0,
            published: BTreeMap::new(),
            purged: BTreeMap::new(),
        };
        let control: Vec<Peer> = (0..controls)
            .map(|index| Peer { node: NodeId::of(&control_name(index)), address: address(index) })
            .collect();
        let names = (0..controls).map(control_name);
        let names: Vec<String> =
            names.chain(directory.members.iter().map(|member| member.name.clone())).collect();
        for (index, name) in names.into_iter().enumerate() {
            let config = NodeConfig {
                identity: Identity { node: NodeId::of(&name), incarnation: Incarnation(INCARNATION) },
                control_id: (index < controls).then_some(ControlId(index as u8)),
                control: control.clone(),
                seeds: Vec::new(),
                purge_window: PURGE_WINDOW,
                bytes_per_second: 6000,
                heartbeat_interval: HEARTBEAT_INTERVAL,
            };
            let listing = (index < controls).then(|| directory.clone());
            let node = Node::new(config.clone(), listing, index as u64, Duration::ZERO);
            fleet.nodes.push(Member {
                name,
                node,
                config,
                up: true,
                stopped: false,
                unread: Vec::new(),
                caller: Caller::default(),
                unix_offset: 0,
            });
        }
        for index in 0..fleet.nodes.len() {
            let outputs = fleet.nodes[index].node.start(Duration::ZERO);
            fleet.handle_outputs(index, outputs);
        }
        fleet
    }

    pub fn index(&self, name: &str) -> usize {
        self.nodes.iter().position(|member| member.name == name).expect("a node of this name")
    }

    pub fn members(&self) -> std::ops::Range<usize> {
        self.controls..self.nodes.len()
    }

    pub fn handle_outputs(&mut self, index: usize, outputs: Vec<Output>) {
        for out in outputs {
            match out {
                Output::Send { to, message } => self.send(index, to, message),
                Output::Purge { purges, token } => {
                    let now = self.now;
                    let caller = &mut self.nodes[index].caller;
                    caller.full_purges +=
                        purges.iter().filter(|(purge, _)| *purge == Purge::Everything).count();
                    caller.purges.extend(purges.into_iter().map(|(purge, age)| (purge, age, now)));
                    self.confirm(index, token);
                }
                Output::Configure { settings, changed, token } => {
                    let caller = &mut self.nodes[index].caller;
                    caller.configure_outputs += 1;
                    caller.settings = settings;
                    for (id, host) in changed {
                        if self.nodes[index].caller.rejected_hosts.contains(&host) {
                            self.nodes[index].caller.settings.remove(&host);
                            let outputs =
                                self.nodes[index].node.reject(self.now, id, RejectionReason::LastOne);
                            self.handle_outputs(index, outputs);
                        }
                    }
                    self.confirm(index, token);
                }
                Output::ReplicatedToAll { stream, number, after } => {
                    let now = self.now;
                    self.check_everywhere(stream, number);
                    self.nodes[index].caller.replicated.push((stream, number, after, now));
                }
                Output::IncarnationSuperseded { incarnation } => {
                    self.nodes[index].config.identity.incarnation = incarnation;
                    self.nodes[index].caller.superseded_by.push(incarnation);
                }
            }
        }
    }

    fn confirm(&mut self, index: usize, token: ApplyToken) {
        if self.nodes[index].caller.withholds_confirmations {
            self.nodes[index].caller.unconfirmed_tokens.push(token);
            return;
        }
        let outputs = self.nodes[index].node.confirm_applied(self.now, token);
        self.handle_outputs(index, outputs);
    }

    /// What is reported as replicated is applied by each member's own status; where that has retired the stream, by what it has
    /// applied.
    fn check_everywhere(&self, stream: StreamId, number: SequenceNumber) {
        for index in self.members().filter(|index| self.nodes[*index].up) {
            let status = self.nodes[index].node.status(self.now);
            let held = status.streams.iter().find(|held| held.stream == stream);
            let name = &self.nodes[index].name;
            if held.is_none() && stream.kind == StreamKind::Purges && self.counters(index).streams_retired > 0
            {
                let ids = (1..=number.0).map(|number| (stream, SequenceNumber(number)));
                for (id, object) in ids.filter_map(|id| self.purged.get(&id).map(|object| (id, *object))) {
                    assert!(
                        self.covered(index, object, self.published[&id]),
                        "{id:?} everywhere, not at {name}"
                    );
                }
                continue;
            }
            assert!(
                held.is_some_and(|held| held.applied >= number),
                "{stream:?} {number:?} everywhere, {name} has {held:?}"
            );
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let size = postcard::to_stdvec(&message).expect("encodes").len();
        self.bytes += size;
        self.largest = self.largest.max(size);
        let Some(to) = (0..self.nodes.len()).find(|index| address(*index) == to) else { return };
        let eaten = self.drop_rule.as_mut().is_some_and(|drop_rule| drop_rule(from, to, &message));
        if eaten || self.cut.contains(&(from.min(to), from.max(to))) {
            return;
        }
        let copies = 1 + usize::from(self.chance.rand_float() < self.duplication);
        for _ in 0..copies {
            if self.chance.rand_float() < self.loss {
                continue;
            }
            let delay = self.chance.rand_range(self.delay.0..self.delay.1);
            self.serial += 1;
            let identity = self.nodes[from].config.identity;
            self.messages.insert(self.serial, (identity, message.clone()));
            let at = self.now + ms(delay);
            self.frames.push(std::cmp::Reverse((at, self.serial, from, to, self.serial, true)));
        }
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        loop {
            let frame = self.frames.peek().map(|frame| frame.0 .0);
            let alive = self.nodes.iter().enumerate().filter(|(_, member)| member.up && !member.stopped);
            let tick = alive.map(|(index, member)| (member.node.next_due().max(self.now), index)).min();
            let next = frame.into_iter().chain(tick.map(|(at, _)| at)).min().unwrap_or(until);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if frame == Some(next) {
                let std::cmp::Reverse((_, _, from, to, id, _)) = self.frames.pop().expect("a frame");
                let (identity, message) = self.messages.remove(&id).expect("its message");
                self.deliver(from, to, identity, message);
            } else if let Some((_, index)) = tick {
                let outputs = self.nodes[index].node.tick(self.now);
                let due = self.nodes[index].node.next_due();
                assert!(due > self.now, "{} doesn't rest", self.nodes[index].name);
                self.handle_outputs(index, outputs);
            }
        }
        self.now = until;
    }

    fn deliver(&mut self, from: usize, to: usize, identity: Identity, message: Message) {
        if !self.nodes[to].up {
            return;
        }
        if self.nodes[to].stopped {
            self.nodes[to].unread.push((identity, address(from), message));
            return;
        }
        let outputs = self.nodes[to].node.on_message(self.now, identity, address(from), message);
        self.handle_outputs(to, outputs);
    }

    pub fn publish(&mut self, index: usize, what: Vec<Publication>) -> Vec<EntryId> {
        let (ids, outputs) = self.nodes[index].node.publish(self.now, what);
        self.handle_outputs(index, outputs);
        for id in &ids {
            self.published.insert(*id, self.now);
        }
        ids
    }

    pub fn purge(&mut self, index: usize, object: u64) -> EntryId {
        let purge = Publication::Purge { purge: Purge::object(object), age: Duration::ZERO };
        let id = self.publish(index, vec![purge])[0];
        self.purged.insert(id, object);
        id
    }

    pub fn set_desired_state(&mut self, index: usize, host: &str, desired: DesiredState) -> EntryId {
        self.publish(index, vec![Publication::Setting { host: host.to_owned(), desired }])[0]
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    /// Restarts a process, with this Unix time as its incarnation.
    pub fn restart(&mut self, index: usize, unix_ms: u64) {
        let mut config = self.nodes[index].config.clone();
        config.identity.incarnation = Incarnation(unix_ms);
        let listing = config.control_id.is_some().then(|| self.directory.clone());
        let node = Node::new(config.clone(), listing, unix_ms, self.now);
        let member = &mut self.nodes[index];
        member.node = node;
        member.config = config;
        member.up = true;
        member.stopped = false;
        member.caller = Caller::default();
        let outputs = self.nodes[index].node.start(self.now);
        self.handle_outputs(index, outputs);
    }

    pub fn pause(&mut self, index: usize) {
        self.nodes[index].stopped = true;
    }

    /// Resumes a paused process: what waited unread is read at once.
    pub fn resume(&mut self, index: usize) {
        self.nodes[index].stopped = false;
        for (identity, at, message) in std::mem::take(&mut self.nodes[index].unread) {
            let outputs = self.nodes[index].node.on_message(self.now, identity, at, message);
            self.handle_outputs(index, outputs);
        }
    }

    pub fn status(&self, index: usize) -> NodeStatus {
        self.nodes[index].node.status(self.now)
    }

    pub fn control(&self, index: usize) -> ControlStatus {
        self.status(index).control.expect("a control node")
    }

    pub fn counters(&self, index: usize) -> Counters {
        *self.nodes[index].node.counters()
    }

    /// How often a member has applied the purge of an object.
    pub fn purge_count(&self, index: usize, object: u64) -> usize {
        let purges = &self.nodes[index].caller.purges;
        purges.iter().filter(|(purge, ..)| *purge == Purge::object(object)).count()
    }

    /// Whether a purge was applied once, or covered by a purge of everything.
    pub fn covered(&self, index: usize, object: u64, published: Duration) -> bool {
        let purges = &self.nodes[index].caller.purges;
        let full_purge = |(purge, age, at): &(Purge, Duration, Duration)| {
            *purge == Purge::Everything && at.saturating_sub(*age) >= published
        };
        self.purge_count(index, object) == 1 || purges.iter().any(full_purge)
    }

    pub fn everywhere(&self, index: usize, id: EntryId) -> bool {
        self.control(index).replicated_to_all.get(&id.0).is_some_and(|number| *number >= id.1)
    }
}
