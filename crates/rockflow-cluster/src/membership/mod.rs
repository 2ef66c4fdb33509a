//! Tracks which members are present, with the SWIM protocol of the library `foca` and three additions:
//!
//! - a local health score as in Lifeguard, so that a process that is slow or was paused does not declare others lost
//!   because it was itself too late to collect their replies;
//! - incarnations, which show that a process has restarted and lost its memory;
//! - the time since frames were last received, which shows whether this process may be partitioned from the others.

mod swim;

use crate::config::ClusterConfig;
use crate::identity::{Identity, Incarnation, MemberId};
use crate::message::Message;
use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use swim::{foca_config, probe_period, SeededRng, SwimMember, PROBE_ROUND_TRIPS, SUSPECT_PERIODS};

/// The interval, in probe periods, at which a member that sees no other member announces itself to all of them.
const ALONE_ANNOUNCE_PERIODS: u32 = 4;
/// The maximum local health score. A suspect has one plus the score times as long to answer.
const WORST_LOCAL_HEALTH: u32 = 8;
/// The local health score decreases by one whenever the next probe is scheduled and the number of timers scheduled so
/// far is a multiple of this.
const HEALTH_RECOVERY_TIMERS: u64 = 4;
/// A member that has received nothing for this many probe periods may be partitioned.
const SILENT_PERIODS: u32 = 8;
/// The maximum number of pending timers. Only a fault in the library reaches it; further timers are then dropped.
const MAX_TIMERS: usize = 4096;

/// A change in which members are present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member has become present.
    Up(Identity),
    /// A member was declared lost, or has left.
    Lost(Identity),
    /// Another incarnation of a member has become present: whatever the earlier one held in memory is lost.
    Restarted {
        /// The earlier incarnation.
        from: Identity,
        /// The incarnation that is present now.
        to: Identity,
    },
}

/// How a member sees the cluster and its own connection to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipStatus {
    /// Version of the set of present members; incremented by every change.
    pub view: u64,
    /// The number of present members, including this one.
    pub present: usize,
    /// The number of configured members, including this one.
    pub configured: usize,
    /// The number of other members from which a frame was received recently.
    pub recent_contacts: usize,
    /// Whether no frame was received recently, or fewer than a majority of the configured members are present.
    pub possibly_partitioned: bool,
    /// The local health score. 0 is healthy; it rises when this process runs late or its probes go unanswered.
    pub local_health: u32,
}

/// The result of a call to the membership protocol: messages to send and changes found.
#[derive(Debug, Default)]
pub struct MembershipOutput {
    /// Messages to send, each with its receiver.
    pub frames: Vec<(MemberId, Message)>,
    /// Changes to the set of present members, in order.
    pub changes: Vec<Change>,
}

/// The state machine of the membership protocol at one member.
pub struct Membership {
    config: ClusterConfig,
    identity: Identity,
    swim: Foca<SwimMember, PostcardCodec, SeededRng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<SwimMember>,
    timers: BinaryHeap<Reverse<(Duration, u64)>>,
    timer_events: BTreeMap<u64, Timer<SwimMember>>,
    timers_scheduled: u64,
    present: BTreeMap<MemberId, Identity>,
    last_received: BTreeMap<MemberId, Duration>,
    view: u64,
    local_health: u32,
    /// When the next timer was due at the end of the last call; a much later call means that the process was paused.
    expected_call: Option<Duration>,
    has_left: bool,
    /// When to announce this member to all others again. Used only while no other member is present.
    next_announcement: Duration,
}

impl Membership {
    /// Creates a member that does not know yet which others are present. `seed` is that of its random numbers.
    pub fn new(config: ClusterConfig, identity: Identity, seed: u64, now: Duration) -> Membership {
        let this_member = SwimMember { identity, renewals: 0 };
        let rng = SeededRng(oorandom::Rand64::new(u128::from(seed)));
        let swim = Foca::new(this_member, foca_config(&config, 0), rng, PostcardCodec);
        Membership {
            config,
            identity,
            swim,
            runtime: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            timer_events: BTreeMap::new(),
            timers_scheduled: 0,
            present: BTreeMap::from([(identity.member, identity)]),
            last_received: BTreeMap::new(),
            view: 1,
            local_health: 0,
            expected_call: None,
            has_left: false,
            next_announcement: now,
        }
    }

    /// The duration of one probe period.
    pub fn period(config: &ClusterConfig) -> Duration {
        probe_period(config)
    }

    /// The time after which a member that sends nothing is certainly declared lost, unless this process is slow itself.
    pub fn lost_after(config: &ClusterConfig) -> Duration {
        Membership::period(config) * (SUSPECT_PERIODS + config.members.len() as u32)
    }

    /// Announces this member to all other configured members.
    pub fn join(&mut self, now: Duration) -> MembershipOutput {
        self.next_announcement = now + Membership::period(&self.config) * ALONE_ANNOUNCE_PERIODS;
        let others: Vec<_> = self.config.ids().filter(|id| *id != self.identity.member).collect();
        for member in others {
            // The incarnation is not known yet; the library needs only the address here.
            let identity = Identity { member, incarnation: Incarnation(0) };
            let to = SwimMember { identity, renewals: 0 };
            let _ = self.swim.announce(to, &mut self.runtime);
        }
        self.drain_runtime(now)
    }

    /// The incarnations that are present, including this one.
    pub fn present(&self) -> impl Iterator<Item = Identity> + '_ {
        self.present.values().copied()
    }

    /// Whether exactly this incarnation of a member is present.
    pub fn is_present(&self, identity: Identity) -> bool {
        self.present.get(&identity.member) == Some(&identity)
    }

    /// The present incarnation of a member, or `None` if the member is not present.
    pub fn incarnation_of(&self, member: MemberId) -> Option<Incarnation> {
        self.present.get(&member).map(|identity| identity.incarnation)
    }

    /// The time since the last frame of any kind from a member, or `None` if none was ever received.
    pub fn silence(&self, member: MemberId, now: Duration) -> Option<Duration> {
        self.last_received.get(&member).map(|at| now.saturating_sub(*at))
    }

    /// How this member sees the cluster and its own connection to it.
    pub fn status(&self, now: Duration) -> MembershipStatus {
        let period = Membership::period(&self.config);
        let configured = self.config.members.len();
        // In a large cluster frames from any one member are rare, so the limit for a single member grows with the
        // cluster. Only silence of all members indicates a partition.
        let recent_limit = period * (SILENT_PERIODS + configured as u32);
        let others = || self.config.ids().filter(|id| *id != self.identity.member);
        let silences = || others().filter_map(|id| self.silence(id, now));
        let recent_contacts = silences().filter(|silence| *silence < recent_limit).count();
        let is_silent =
            configured > 1 && silences().min().is_none_or(|silence| silence > period * SILENT_PERIODS);
        MembershipStatus {
            view: self.view,
            present: self.present.len(),
            configured,
            recent_contacts,
            possibly_partitioned: is_silent || self.present.len() < configured / 2 + 1,
            local_health: self.local_health,
        }
    }

    /// Records that a frame of any kind was received from a member.
    pub fn record_contact(&mut self, from: MemberId, now: Duration) {
        self.last_received.insert(from, now);
    }

    /// Handles a datagram of the membership protocol.
    pub fn on_datagram(&mut self, now: Duration, bytes: &[u8]) -> MembershipOutput {
        self.compensate_for_pause(now);
        // A malformed datagram is ignored.
        let _ = self.swim.handle_data(bytes, &mut self.runtime);
        self.drain_runtime(now)
    }

    /// Runs the timers that are due. The caller must pass in all received datagrams first; otherwise members whose
    /// replies are among them may be declared lost.
    pub fn tick(&mut self, now: Duration) -> MembershipOutput {
        self.compensate_for_pause(now);
        for event in self.take_due_timers(now) {
            if let Timer::ChangeSuspectToDown { .. } = event {
                // The suspect may not have answered because this process is slow.
                self.worsen_health();
            }
            let _ = self.swim.handle_timer(event, &mut self.runtime);
        }
        // The library does not contact anybody once it knows of no other member. Announcing again covers a first
        // announcement that was lost and a member that was partitioned from all others.
        if self.is_alone() && self.next_announcement <= now {
            return self.join(now);
        }
        self.drain_runtime(now)
    }

    /// When [`Membership::tick`] is to be called next.
    pub fn next_due(&self) -> Option<Duration> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let announcement = self.is_alone().then_some(self.next_announcement);
        [timer, announcement].into_iter().flatten().min()
    }

    /// Notifies the other members that this incarnation leaves the cluster. Only the first call has an effect.
    pub fn leave(&mut self, now: Duration) -> MembershipOutput {
        if self.has_left {
            return MembershipOutput::default();
        }
        self.has_left = true;
        let _ = self.swim.leave_cluster(&mut self.runtime);
        self.drain_runtime(now)
    }

    fn is_alone(&self) -> bool {
        self.present.len() == 1 && self.config.members.len() > 1 && !self.has_left
    }

    fn take_due_timers(&mut self, now: Duration) -> Vec<Timer<SwimMember>> {
        let mut due = Vec::new();
        while let Some(Reverse((at, number))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            due.extend(self.timer_events.remove(&number));
        }
        due
    }

    /// Delays all timers by the time that this process was paused or not scheduled. Without this it would, on resuming,
    /// treat replies that it has not read yet as missing and declare the senders lost.
    fn compensate_for_pause(&mut self, now: Duration) {
        let delay = self.expected_call.map_or(Duration::ZERO, |expected| now.saturating_sub(expected));
        if delay > self.config.round_trip.mul_f64(PROBE_ROUND_TRIPS) {
            let postpone = |Reverse((at, number)): Reverse<(Duration, u64)>| Reverse((at + delay, number));
            self.timers = std::mem::take(&mut self.timers).into_iter().map(postpone).collect();
            self.worsen_health();
        }
        self.expected_call = None;
    }

    fn worsen_health(&mut self) {
        self.set_health(self.local_health + 1);
    }

    fn set_health(&mut self, local_health: u32) {
        let local_health = local_health.min(WORST_LOCAL_HEALTH);
        if local_health == self.local_health {
            return;
        }
        self.local_health = local_health;
        let _ = self.swim.set_config(foca_config(&self.config, local_health));
    }

    /// Collects the messages, timers and notifications that the library has queued.
    fn drain_runtime(&mut self, now: Duration) -> MembershipOutput {
        let mut output = MembershipOutput::default();
        while let Some((to, bytes)) = self.runtime.to_send() {
            output.frames.push((to.identity.member, Message::Swim(bytes.to_vec())));
        }
        while let Some((after, event)) = self.runtime.to_schedule() {
            if let Timer::ProbeRandomMember(_) = event {
                // A probe period has ended normally.
                let recovers = self.timers_scheduled.is_multiple_of(HEALTH_RECOVERY_TIMERS);
                self.set_health(self.local_health.saturating_sub(u32::from(recovers)));
            }
            if self.timer_events.len() < MAX_TIMERS {
                self.timers_scheduled += 1;
                self.timers.push(Reverse((now + after, self.timers_scheduled)));
                self.timer_events.insert(self.timers_scheduled, event);
            }
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.apply_notification(notification, &mut output.changes);
        }
        self.expected_call = self.next_due();
        output
    }

    fn apply_notification(&mut self, notification: OwnedNotification<SwimMember>, changes: &mut Vec<Change>) {
        match notification {
            OwnedNotification::MemberUp(SwimMember { identity, .. }) => {
                if self.present.insert(identity.member, identity) != Some(identity) {
                    self.view += 1;
                    changes.push(Change::Up(identity));
                }
            }
            OwnedNotification::MemberDown(SwimMember { identity, .. }) => {
                if self.present.remove(&identity.member).is_some() {
                    self.view += 1;
                    changes.push(Change::Lost(identity));
                }
            }
            OwnedNotification::Rename(from, to) if from.identity != to.identity => {
                if let Some(present) = self.present.get_mut(&to.identity.member) {
                    *present = to.identity;
                }
                self.view += 1;
                changes.push(Change::Restarted { from: from.identity, to: to.identity });
            }
            OwnedNotification::Rename(..)
            | OwnedNotification::Active
            | OwnedNotification::Idle
            | OwnedNotification::Defunct
            | OwnedNotification::Rejoin(_) => {}
        }
    }
}
