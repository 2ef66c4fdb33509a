//! A small fleet in virtual time: its nodes, a network that loses, duplicates and reorders messages, and what the
//! caller of each node has applied.

use super::{control_name, ms, s, HEARTBEAT_INTERVAL, INCARNATION, PURGE_WINDOW};
use rockflow_dissemination::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of members by region and site.
pub const TWO_REGIONS: &[&[usize]] = &[&[5, 3], &[4]];

/// Whether a message is lost, by the indices of its sender and its receiver.
pub type DropRule = Box<dyn FnMut(usize, usize, &Message) -> bool>;

/// A message on its way between two nodes, given by their indices. Ordered by time of arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Delivery {
    at: Duration,
    /// Key of the message, unique for each copy of it.
    serial: u64,
    from: usize,
    to: usize,
}

/// A purge as a node's caller has applied it.
#[derive(Clone, Debug)]
pub struct AppliedPurge {
    pub purge: Purge,
    /// Age of the purge when it was applied.
    pub age: Duration,
    pub applied_at: Duration,
}

/// The caller of a node: what it has applied, and how it behaves.
#[derive(Default)]
pub struct Caller {
    pub purges: Vec<AppliedPurge>,
    /// Number of purges of everything among them.
    pub full_purges: usize,
    pub settings: BTreeMap<String, DesiredState>,
    /// Entries that the node has reported as replicated to all: stream, number, time since publication, and time of the
    /// report.
    pub replicated: Vec<(StreamId, SequenceNumber, Duration, Duration)>,
    /// Greater incarnations under which the node has continued.
    pub superseded_by: Vec<Incarnation>,
    /// Hosts whose settings the caller rejects.
    pub rejected_hosts: BTreeSet<String>,
    /// Whether tokens are collected in `unconfirmed_tokens` instead of being confirmed.
    pub withholds_confirmations: bool,
    pub unconfirmed_tokens: Vec<ApplyToken>,
}

/// A member or control node, and its process.
pub struct FleetNode {
    pub name: String,
    pub node: Node,
    pub config: NodeConfig,
    pub is_running: bool,
    /// Whether the process is paused, so that its messages wait in `unread`.
    pub is_paused: bool,
    /// Waiting messages, each with the identity and the address of its sender.
    pub unread: Vec<(Identity, SocketAddr, Message)>,
    pub caller: Caller,
}

/// The fleet. Nodes are named by their index; control nodes come first.
pub struct Fleet {
    pub now: Duration,
    pub nodes: Vec<FleetNode>,
    pub directory: Directory,
    /// Number of control nodes.
    pub controls: usize,
    deliveries: BinaryHeap<Reverse<Delivery>>,
    /// Messages on their way, each with its sender, by the serial number of the delivery.
    messages: BTreeMap<u64, (Identity, Message)>,
    serial: u64,
    /// The source of randomness of the network.
    pub rng: oorandom::Rand64,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is sent twice.
    pub duplication: f64,
    /// Range of the transmission delay in milliseconds.
    pub delay: (u64, u64),
    /// Pairs of nodes between which no message arrives, the lower index first.
    pub cut: BTreeSet<(usize, usize)>,
    /// Loses messages in addition to `loss` and `cut`.
    pub drop_rule: Option<DropRule>,
    /// Bytes of all messages sent so far.
    pub bytes: usize,
    /// Bytes of the largest message sent so far.
    pub largest_message_bytes: usize,
    /// When each entry was published.
    pub published: BTreeMap<EntryId, Duration>,
    /// The object that was purged by each entry.
    pub purged: BTreeMap<EntryId, u64>,
}

/// Address of the node with this index.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7000))
}

/// A directory for the given number of members by region and site. Their addresses follow those of the control nodes.
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

/// A fleet with three control nodes and [`TWO_REGIONS`], whose members have obtained their places in the tree.
pub fn settled(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(3, TWO_REGIONS, seed);
    fleet.run(s(6));
    fleet
}

impl Fleet {
    /// Starts a fleet at time 0. `seed` determines all randomness of the network.
    pub fn new(controls: usize, regions: &[&[usize]], seed: u64) -> Fleet {
        let directory = Directory::parse(&csv(1, controls, regions)).expect("a directory");
        let mut fleet = Fleet {
            now: Duration::ZERO,
            nodes: Vec::new(),
            directory: directory.clone(),
            controls,
            deliveries: BinaryHeap::new(),
            messages: BTreeMap::new(),
            serial: 0,
            rng: oorandom::Rand64::new(u128::from(seed)),
            loss: 0.0,
            duplication: 0.0,
            delay: (5, 30),
            cut: BTreeSet::new(),
            drop_rule: None,
            bytes: 0,
            largest_message_bytes: 0,
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
            let directory = (index < controls).then(|| directory.clone());
            let node = Node::new(config.clone(), directory, index as u64, Duration::ZERO);
            fleet.nodes.push(FleetNode {
                name,
                node,
                config,
                is_running: true,
                is_paused: false,
                unread: Vec::new(),
                caller: Caller::default(),
            });
        }
        for index in 0..fleet.nodes.len() {
            let outputs = fleet.nodes[index].node.start(Duration::ZERO);
            fleet.handle_outputs(index, outputs);
        }
        fleet
    }

    /// Index of the node with this name.
    pub fn index(&self, name: &str) -> usize {
        self.nodes.iter().position(|member| member.name == name).expect("a node of this name")
    }

    /// Indices of the members, which follow those of the control nodes.
    pub fn members(&self) -> std::ops::Range<usize> {
        self.controls..self.nodes.len()
    }

    /// Carries out the outputs of a node, as its caller has to.
    pub fn handle_outputs(&mut self, index: usize, outputs: Vec<Output>) {
        for out in outputs {
            match out {
                Output::Send { to, message } => self.send(index, to, message),
                Output::Purge { purges, token } => {
                    let now = self.now;
                    let caller = &mut self.nodes[index].caller;
                    caller.full_purges +=
                        purges.iter().filter(|(purge, _)| *purge == Purge::Everything).count();
                    let applied = |(purge, age)| AppliedPurge { purge, age, applied_at: now };
                    caller.purges.extend(purges.into_iter().map(applied));
                    self.confirm(index, token);
                }
                Output::Configure { settings, changed, token } => {
                    self.nodes[index].caller.settings = settings;
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
                    self.check_replicated_to_all(stream, number);
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

    /// Checks an entry that a control node reports as replicated to all: each running member must have applied it by
    /// its own status. Where a member has retired the purge stream, the purges that its caller has applied decide.
    fn check_replicated_to_all(&self, stream: StreamId, number: SequenceNumber) {
        for index in self.members().filter(|index| self.nodes[*index].is_running) {
            let status = self.nodes[index].node.status(self.now);
            let held = status.streams.iter().find(|held| held.stream == stream);
            let name = &self.nodes[index].name;
            if held.is_none() && stream.kind == StreamKind::Purges && self.counters(index).streams_retired > 0
            {
                let ids = (1..=number.0).map(|number| (stream, SequenceNumber(number)));
                for (id, object) in ids.filter_map(|id| self.purged.get(&id).map(|object| (id, *object))) {
                    assert!(
                        self.covered(index, object, self.published[&id]),
                        "{id:?} is reported as replicated to all, but not applied at {name}"
                    );
                }
                continue;
            }
            assert!(
                held.is_some_and(|held| held.applied >= number),
                "{stream:?} {number:?} is reported as replicated to all, but {name} has {held:?}"
            );
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let size = postcard::to_stdvec(&message).expect("encodes").len();
        self.bytes += size;
        self.largest_message_bytes = self.largest_message_bytes.max(size);
        let Some(to) = (0..self.nodes.len()).find(|index| address(*index) == to) else { return };
        let is_dropped = self.drop_rule.as_mut().is_some_and(|drop_rule| drop_rule(from, to, &message));
        if is_dropped || self.cut.contains(&(from.min(to), from.max(to))) {
            return;
        }
        let copies = 1 + usize::from(self.rng.rand_float() < self.duplication);
        for _ in 0..copies {
            if self.rng.rand_float() < self.loss {
                continue;
            }
            let delay = self.rng.rand_range(self.delay.0..self.delay.1);
            self.serial += 1;
            let identity = self.nodes[from].config.identity;
            self.messages.insert(self.serial, (identity, message.clone()));
            let at = self.now + ms(delay);
            self.deliveries.push(Reverse(Delivery { at, serial: self.serial, from, to }));
        }
    }

    /// Delivers messages and ticks nodes for this time.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        loop {
            let delivery_at = self.deliveries.peek().map(|delivery| delivery.0.at);
            let active =
                self.nodes.iter().enumerate().filter(|(_, member)| member.is_running && !member.is_paused);
            let tick = active.map(|(index, member)| (member.node.next_due().max(self.now), index)).min();
            let next = delivery_at.into_iter().chain(tick.map(|(at, _)| at)).min().unwrap_or(until);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if delivery_at == Some(next) {
                let Reverse(delivery) = self.deliveries.pop().expect("a delivery");
                let (identity, message) = self.messages.remove(&delivery.serial).expect("its message");
                self.deliver(delivery.from, delivery.to, identity, message);
            } else if let Some((_, index)) = tick {
                let outputs = self.nodes[index].node.tick(self.now);
                let due = self.nodes[index].node.next_due();
                assert!(due > self.now, "{} is due again at once", self.nodes[index].name);
                self.handle_outputs(index, outputs);
            }
        }
        self.now = until;
    }

    fn deliver(&mut self, from: usize, to: usize, identity: Identity, message: Message) {
        if !self.nodes[to].is_running {
            return;
        }
        if self.nodes[to].is_paused {
            self.nodes[to].unread.push((identity, address(from), message));
            return;
        }
        let outputs = self.nodes[to].node.on_message(self.now, identity, address(from), message);
        self.handle_outputs(to, outputs);
    }

    /// Publishes at a control node. Returns the ids of the entries.
    pub fn publish(&mut self, index: usize, publications: Vec<Publication>) -> Vec<EntryId> {
        let (ids, outputs) = self.nodes[index].node.publish(self.now, publications);
        self.handle_outputs(index, outputs);
        for id in &ids {
            self.published.insert(*id, self.now);
        }
        ids
    }

    /// Publishes the purge of an object at a control node.
    pub fn purge(&mut self, index: usize, object: u64) -> EntryId {
        let purge = Publication::Purge { purge: Purge::object(object), age: Duration::ZERO };
        let id = self.publish(index, vec![purge])[0];
        self.purged.insert(id, object);
        id
    }

    /// Publishes the desired state of a host at a control node.
    pub fn set_desired_state(&mut self, index: usize, host: &str, desired: DesiredState) -> EntryId {
        self.publish(index, vec![Publication::Setting { host: host.to_owned(), desired }])[0]
    }

    /// Ends a process without notice to the other nodes.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].is_running = false;
    }

    /// Starts a process again, with this Unix time in milliseconds as its incarnation.
    pub fn restart(&mut self, index: usize, unix_ms: u64) {
        let mut config = self.nodes[index].config.clone();
        config.identity.incarnation = Incarnation(unix_ms);
        let directory = config.control_id.is_some().then(|| self.directory.clone());
        let node = Node::new(config.clone(), directory, unix_ms, self.now);
        let member = &mut self.nodes[index];
        member.node = node;
        member.config = config;
        member.is_running = true;
        member.is_paused = false;
        member.caller = Caller::default();
        let outputs = self.nodes[index].node.start(self.now);
        self.handle_outputs(index, outputs);
    }

    /// Pauses a process: it neither ticks nor reads messages.
    pub fn pause(&mut self, index: usize) {
        self.nodes[index].is_paused = true;
    }

    /// Resumes a paused process, which reads all waiting messages at once.
    pub fn resume(&mut self, index: usize) {
        self.nodes[index].is_paused = false;
        for (identity, address, message) in std::mem::take(&mut self.nodes[index].unread) {
            let outputs = self.nodes[index].node.on_message(self.now, identity, address, message);
            self.handle_outputs(index, outputs);
        }
    }

    /// The status of a node.
    pub fn status(&self, index: usize) -> NodeStatus {
        self.nodes[index].node.status(self.now)
    }

    /// The part of the status that only a control node has.
    pub fn control(&self, index: usize) -> ControlStatus {
        self.status(index).control.expect("a control node")
    }

    /// The counters of a node.
    pub fn counters(&self, index: usize) -> Counters {
        *self.nodes[index].node.counters()
    }

    /// How often a node's caller has applied the purge of an object.
    pub fn purge_count(&self, index: usize, object: u64) -> usize {
        let purges = &self.nodes[index].caller.purges;
        purges.iter().filter(|applied| applied.purge == Purge::object(object)).count()
    }

    /// Whether the purge of an object, published at this time, was applied exactly once, or covered by a purge of
    /// everything that is no older.
    pub fn covered(&self, index: usize, object: u64, published: Duration) -> bool {
        let purges = &self.nodes[index].caller.purges;
        let is_covering = |applied: &AppliedPurge| {
            applied.purge == Purge::Everything && applied.applied_at.saturating_sub(applied.age) >= published
        };
        self.purge_count(index, object) == 1 || purges.iter().any(is_covering)
    }

    /// Whether a control node knows that all members have applied an entry.
    pub fn everywhere(&self, index: usize, id: EntryId) -> bool {
        self.control(index).replicated_to_all.get(&id.0).is_some_and(|number| *number >= id.1)
    }
}
