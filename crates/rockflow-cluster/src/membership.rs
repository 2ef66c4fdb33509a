//! Who is there: SWIM by `foca`, with what it leaves to its caller. Local health as in Lifeguard, so that a process that
//! is slow or was stopped does not take its own absence for that of others; lives, so that a process that restarts is
//! known to have forgotten; and silence, a fact of its own: of whom nothing was heard, and whether it is I who am cut off.

use crate::messages::Message;
use crate::words::{Life, MemberId, Seat, Told};
use foca::{AccumulatingRuntime, Foca, Identity, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::convert::Infallible;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// A probe's answer is waited for so many round trips; a whole probe, with the way through others, takes so many more.
const PROBE_TRIPS: f64 = 4.0;
const PERIOD_TRIPS: f64 = 16.0;
/// A suspect is lost after so many probe periods, times the local health.
const SUSPECT_PERIODS: u32 = 3;
/// Those asked to probe on one's behalf.
const THROUGH_OTHERS: usize = 3;
/// Updates and joins are told on their own every so many periods; a lost one is called that often.
const GOSSIP_PERIODS: u32 = 1;
const ANNOUNCE_PERIODS: u32 = 10;
/// While nobody else is there, all are called on that often.
const ALONE_PERIODS: u32 = 4;
/// The worst local health: suspicion then takes so many times as long, less one.
const WORST_HEALTH: u32 = 8;
/// With nothing heard of anybody for so many periods it may be I who am cut off.
const SILENT_PERIODS: u32 = 8;
/// Timers that are out at the most; more are a fault, and the oldest are kept.
const MAX_TIMERS: usize = 4096;
/// Bytes of one datagram of membership.
const MAX_BYTES: usize = 1100;

/// A seat, and how often that life has come back after being declared lost: to come back is not to forget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
struct Known {
    seat: Seat,
    turn: u32,
}

impl Identity for Known {
    type Addr = MemberId;

    fn renew(&self) -> Option<Self> {
        Some(Known { turn: self.turn.checked_add(1)?, ..*self })
    }

    fn addr(&self) -> MemberId {
        self.seat.member
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.seat.life, self.turn) > (adversary.seat.life, adversary.turn)
    }
}

/// The library's chance, from the told seed.
struct Chance(oorandom::Rand64);

impl rand_core::TryRng for Chance {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok((self.0.rand_u64() >> 32) as u32)
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.rand_u64())
    }

    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Infallible> {
        for chunk in bytes.chunks_mut(8) {
            chunk.copy_from_slice(&self.0.rand_u64().to_le_bytes()[..chunk.len()]);
        }
        Ok(())
    }
}

/// What has changed in who is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Up(Seat),
    /// Declared lost, or left.
    Lost(Seat),
    /// Another life of the same member is there: what the former held in memory is gone.
    Restarted {
        from: Seat,
        to: Seat,
    },
}

/// What is known of one's own standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Grows with every change of who is there.
    pub view: u64,
    pub present: usize,
    pub told: usize,
    /// Members other than me that were heard lately.
    pub heard: usize,
    /// Nothing was heard of anybody lately, or fewer than a majority of all told are there: it may be I who am cut off.
    pub maybe_cut_off: bool,
    /// 0: well; the more, the slower this process is, or the fewer of its probes come back.
    pub health: u32,
}

pub struct Membership {
    told: Told,
    seat: Seat,
    swim: Foca<Known, PostcardCodec, Chance, NoCustomBroadcast>,
    out: AccumulatingRuntime<Known>,
    timers: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Timer<Known>>,
    next: u64,
    present: BTreeMap<MemberId, Seat>,
    heard: BTreeMap<MemberId, Duration>,
    view: u64,
    health: u32,
    /// By when this machine should be called again.
    expected: Option<Duration>,
    left: bool,
    /// While nobody else is there, all told members are called on again then.
    call_again: Duration,
}

impl Membership {
    pub fn new(told: Told, seat: Seat, seed: u64, now: Duration) -> Membership {
        let known = Known { seat, turn: 0 };
        let chance = Chance(oorandom::Rand64::new(u128::from(seed)));
        let swim = Foca::new(known, settings(&told, 0), chance, PostcardCodec);
        Membership {
            told,
            seat,
            swim,
            out: AccumulatingRuntime::new(),
            timers: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            present: BTreeMap::from([(seat.member, seat)]),
            heard: BTreeMap::new(),
            view: 1,
            health: 0,
            expected: None,
            left: false,
            call_again: now,
        }
    }

    pub fn period(told: &Told) -> Duration {
        told.round_trip.mul_f64(PERIOD_TRIPS)
    }

    /// After so long without a word a member is certainly taken for lost, unless this process is slow itself.
    pub fn lost_after(told: &Told) -> Duration {
        Membership::period(told) * (SUSPECT_PERIODS + told.members.len() as u32)
    }

    /// Calls on all told members.
    pub fn join(&mut self, now: Duration) -> Outcome {
        self.call_again = now + Membership::period(&self.told) * ALONE_PERIODS;
        let known: Vec<_> = self.told.ids().filter(|id| *id != self.seat.member).collect();
        for member in known {
            // Its life is not known yet; the address is what counts.
            let to = Known { seat: Seat { member, life: Life(0) }, turn: 0 };
            let _ = self.swim.announce(to, &mut self.out);
        }
        self.take_out(now)
    }

    pub fn present(&self) -> impl Iterator<Item = Seat> + '_ {
        self.present.values().copied()
    }

    pub fn is_present(&self, seat: Seat) -> bool {
        self.present.get(&seat.member) == Some(&seat)
    }

    pub fn life_of(&self, member: MemberId) -> Option<Life> {
        self.present.get(&member).map(|seat| seat.life)
    }

    /// How long nothing was heard of a member, by any frame; none: never.
    pub fn silence(&self, member: MemberId, now: Duration) -> Option<Duration> {
        self.heard.get(&member).map(|at| now.saturating_sub(*at))
    }

    pub fn standing(&self, now: Duration) -> Standing {
        let period = Membership::period(&self.told);
        let told = self.told.members.len();
        // In a large fleet a word from any one member is rare, from none of them for long a sign.
        let within = period * (SILENT_PERIODS + told as u32);
        let others = || self.told.ids().filter(|id| *id != self.seat.member);
        let silences = || others().filter_map(|id| self.silence(id, now));
        let heard = silences().filter(|silence| *silence < within).count();
        let silent = told > 1 && silences().min().is_none_or(|silence| silence > period * SILENT_PERIODS);
        let maybe_cut_off = silent || self.present.len() < told / 2 + 1;
        Standing {
            view: self.view,
            present: self.present.len(),
            told,
            heard,
            maybe_cut_off,
            health: self.health,
        }
    }

    /// Any frame shows that its sender lives, whatever it says.
    pub fn heard(&mut self, from: MemberId, now: Duration) {
        self.heard.insert(from, now);
    }

    pub fn hear(&mut self, now: Duration, bytes: &[u8]) -> Outcome {
        self.attend(now);
        // A fault costs this frame alone.
        let _ = self.swim.handle_data(bytes, &mut self.out);
        self.take_out(now)
    }

    /// Runs what is due. Frames that wait are to be handed in first.
    pub fn tick(&mut self, now: Duration) -> Outcome {
        self.attend(now);
        let mut due = Vec::new();
        while let Some(Reverse((at, no))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            due.extend(self.events.remove(&no));
        }
        for event in due {
            if let Timer::ChangeSuspectToDown { .. } = event {
                // A probe of ours that failed: it may be us.
                self.worsen();
            }
            let _ = self.swim.handle_timer(event, &mut self.out);
        }
        // Guards against a first call that is lost, and against one that was cut off from all: the library waits to
        // be called then.
        if self.is_alone() && self.call_again <= now {
            return self.join(now);
        }
        self.take_out(now)
    }

    pub fn next_due(&self) -> Option<Duration> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        [timer, self.is_alone().then_some(self.call_again)].into_iter().flatten().min()
    }

    fn is_alone(&self) -> bool {
        self.present.len() == 1 && self.told.members.len() > 1 && !self.left
    }

    /// Says that this life ends by its own will.
    pub fn leave(&mut self, now: Duration) -> Outcome {
        if std::mem::replace(&mut self.left, true) {
            return Outcome::default();
        }
        let _ = self.swim.leave_cluster(&mut self.out);
        self.take_out(now)
    }

    /// Guards against a process that was stopped, or got no time, and on waking takes the answers that it did not
    /// collect for answers that nobody gave: what was due meanwhile is put off by as long as it was away.
    fn attend(&mut self, now: Duration) {
        let late = self.expected.map_or(Duration::ZERO, |by| now.saturating_sub(by));
        let trips = self.told.round_trip.mul_f64(PROBE_TRIPS);
        if late > trips {
            let put_off = |Reverse((at, no)): Reverse<(Duration, u64)>| Reverse((at + late, no));
            self.timers = std::mem::take(&mut self.timers).into_iter().map(put_off).collect();
            self.worsen();
        }
        self.expected = None;
    }

    fn worsen(&mut self) {
        self.be(self.health + 1);
    }

    fn be(&mut self, health: u32) {
        let health = health.min(WORST_HEALTH);
        if health != std::mem::replace(&mut self.health, health) {
            let _ = self.swim.set_config(settings(&self.told, health));
        }
    }

    fn take_out(&mut self, now: Duration) -> Outcome {
        let mut outcome = Outcome::default();
        while let Some((to, bytes)) = self.out.to_send() {
            outcome.frames.push((to.seat.member, Message::Swim(bytes.to_vec())));
        }
        while let Some((after, event)) = self.out.to_schedule() {
            if let Timer::ProbeRandomMember(_) = event {
                // A whole period went by as it should.
                self.be(self.health.saturating_sub(u32::from(self.next.is_multiple_of(4))));
            }
            if self.events.len() < MAX_TIMERS {
                self.next += 1;
                self.timers.push(Reverse((now + after, self.next)));
                self.events.insert(self.next, event);
            }
        }
        while let Some(note) = self.out.to_notify() {
            self.note(note, &mut outcome.changes);
        }
        self.expected = self.next_due();
        outcome
    }

    fn note(&mut self, note: OwnedNotification<Known>, changes: &mut Vec<Change>) {
        match note {
            OwnedNotification::MemberUp(known) => {
                if self.present.insert(known.seat.member, known.seat) != Some(known.seat) {
                    self.view += 1;
                    changes.push(Change::Up(known.seat));
                }
            }
            OwnedNotification::MemberDown(known) => {
                if self.present.remove(&known.seat.member).is_some() {
                    self.view += 1;
                    changes.push(Change::Lost(known.seat));
                }
            }
            OwnedNotification::Rename(from, to) if from.seat != to.seat => {
                if let Some(seat) = self.present.get_mut(&to.seat.member) {
                    *seat = to.seat;
                }
                self.view += 1;
                changes.push(Change::Restarted { from: from.seat, to: to.seat });
            }
            OwnedNotification::Rename(..)
            | OwnedNotification::Active
            | OwnedNotification::Idle
            | OwnedNotification::Defunct
            | OwnedNotification::Rejoin(_) => {}
        }
    }
}

/// What comes of a call.
#[derive(Debug, Default)]
pub struct Outcome {
    pub frames: Vec<(MemberId, Message)>,
    pub changes: Vec<Change>,
}

/// The library's settings, as ratios to the told round trip.
fn settings(told: &Told, health: u32) -> foca::Config {
    let period = Membership::period(told);
    let some = |n: usize| NonZeroUsize::new(n.max(1)).expect("one at least");
    let every =
        |periods: u32| Some(foca::PeriodicParams { frequency: period * periods, num_members: some(1) });
    // An update reaches all in about as many rounds as the logarithm of their number.
    let spread = (told.members.len().max(2) as f64).log2().ceil() as u8 * 2;
    foca::Config {
        probe_period: period,
        probe_rtt: told.round_trip.mul_f64(PROBE_TRIPS),
        num_indirect_probes: some(THROUGH_OTHERS),
        max_transmissions: NonZeroU8::new(spread.max(5)).expect("five at least"),
        suspect_to_down_after: period * SUSPECT_PERIODS * (1 + health),
        remove_down_after: None,
        max_packet_size: some(MAX_BYTES),
        notify_down_members: true,
        periodic_announce: every(ANNOUNCE_PERIODS),
        periodic_announce_to_down_members: every(ANNOUNCE_PERIODS),
        periodic_gossip: every(GOSSIP_PERIODS),
    }
}
