//! A node put together: one machine, driven by frames of others, words of its caller, and time.

use crate::apply_tokens::{ApplyToken, PendingTokens};
use crate::children::{Children, MAX_CHILDREN, MAX_CONTROL_CHILDREN};
use crate::config::NodeConfig;
use crate::control::Control;
use crate::directory::Directory;
use crate::entry::{Entry, EntryId, Purge, SequenceNumber, StreamId};
use crate::identity::Identity;
use crate::join::JoinState;
use crate::message::Message;
use crate::output::{Counters, Output};
use crate::setting::RejectionReason;
use crate::settings::{QuarantinedSettings, SettingsTable};
use crate::streams::{Streams, MAX_CONTROL};
use crate::subscription::ParentSubscription;
use crate::table_sync::TableSync;
use crate::timestamp::Timestamp;
use crate::token_bucket::TokenBucket;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// An ack at least every so many pulses; after one where something changed.
pub(crate) const MAX_ACK_INTERVAL_HEARTBEATS: u32 = 2;
/// A child counts for so many pulses after its ack.
const CHILD_TTL_HEARTBEATS: u32 = 10;
/// Repairs take this share of the bytes a second, whole tables of settings that one.
const REPAIR_RATE_DIVISOR: u64 = 2;
const TABLE_RATE_DIVISOR: u64 = 4;
/// Repairs that were not used up are kept for so long.
const REPAIR_BURST: Duration = Duration::from_secs(10);
/// What a control node sends goes by so many times a member's bytes.
const CONTROL_RATE_MULTIPLIER: u64 = 64;
/// Who comes later than this to what was due, in pulses, stood still meanwhile.
const PAUSE_THRESHOLD_HEARTBEATS: u32 = 2;

/// A member or control node, without I/O. Time is told as the time since any one moment, the same for all calls, and
/// doesn't go back; what does is taken for no time at all.
pub struct Node {
    pub(crate) config: NodeConfig,
    pub(crate) rng: oorandom::Rand64,
    pub(crate) started: Duration,
    now: Duration,
    due: Duration,
    /// Until then what is heard may have waited unread for long.
    pub(crate) timing_unreliable_until: Duration,
    pub(crate) streams: Streams,
    pub(crate) settings: SettingsTable,
    pub(crate) quarantined: QuarantinedSettings,
    pub(crate) tables: TableSync,
    pub(crate) pending_purges: PendingTokens,
    pub(crate) pending_settings: PendingTokens,
    last_token: u64,
    pub(crate) children: Children,
    pub(crate) subscription: ParentSubscription,
    pub(crate) join: JoinState,
    pub(crate) control: Option<Control>,
    pub(crate) repair_budget: TokenBucket,
    pub(crate) table_budget: TokenBucket,
    /// When a control node made the newest pulse that was heard by way of parents.
    pub(crate) newest_heartbeat: Option<Timestamp>,
    /// Since when fresh pulses come without a break, and when the last came.
    pub(crate) in_touch: (Duration, Option<Duration>),
    pub(crate) heartbeat_sent_at: Duration,
    pub(crate) heartbeats_sent: u64,
    pub(crate) ack_sent_at: Duration,
    pub(crate) ack_requested: bool,
    pub(crate) stopped: bool,
    pub(crate) counters: Counters,
    pub(crate) outputs: Vec<Output>,
    /// What this call has brought: to be put in effect, to be judged, to be passed on, and streams that moved.
    pub(crate) purges_to_apply: Vec<(Purge, Timestamp)>,
    pub(crate) changed_settings: Vec<(EntryId, String)>,
    pub(crate) new_entries: BTreeMap<StreamId, BTreeSet<SequenceNumber>>,
    /// Other contents under numbers that are held: to be passed on as they came.
    pub(crate) conflicting_entries: Vec<(StreamId, SequenceNumber, Timestamp, Entry)>,
    pub(crate) touched_streams: BTreeSet<StreamId>,
}

impl Node {
    /// `directory`: at a control node, where there is one yet. `seed`: all chance comes from it.
    pub fn new(mut config: NodeConfig, directory: Option<Directory>, seed: u64, now: Duration) -> Node {
        config.control.truncate(MAX_CONTROL);
        config.heartbeat_interval = config.heartbeat_interval.max(Duration::from_millis(1));
        let control = config.control_id.map(|id| Control::new(id, directory, &config, now));
        let (max_children, rate_multiplier) = match control {
            Some(_) => (MAX_CONTROL_CHILDREN, CONTROL_RATE_MULTIPLIER),
            None => (MAX_CHILDREN, 1),
        };
        let rate = u64::from(config.bytes_per_second) * rate_multiplier;
        let heartbeat_interval = config.heartbeat_interval;
        Node {
            rng: oorandom::Rand64::new(u128::from(seed)),
            started: now,
            now,
            due: now,
            timing_unreliable_until: now,
            streams: Streams::new(config.control.len()),
            settings: SettingsTable::default(),
            quarantined: QuarantinedSettings::default(),
            tables: TableSync::new(heartbeat_interval),
            pending_purges: PendingTokens::default(),
            pending_settings: PendingTokens::default(),
            last_token: 0,
            children: Children::new(max_children, heartbeat_interval * CHILD_TTL_HEARTBEATS),
            subscription: ParentSubscription::new(heartbeat_interval, now),
            join: JoinState::new(now),
            control,
            repair_budget: TokenBucket::new(rate / REPAIR_RATE_DIVISOR, REPAIR_BURST, now),
            table_budget: TokenBucket::new(rate / TABLE_RATE_DIVISOR, REPAIR_BURST, now),
            newest_heartbeat: None,
            in_touch: (now, None),
            heartbeat_sent_at: now,
            heartbeats_sent: 0,
            ack_sent_at: now,
            ack_requested: false,
            stopped: false,
            counters: Counters::default(),
            outputs: Vec::new(),
            purges_to_apply: Vec::new(),
            changed_settings: Vec::new(),
            new_entries: BTreeMap::new(),
            conflicting_entries: Vec::new(),
            touched_streams: BTreeSet::new(),
            config,
        }
    }

    /// To be called once, before all else.
    pub fn start(&mut self, now: Duration) -> Vec<Output> {
        self.due = now;
        self.tick(now)
    }

    /// A frame came, judged by its decoder and of a known sender.
    pub fn on_message(
        &mut self,
        now: Duration,
        from: Identity,
        at: SocketAddr,
        message: Message,
    ) -> Vec<Output> {
        let now = self.advance_clock(now);
        if from.node == self.config.identity.node || self.stopped {
            return Vec::new();
        }
        self.counters.messages_in.count(&message);
        self.on_control_message(now, from, at);
        match message {
            Message::Join { .. } => self.on_join(now, at, from.node),
            Message::Placement {
                directory_version: directory,
                listing_hash,
                region,
                slot,
                slots,
                parents,
            } => {
                let place = crate::directory::Placement { region, slot, slots, listing_hash, parents };
                self.on_placement(now, from, directory, place);
            }
            Message::NotListed { directory_version: directory } => self.on_not_listed(now, from, directory),
            Message::Acknowledgement { received: has, reports } => {
                self.on_acknowledgement(now, from, at, has, reports)
            }
            Message::Leave => {
                if self.children.remove(from) {
                    self.ack_requested = true;
                }
            }
            Message::Full => self.on_full(now, from.node, at),
            Message::Heartbeat {
                staleness_ms,
                directory_version: directory,
                listing_hash,
                tips,
                settings_digest: settings,
            } => {
                self.on_heartbeat(now, (from, at), staleness_ms, (directory, listing_hash), tips, settings);
            }
            Message::Batch { stream, first, entries } => self.on_batch(now, at, stream, first, entries),
            Message::RepairRequest { stream, ranges } => self.on_repair_request(now, at, stream, ranges),
            Message::Snapshot { stream, next, min_accepted_age_ms } => {
                self.on_snapshot(now, (from, at), stream, next, min_accepted_age_ms);
            }
            Message::SettingsRequest { part } => self.on_settings_request(now, at, part),
            Message::SettingsPart { digest, part, parts, settings } => {
                self.on_settings_part(now, from, (digest, part, parts), settings);
            }
            Message::RegionReports { directory_version: directory, clock, reports: rows } => {
                self.on_region_reports(now, from, directory, clock, rows)
            }
            Message::SupersededIncarnation { control, incarnation } => {
                self.on_superseded(now, control, incarnation)
            }
            Message::Probe => self.on_probe(now, from, at),
            Message::ProbeReply { staleness_ms } => self.on_probe_reply(now, from, at, staleness_ms),
        }
        self.flush(now, Some(at))
    }

    /// To be called at `next_due`, or later.
    pub fn tick(&mut self, now: Duration) -> Vec<Output> {
        let now = self.advance_clock(now);
        if self.stopped {
            return Vec::new();
        }
        if self.children.expire(now) {
            self.ack_requested = true;
        }
        self.retire_streams(now);
        self.abandon_gaps(now);
        self.drive_subscription(now);
        self.request_repairs(now);
        if let Some((to, message)) = self.tables.tick(now) {
            self.send(to, message);
        }
        self.control_tick(now);
        self.heartbeat_tick(now);
        self.ack_tick(now);
        self.flush(now, None)
    }

    /// When `tick` is to be called at the latest.
    pub fn next_due(&self) -> Duration {
        self.due
    }

    /// The dispatcher goes by what was given under this ticket: purges, floors, and settings that it did not refuse.
    pub fn confirm_applied(&mut self, now: Duration, token: ApplyToken) -> Vec<Output> {
        let now = self.advance_clock(now);
        self.pending_purges.confirm(token);
        if self.pending_settings.confirm_up_to(token) {
            self.quarantined.clear_judged(token);
        }
        self.flush(now, None)
    }

    /// A setting can't be put in force here. It is reported, and judged again when another changes.
    pub fn reject(&mut self, now: Duration, id: EntryId, why: RejectionReason) -> Vec<Output> {
        let now = self.advance_clock(now);
        if let Some(host) = self.settings.host_of(id) {
            self.counters.settings_rejected += 1;
            self.quarantined.insert(id, host, why);
            self.ack_requested = true;
        }
        self.pending_settings.on_rejected(id);
        self.flush(now, None)
    }

    /// The node ends; nothing is done by it any more.
    pub fn stop(&mut self, now: Duration) -> Vec<Output> {
        self.advance_clock(now);
        if let Some(parent) = self.subscription.parent() {
            self.send(parent.address, Message::Leave);
        }
        self.stopped = true;
        self.due = Duration::MAX;
        std::mem::take(&mut self.outputs)
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        self.counters.messages_out.count(&message);
        self.outputs.push(Output::Send { to, message });
    }

    pub(crate) fn random_fraction(&mut self) -> f64 {
        self.rng.rand_float()
    }

    pub(crate) fn next_token(&mut self) -> ApplyToken {
        self.last_token += 1;
        ApplyToken(self.last_token)
    }

    /// Time goes on; where it has leapt, this process stood still.
    pub(crate) fn advance_clock(&mut self, now: Duration) -> Duration {
        let now = now.max(self.now);
        let late = now.saturating_sub(self.due.max(self.now));
        self.now = now;
        if late > self.config.heartbeat_interval * PAUSE_THRESHOLD_HEARTBEATS {
            self.counters.process_pauses += 1;
            self.timing_unreliable_until = now + self.config.heartbeat_interval;
            self.due = now;
            self.subscription.shift_timers(late);
            self.in_touch.1 = None;
            for stream in self.streams.iter_mut() {
                stream.shift_timers(late);
            }
            self.children.forget_reports();
            if let Some(control) = &mut self.control {
                control.shift_timers(late);
            }
        }
        now
    }

    /// Puts out what a call has brought, and sets when the next tick is due.
    pub(crate) fn flush(&mut self, now: Duration, but: Option<SocketAddr>) -> Vec<Output> {
        self.forward_new_entries(now, but);
        self.trim_streams(now);
        self.emit_purges(now);
        self.emit_settings();
        self.update_applied();
        self.due = self.earliest_deadline(now);
        std::mem::take(&mut self.outputs)
    }

    fn earliest_deadline(&self, now: Duration) -> Duration {
        let heartbeat_interval = self.config.heartbeat_interval;
        let repair_attempts = self.streams.iter().filter_map(|stream| stream.repair_due).min();
        let follows = self.control.is_none();
        let ack = match self.ack_requested {
            true => self.ack_sent_at + heartbeat_interval,
            false => self.ack_sent_at + heartbeat_interval * MAX_ACK_INTERVAL_HEARTBEATS,
        };
        let own = match &self.control {
            Some(control) => control.heartbeat_due,
            None => self.heartbeat_sent_at + heartbeat_interval * 3 / 2,
        };
        let dues = [
            Some(now + heartbeat_interval),
            Some(own),
            repair_attempts,
            self.tables.next_due(),
            follows.then_some(ack),
            follows.then_some(self.join.due),
            self.subscription.next_due(),
        ];
        dues.into_iter().flatten().min().unwrap_or(now).max(now)
    }
}
