//! Invariants of a simulated fleet and convergence times, from a global view. The checker uses only what was published and
//! what dispatchers received, never the tables of the nodes.

mod application;
mod convergence;
mod publications;

use rockflow_dissemination::{DesiredState, Purge, SequenceNumber, StreamId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;

/// Faults that are kept with their words; the others are counted only.
const MAX_DESCRIBED_VIOLATIONS: usize = 40;

/// From hearing of a stream to having what binds of it: an ask, lost once, and its answer.
const TO_ASK: Duration = Duration::from_millis(1500);

/// One bit an entry.
#[derive(Clone, Debug, Default)]
struct Bits(Vec<u64>);

impl Bits {
    fn has(&self, at: usize) -> bool {
        self.0.get(at / 64).is_some_and(|word| word >> (at % 64) & 1 == 1)
    }

    /// Whether it was not there before.
    fn add(&mut self, at: usize) -> bool {
        if self.0.len() <= at / 64 {
            self.0.resize(at / 64 + 1, 0);
        }
        let (word, bit) = (&mut self.0[at / 64], 1 << (at % 64));
        let new = *word & bit == 0;
        *word |= bit;
        new
    }
}

/// Content of a published entry.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A purge.
    Purge(Purge),
    Setting {
        host: String,
        wanted: DesiredState,
    },
}

/// What was published, once by its content.
#[derive(Clone, Debug)]
pub struct Published {
    /// Content of the entry.
    pub what: What,
    /// When the board or the operator said it.
    pub at: Duration,
    /// Which side of a cut said it; none: both.
    pub side: Option<u8>,
    /// Phase of the simulation in which it was published.
    pub moment: usize,
    /// Under how many numbers it went out. Several: two control nodes both thought it theirs.
    pub numbers: usize,
    /// Members told now in whose force it was at some time.
    ever: usize,
    /// The longest that a member waited for it, from when it could have heard.
    pub worst: Duration,
    /// When control first said that it is in force everywhere.
    pub known: Option<Duration>,
    /// Before then it was with its publisher alone, which was stopped.
    pub held_until: Duration,
    /// Its publisher ended before anybody had it: it is not owed to anybody, until somebody has it all the same.
    pub lost: bool,
    /// By a clock that is wrong the board's word of it was taken for older than it is by so much, at most.
    pub overstated_age: Duration,
    /// A life that published it ended before it was known to be everywhere: its stream goes, and nobody may know.
    pub unknowable: bool,
}

/// A life of a member as the checker saw it.
#[derive(Clone, Debug, Default)]
struct MemberIncarnation {
    alive: bool,
    stopped: bool,
    begun: Duration,
    have: Bits,
    /// By their own names and numbers, also where a floor or a later setting covered them before.
    given: Bits,
    /// How often, where it was more than once.
    again: HashMap<usize, usize>,
    /// All published until then is covered.
    floor: Option<Duration>,
    /// All entries before this one are in force here.
    low: usize,
    /// Disturbed from the first until the second: dead, stopped or cut off.
    clear_from: Duration,
    /// When it first heard of a stream.
    contact: Option<Duration>,
    table: BTreeMap<String, DesiredState>,
    /// Settings that were there when it began, and whether it has gone by all of them.
    owed: usize,
    whole: bool,
}

/// What is broken, in the order of its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Violation {
    /// Given to a life of a member more often than it was published.
    Twice,
    /// Not in force at a member, nor covered by a floor, though it had the time for it.
    PassedOver,
    /// In force later than the window, at a member that nothing held up.
    Late,
    /// A purge that leaves older copies than it may.
    Laxer,
    /// Control said it was in force everywhere, and it was not.
    EverywhereTooEarly,
    /// Nothing in the way any more, and control does not know it.
    EverywhereNotSaid,
    /// A setting that no one published, or another than the last of a host.
    WrongSetting,
    /// Given to a dispatcher, and never published.
    Unknown,
    /// A table or queue past its cap.
    PastCap,
    /// A floor where nothing went wrong, and nobody published a purge of everything.
    NeedlessFloor,
    /// Told and not there at the end, or not for long enough: nothing was judged at it.
    NotJudged,
}

/// Independent record of what was published and applied, checked against the fleet's invariants.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    /// A purge is applied by all reachable members within this time.
    pub window: Duration,
    /// A change of the configuration is in force within this at members that nothing held up. Who comes back, or begins
    /// later, takes it with all the others, within the window.
    pub change_window: Duration,
    /// Something went wrong in this course, beyond what frames are lost on an ordinary day: floors may come of it.
    pub disturbed_at_all: bool,
    members: usize,
    incarnations: Vec<MemberIncarnation>,
    /// What a member had in any life.
    ever: Vec<Bits>,
    /// Members by the directory.
    listed: Vec<bool>,
    /// Published entries in the order of publication.
    pub entries: Vec<Published>,
    purges: HashMap<Purge, usize>,
    /// Published purges of everything.
    everything: Vec<usize>,
    by_number: HashMap<(StreamId, SequenceNumber), usize>,
    settings: Vec<usize>,
    settings_of: HashMap<String, Vec<usize>>,
    /// Settings that members keep apart.
    pub refusals: BTreeSet<(usize, usize)>,
    /// From the start of a life to its going by all the settings.
    pub caught_up: Vec<Duration>,
    /// Who is told by the directory that a control node goes by, where that is not the last.
    reads: HashMap<usize, Vec<bool>>,
    /// Said to be everywhere, by control nodes that have read the last directory, and by others.
    said: HashMap<(StreamId, bool), SequenceNumber>,
    /// The last of each host, as published; settled by the world where two conflict.
    expected: BTreeMap<String, (Duration, DesiredState)>,
    /// Which side of a cut a member is on, and when the two met again.
    sides: Vec<Option<u8>>,
    met: Duration,
    /// Number of violations by kind.
    pub broken: BTreeMap<Violation, usize>,
    /// Descriptions of the first violations.
    pub words: Vec<String>,
    /// Floors given in all.
    pub floors: usize,
    /// Entries that a floor covered at a member.
    pub covered: usize,
    /// Not in force at a member that came back when they bound nobody any more.
    pub expired: usize,
    /// The most by which a purge was stricter than published.
    pub stricter: Duration,
}

impl fmt::Display for Checker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.broken)?;
        self.words.iter().try_for_each(|words| write!(f, "\n  {words}"))
    }
}

impl Checker {
    /// Creates a checker of this number of members, all listed in the directory.
    pub fn new(members: usize, window: Duration, change_window: Duration) -> Checker {
        Checker {
            window,
            change_window,
            members,
            incarnations: vec![MemberIncarnation::default(); members],
            ever: vec![Bits::default(); members],
            listed: vec![true; members],
            sides: vec![None; members],
            ..Checker::default()
        }
    }

    /// Total number of violations.
    pub fn violations(&self) -> usize {
        self.broken.values().sum()
    }

    /// Counts a violation and describes it while few are described.
    pub fn record_violation(&mut self, what: Violation, words: impl FnOnce() -> String) {
        let count = self.broken.entry(what).or_default();
        *count += 1;
        if *count <= 5 && self.words.len() < MAX_DESCRIBED_VIOLATIONS {
            self.words.push(format!("{what:?}: {}", words()));
        }
    }

    /// Whether the directory names it.
    pub fn set_listed(&mut self, member: usize, listed: bool) {
        if std::mem::replace(&mut self.listed[member], listed) == listed {
            return;
        }
        let ever = &self.ever[member];
        for entry in
            self.entries.iter_mut().enumerate().filter(|(at, _)| ever.has(*at)).map(|(_, entry)| entry)
        {
            entry.ever = if listed { entry.ever + 1 } else { entry.ever - 1 };
        }
    }

    /// A control node goes by a directory that names these.
    pub fn on_directory_read(&mut self, control: usize, listed: Vec<bool>) {
        self.reads.insert(control, listed);
        self.reads.retain(|_, read| *read != self.listed);
    }

    /// Whether the current directory lists the member.
    pub fn is_listed(&self, member: usize) -> bool {
        self.listed[member]
    }

    /// A member keeps a setting apart: it is not in force there, and control is told so.
    pub fn on_rejected_setting(&mut self, member: usize, id: (StreamId, SequenceNumber)) {
        if let Some(entry) = self.by_number.get(&id).copied() {
            self.found(entry);
            self.refusals.insert((member, entry));
            if self.incarnations[member].have.add(entry)
                && self.ever[member].add(entry)
                && self.listed[member]
            {
                self.entries[entry].ever += 1;
            }
        }
    }

    /// Records the start of a new incarnation of a member.
    pub fn on_start(&mut self, now: Duration, member: usize) {
        let owed = self.settings.len();
        // What cuts it off does so whichever of its lives that is.
        let clear_from = self.incarnations[member].clear_from.max(now);
        let incarnation = MemberIncarnation {
            alive: true,
            begun: now,
            clear_from,
            owed,
            whole: owed == 0,
            ..MemberIncarnation::default()
        };
        self.incarnations[member] = incarnation;
    }

    /// Somebody told it of streams.
    pub fn on_contact(&mut self, now: Duration, member: usize) {
        self.incarnations[member].contact.get_or_insert(now);
    }

    /// Records the end of a member's incarnation.
    pub fn on_exit(&mut self, member: usize) {
        self.incarnations[member].alive = false;
    }

    /// Records that a member is suspended or resumed.
    pub fn set_stopped(&mut self, member: usize, stopped: bool) {
        self.incarnations[member].stopped = stopped;
    }

    /// One takes the other's place, and all that goes wrong there.
    pub fn on_replacement(&mut self, member: usize, before: usize) {
        self.set_listed(before, false);
        self.set_listed(member, true);
        self.incarnations[member].clear_from = self.incarnations[before].clear_from;
        self.sides[member] = self.sides[before];
    }

    /// Something keeps it from hearing until then.
    pub fn record_disturbance(&mut self, member: usize, until: Duration) {
        let clear = &mut self.incarnations[member].clear_from;
        *clear = until.max(*clear);
    }

    /// Members on two sides that can't hear each other until then.
    pub fn on_partition(&mut self, sides: Vec<Option<u8>>, until: Duration) {
        (self.sides, self.met) = (sides, until);
    }
}
