//! A node: a state machine driven by messages from other nodes, requests of its caller, and time. Each part of its
//! state has its own type; the submodules implement the steps that involve several parts.

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

/// A child counts as present for this many heartbeat intervals after its last acknowledgement.
const CHILD_TTL_HEARTBEATS: u32 = 10;
/// The shortest heartbeat interval; a shorter one in the configuration is raised to it.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1);

/// A member or control node, without I/O.
///
/// All times are durations since one arbitrary origin. A call with an earlier time than the previous call is treated as
/// made at the time of the previous call. The caller carries out the outputs of each call in the order returned.
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
    /// State that only a control node has; `None` at a member.
    control: Option<Control>,
    rate_limits: RateLimits,
    heartbeats: HeartbeatSchedule,
    acks: AckSchedule,
    /// Set by [`Node::stop`]; later calls have no effect.
    stopped: bool,
    counters: Counters,
    /// Outputs of the current call, returned at its end.
    outputs: Vec<Output>,
}

/// The sender of the message that is being handled.
#[derive(Clone, Copy, Debug)]
struct Sender {
    identity: Identity,
    address: SocketAddr,
}

impl Node {
    /// Creates a node that has not started.
    ///
    /// `directory` is used at a control node only, which can also start without one. `seed` determines all random
    /// choices of the node.
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

    /// Starts the node. Must be called once, before any other method.
    pub fn start(&mut self, now: Duration) -> Vec<Output> {
        self.clock.next_tick = now;
        self.tick(now)
    }

    /// Handles a message. The caller has checked the limits of its contents while decoding it, and has identified its
    /// sender.
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

    /// Does the work that is due, such as heartbeats, repair requests and timeouts. To be called at [`Node::next_due`]
    /// or as soon as possible afterwards.
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

    /// When [`Node::tick`] is due. Each call of another method may change it.
    pub fn next_due(&self) -> Duration {
        self.clock.next_tick
    }

    /// Confirms that the caller has applied the output with this token: all of its purges, or all of its settings
    /// except those that it rejected.
    pub fn confirm_applied(&mut self, now: Duration, token: ApplyToken) -> Vec<Output> {
        let now = self.advance_clock(now);
        if self.apply_queue.confirm(token) {
            self.quarantined.clear_retried(token);
        }
        self.flush(now, None)
    }

    /// Reports that the caller can't apply a setting. The setting is quarantined, reported to the control nodes, and
    /// returned again when another setting changes.
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

    /// Leaves the tree. Later calls have no effect.
    pub fn stop(&mut self, now: Duration) -> Vec<Output> {
        self.advance_clock(now);
        if let Some(parent) = self.subscription.parent() {
            self.send(parent.address, Message::Leave);
        }
        self.stopped = true;
        self.clock.next_tick = Duration::MAX;
        std::mem::take(&mut self.outputs)
    }

    /// Counters since the node was created.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Calls the handler of a message.
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

    /// A random number from 0 to below 1.
    fn random_fraction(&mut self) -> f64 {
        self.rng.rand_float()
    }

    /// Advances the clock to the time of a call, and returns the time that the call uses. If this process did not run
    /// for a while, its timers are shifted, so that other nodes are not considered failed because of the pause.
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
