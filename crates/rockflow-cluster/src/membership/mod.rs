//! Which members are present: SWIM by `foca`, and what it leaves to its caller. Local health as in Lifeguard, so that a
//! process that is slow or was paused does not take its own absence for that of others; incarnations, so that a process
//! that restarts is known to have lost its memory; and silence, which tells whether it is this process that is cut off.

mod swim;

use crate::config::ClusterConfig;
use crate::identity::{Identity, Incarnation, MemberId};
use crate::message::Message;
use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use swim::{probe_period, settings, SeededRng, SwimMember, PROBE_ROUND_TRIPS, SUSPECT_PERIODS};

/// While no other member is present, all are announced to every this many probe periods.
const ALONE_ANNOUNCE_PERIODS: u32 = 4;
/// The worst local health: a suspect then has this many times longer to answer, plus one.
const WORST_LOCAL_HEALTH: u32 = 8;
/// Local health recovers by one every this many scheduled timers.
const HEALTH_RECOVERY_TIMERS: u64 = 4;
/// With nothing received from anybody for this many probe periods this process may be cut off.
const SILENT_PERIODS: u32 = 8;
/// The maximum number of pending timers; past it the library is at fault, and the oldest are kept.
const MAX_TIMERS: usize = 4096;

/// A change in which members are present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member is present.
    Up(Identity),
    /// It was declared lost, or has left.
    Lost(Identity),
    /// Another incarnation of the member is present: what the earlier one held in memory is gone.
    Restarted {
        /// The earlier incarnation.
        from: Identity,
        /// The present one.
        to: Identity,
    },
}

/// What a member knows of its own place in the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipStatus {
    /// Grows with every change in which members are present.
    pub view: u64,
    /// Members that are present, this one included.
    pub present: usize,
    /// Members that are configured.
    pub configured: usize,
    /// Other members from which something was received lately.
    pub recent_contacts: usize,
    /// Nothing was received from anybody lately, or fewer than a majority of the configured members are present.
    pub possibly_partitioned: bool,
    /// 0: well. The greater, the slower this process is, or the fewer of its probes are answered.
    pub local_health: u32,
}

/// What the membership protocol wants done, and what it found.
#[derive(Debug, Default)]
pub struct MembershipOutput {
    /// Messages to send.
    pub frames: Vec<(MemberId, Message)>,
    /// Changes in which members are present.
    pub changes: Vec<Change>,
}

/// The membership protocol of one member.
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
    /// When this machine should be called next at the latest.
    expected_call: Option<Duration>,
    has_left: bool,
    /// While no other member is present: when all are announced to again.
    next_announcement: Duration,
}

impl Membership {
    /// A member that knows of nobody yet. `seed`: of its random numbers.
    pub fn new(config: ClusterConfig, identity: Identity, seed: u64, now: Duration) -> Membership {
        let member = SwimMember { identity, renewals: 0 };
        let rng = SeededRng(oorandom::Rand64::new(u128::from(seed)));
        let swim = Foca::new(member, settings(&config, 0), rng, PostcardCodec);
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

    /// The time of a whole probe of one member.
    pub fn period(config: &ClusterConfig) -> Duration {
        probe_period(config)
    }

    /// After this long without a frame a member is certainly declared lost, unless this process is slow itself.
    pub fn lost_after(config: &ClusterConfig) -> Duration {
        Membership::period(config) * (SUSPECT_PERIODS + config.members.len() as u32)
    }

    /// Announces this member to all that are configured.
    pub fn join(&mut self, now: Duration) -> MembershipOutput {
        self.next_announcement = now + Membership::period(&self.config) * ALONE_ANNOUNCE_PERIODS;
        let others: Vec<_> = self.config.ids().filter(|id| *id != self.identity.member).collect();
        for member in others {
            // Its incarnation is not known yet; the address is what counts.
            let identity = Identity { member, incarnation: Incarnation(0) };
            let to = SwimMember { identity, renewals: 0 };
            let _ = self.swim.announce(to, &mut self.runtime);
        }
        self.drain_runtime(now)
    }

    /// The members that are present, this one included.
    pub fn present(&self) -> impl Iterator<Item = Identity> + '_ {
        self.present.values().copied()
    }

    /// Whether this incarnation of a member is present.
    pub fn is_present(&self, identity: Identity) -> bool {
        self.present.get(&identity.member) == Some(&identity)
    }

    /// The incarnation of a member that is present.
    pub fn incarnation_of(&self, member: MemberId) -> Option<Incarnation> {
        self.present.get(&member).map(|identity| identity.incarnation)
    }

    /// How long no frame of any kind was received from a member. None: there never was one.
    pub fn silence(&self, member: MemberId, now: Duration) -> Option<Duration> {
        self.last_received.get(&member).map(|at| now.saturating_sub(*at))
    }

    /// What this member knows of its own place in the cluster.
    pub fn status(&self, now: Duration) -> MembershipStatus {
        let period = Membership::period(&self.config);
        let configured = self.config.members.len();
        // In a large cluster a frame from any one member is rare, and only from none of them for long a sign.
        let recent = period * (SILENT_PERIODS + configured as u32);
        let others = || self.config.ids().filter(|id| *id != self.identity.member);
        let silences = || others().filter_map(|id| self.silence(id, now));
        let recent_contacts = silences().filter(|silence| *silence < recent).count();
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

    /// Takes note of a frame of any kind, which shows that its sender lives.
    pub fn record_contact(&mut self, from: MemberId, now: Duration) {
        self.last_received.insert(from, now);
    }

    /// Handles a datagram of the membership protocol.
    pub fn on_datagram(&mut self, now: Duration, bytes: &[u8]) -> MembershipOutput {
        self.compensate_for_pause(now);
        // A malformed one costs this datagram alone.
        let _ = self.swim.handle_data(bytes, &mut self.runtime);
        self.drain_runtime(now)
    }

    /// Runs the timers that are due. Datagrams that wait are to be handed in first.
    pub fn tick(&mut self, now: Duration) -> MembershipOutput {
        self.compensate_for_pause(now);
        for event in self.take_due_timers(now) {
            if let Timer::ChangeSuspectToDown { .. } = event {
                // A probe of ours that was not answered: the fault may be ours.
                self.worsen_health();
            }
            let _ = self.swim.handle_timer(event, &mut self.runtime);
        }
        // Guards against a first announcement that is lost, and against a member that was cut off from all: the library
        // waits to be contacted then.
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

    /// Tells the others that this incarnation ends by its own will.
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

    /// Guards against a process that was paused, or got no time, and on waking takes the replies that it did not collect
    /// for replies that nobody sent: what was due meanwhile is put off by as long as it was away.
    fn compensate_for_pause(&mut self, now: Duration) {
        let late = self.expected_call.map_or(Duration::ZERO, |by| now.saturating_sub(by));
        if late > self.config.round_trip.mul_f64(PROBE_ROUND_TRIPS) {
            let put_off = |Reverse((at, number)): Reverse<(Duration, u64)>| Reverse((at + late, number));
            self.timers = std::mem::take(&mut self.timers).into_iter().map(put_off).collect();
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
        let _ = self.swim.set_config(settings(&self.config, local_health));
    }

    /// Takes what the library wants sent, scheduled and announced.
    fn drain_runtime(&mut self, now: Duration) -> MembershipOutput {
        let mut output = MembershipOutput::default();
        while let Some((to, bytes)) = self.runtime.to_send() {
            output.frames.push((to.identity.member, Message::Swim(bytes.to_vec())));
        }
        while let Some((after, event)) = self.runtime.to_schedule() {
            if let Timer::ProbeRandomMember(_) = event {
                // A whole period went by as it should.
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
