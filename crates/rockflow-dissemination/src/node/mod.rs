//! A node: one state machine, driven by messages of other nodes, requests of its caller, and time. Each part of its
//! state is owned by a type of its own; the modules below this one have the steps that involve several of them.

mod acknowledgements;
mod anti_entropy;
mod control;
mod flush;
mod heartbeats;
mod ingest;
mod join;
mod publishing;
mod settings_exchange;
mod status;

pub use publishing::MAX_UNSENT_PUBLICATIONS;

use crate::apply_queue::{ApplyQueue, Confirmation};
use crate::apply_tokens::ApplyToken;
use crate::children::{Children, MAX_CHILDREN, MAX_CONTROL_CHILDREN};
use crate::clock::NodeClock;
use crate::config::NodeConfig;
use crate::contact::Contact;
use crate::control::Control;
use crate::counters::Counters;
use crate::directory::{Directory, Placement};
use crate::entry::EntryId;
use crate::forward_queue::ForwardQueue;
use crate::identity::Identity;
use crate::join::JoinState;
use crate::message::Message;
use crate::output::Output;
use crate::quarantine::QuarantinedSettings;
use crate::rate_limits::RateLimits;
use crate::schedule::{AckSchedule, HeartbeatSchedule};
use crate::setting::RejectionReason;
use crate::settings_table::SettingsTable;
use crate::streams::{Streams, MAX_CONTROL};
use crate::subscription::ParentSubscription;
use crate::table_sync::{TablePart, TableSync};
use heartbeats::Heartbeat;
use std::net::SocketAddr;
use std::time::Duration;

/// A child counts as present for this long after its acknowledgement.
const CHILD_TTL_HEARTBEATS: u32 = 10;
/// The shortest heartbeat interval; a shorter one is raised to it.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1);

/// A member or control node, without I/O.
///
/// Time is the duration since any one origin, the same for all calls. A call with an earlier time than the one before
/// counts as made at the same time. Each call returns what is to be done, in this order.
pub struct Node {
    config: NodeConfig,
    /// The only source of randomness.
    rng: oorandom::Rand64,
    clock: NodeClock,
    streams: Streams,
    settings: SettingsTable,
    quarantined: QuarantinedSettings,
    table_sync: TableSync,
    apply_queue: ApplyQueue,
    forward_queue: ForwardQueue,
    children: Children,
    subscription: ParentSubscription,
    join: JoinState,
    contact: Contact,
    /// At a control node.
    control: Option<Control>,
    rate_limits: RateLimits,
    heartbeats: HeartbeatSchedule,
    acks: AckSchedule,
    stopped: bool,
    counters: Counters,
    outputs: Vec<Output>,
}

/// Who has sent a message.
#[derive(Clone, Copy, Debug)]
struct Sender {
    identity: Identity,
    address: SocketAddr,
}

impl Node {
    /// A node that has not started.
    ///
    /// `directory` is for a control node, where there is one yet. All random draws come from `seed`.
    pub fn new(mut config: NodeConfig, directory: Option<Directory>, seed: u64, now: Duration) -> Node {
        config.control.truncate(MAX_CONTROL);
        config.heartbeat_interval = config.heartbeat_interval.max(MIN_HEARTBEAT_INTERVAL);
        let interval = config.heartbeat_interval;
        let control = config.control_id.map(|id| Control::new(id, directory, &config, now));
        let (max_children, confirmation) = match control {
            Some(_) => (MAX_CONTROL_CHILDREN, Confirmation::NotNeeded),
            None => (MAX_CHILDREN, Confirmation::Required),
        };
        Node {
            rng: oorandom::Rand64::new(u128::from(seed)),
            clock: NodeClock::new(interval, now),
            streams: Streams::new(config.control.len()),
            settings: SettingsTable::default(),
            quarantined: QuarantinedSettings::default(),
            table_sync: TableSync::new(interval),
            apply_queue: ApplyQueue::new(confirmation),
            forward_queue: ForwardQueue::default(),
            children: Children::new(max_children, interval * CHILD_TTL_HEARTBEATS),
            subscription: ParentSubscription::new(interval, now),
            join: JoinState::new(interval, now),
            contact: Contact::new(interval, now),
            control,
            rate_limits: RateLimits::new(&config, now),
            heartbeats: HeartbeatSchedule::new(interval, now),
            acks: AckSchedule::new(interval, now),
            stopped: false,
            counters: Counters::default(),
            outputs: Vec::new(),
            config,
        }
    }

    /// Starts the node; to be called once, before all else.
    pub fn start(&mut self, now: Duration) -> Vec<Output> {
        self.clock.next_tick = now;
        self.tick(now)
    }

    /// Takes a message. Its decoder has checked its bounds, and its sender is known.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: Identity,
        address: SocketAddr,
        message: Message,
    ) -> Vec<Output> {
        let now = self.advance_clock(now);
        if from.node == self.config.identity.node || self.stopped {
            return Vec::new();
        }
        self.counters.messages_in.count(&message);
        let sender = Sender { identity: from, address };
        self.on_control_message(now, sender);
        self.dispatch(now, sender, message);
        self.flush(now, Some(address))
    }

    /// Does what time alone requires; to be called at [`Node::next_due`] or later.
    pub fn tick(&mut self, now: Duration) -> Vec<Output> {
        let now = self.advance_clock(now);
        if self.stopped {
            return Vec::new();
        }
        if self.children.expire(now) {
            self.acks.request();
        }
        self.retire_streams(now);
        self.abandon_gaps(now);
        self.drive_subscription(now);
        self.request_repairs(now);
        if let Some((to, message)) = self.table_sync.tick(now) {
            self.send(to, message);
        }
        self.control_tick(now);
        self.heartbeat_tick(now);
        self.ack_tick(now);
        self.flush(now, None)
    }

    /// When [`Node::tick`] is to be called at the latest.
    pub fn next_due(&self) -> Duration {
        self.clock.next_tick
    }

    /// The caller has applied what it was given under this token: all purges, and the settings that it did not reject.
    pub fn confirm_applied(&mut self, now: Duration, token: ApplyToken) -> Vec<Output> {
        let now = self.advance_clock(now);
        if self.apply_queue.confirm(token) {
            self.quarantined.clear_retried(token);
        }
        self.flush(now, None)
    }

    /// The caller can't apply a setting. It is quarantined, reported, and given again when another setting changes.
    pub fn reject(&mut self, now: Duration, id: EntryId, reason: RejectionReason) -> Vec<Output> {
        let now = self.advance_clock(now);
        if let Some(host) = self.settings.host_of(id) {
            self.counters.settings_rejected += 1;
            self.quarantined.insert(id, host, reason);
            self.acks.request();
        }
        self.apply_queue.on_rejected(id);
        self.flush(now, None)
    }

    /// Leaves the tree. Later calls do nothing.
    pub fn stop(&mut self, now: Duration) -> Vec<Output> {
        self.advance_clock(now);
        if let Some(parent) = self.subscription.parent() {
            self.send(parent.address, Message::Leave);
        }
        self.stopped = true;
        self.clock.next_tick = Duration::MAX;
        std::mem::take(&mut self.outputs)
    }

    /// What was counted since the node was created.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    fn dispatch(&mut self, now: Duration, sender: Sender, message: Message) {
        let Sender { identity: from, address } = sender;
        match message {
            Message::Join { .. } => self.on_join(now, sender),
            Message::Placement { directory_version, listing_hash, region, slot, slots, parents } => {
                let place = Placement { region, slot, slots, listing_hash, parents };
                self.on_placement(now, from, directory_version, place);
            }
            Message::NotListed { directory_version } => self.on_not_listed(now, from, directory_version),
            Message::Acknowledgement { received, reports } => {
                self.on_acknowledgement(now, sender, received, reports);
            }
            Message::Leave => {
                if self.children.remove(from) {
                    self.acks.request();
                }
            }
            Message::Full => self.on_full(now, sender),
            Message::Heartbeat { staleness_ms, directory_version, listing_hash, tips, settings_digest } => {
                let heartbeat =
                    Heartbeat { staleness_ms, directory_version, listing_hash, tips, settings_digest };
                self.on_heartbeat(now, sender, heartbeat);
            }
            Message::Batch { stream, first, entries } => self.on_batch(now, address, stream, first, entries),
            Message::RepairRequest { stream, ranges } => {
                self.on_repair_request(now, address, stream, ranges);
            }
            Message::Snapshot { stream, next, min_accepted_age_ms } => {
                self.on_snapshot(now, sender, stream, next, min_accepted_age_ms);
            }
            Message::SettingsRequest { part } => self.on_settings_request(now, address, part),
            Message::SettingsPart { digest, part, parts, settings } => {
                self.on_settings_part(now, from, TablePart { digest, part, parts }, settings);
            }
            Message::RegionReports { clock, reports, .. } => {
                self.on_region_reports(now, from, clock, reports);
            }
            Message::SupersededIncarnation { control, incarnation } => {
                self.on_superseded(now, control, incarnation);
            }
            Message::Probe => self.on_probe(now, sender),
            Message::ProbeReply { staleness_ms } => self.on_probe_reply(now, sender, staleness_ms),
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.counters.messages_out.count(&message);
        self.outputs.push(Output::Send { to, message });
    }

    /// A random number from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        self.rng.rand_float()
    }

    /// Takes the time of a call. Where it shows that this process did not run for a while, silence meanwhile is not
    /// taken for a loss.
    fn advance_clock(&mut self, now: Duration) -> Duration {
        let advance = self.clock.advance(now);
        if let Some(pause) = advance.pause {
            self.counters.process_pauses += 1;
            self.subscription.shift_timers(pause);
            self.contact.interrupt();
            for stream in self.streams.iter_mut() {
                stream.shift_timers(pause);
            }
            self.children.forget_reports();
            if let Some(control) = &mut self.control {
                control.shift_timers(pause);
            }
        }
        advance.now
    }
}
