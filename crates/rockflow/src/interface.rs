//! What goes in and out of the decisions: ids, told facts, events and actions. No decision is made here.
//!
//! Every time is a span since the start of the caller's clock.

use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryId(pub u64);
/// A cache, a parent or the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectId(pub u64);
/// A group of objects that a purge may name as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupId(pub u64);
/// Place in `Deployment::products`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProductId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LocationId(pub u16);
/// A small set of hosts that know each other's labels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u16);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LegNo(pub u16);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u32);

/// Which hosts drop a repeat of a labelled query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LabelScope {
    All,
    Location,
    Cell,
}

/// What a second run of a query would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Redoable,
    Labelled { scope: LabelScope, remembered: Duration },
    Irreversible,
}

#[derive(Clone, Debug)]
pub struct Product {
    pub effect: Effect,
    /// Due time of a query that takes no time to send; `stretch` times its sending time comes on top.
    pub due: Duration,
    pub stretch: f64,
    /// How long a client waits in all, over all its tries.
    pub outer_limit: Duration,
    pub payoff: f64,
    pub late_payoff: f64,
    /// Zero: a copy is good until it is purged.
    pub fresh: Duration,
    pub grace: Duration,
    pub cacheable: bool,
}

/// What the listed weights stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// A host's link, in transfers at full pace.
    Link,
    Unknown,
}

/// A cold host's told figures.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    pub share: f64,
    pub ramp: Duration,
    pub multiple: f64,
    pub span: Duration,
}

/// How much answers tell of hits and fills.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notes {
    All,
    HitsOnly,
    None,
}

/// The facts told at the start.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub location: LocationId,
    /// Dispatchers in this location, this one included, and in all; this one's number among all, from 0.
    pub seats: usize,
    pub dispatchers: usize,
    pub number: usize,
    pub products: Vec<Product>,
    pub weights: Weights,
    pub cold_cache: ColdStart,
    pub cold_parent: ColdStart,
    pub purge_done: Duration,
    /// Zero: not told.
    pub stream_kb_per_s: f64,
    pub notes: Notes,
    pub joins: bool,
    pub direct: bool,
    pub second_copies: bool,
    pub cancel: bool,
    pub probes: bool,
    pub leg_limit: usize,
    pub most_held: usize,
    /// The longest wait that a client heeds; none where a dismissal carries no advice.
    pub longest_pause: Option<Duration>,
    /// Set where the list must be asked for: how long an old list may be relied on.
    pub ask_within: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Cache,
    Parent,
    Origin,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    pub host: HostId,
    pub cell: CellId,
    pub location: LocationId,
    pub role: Role,
    pub readiness: Readiness,
    pub weight: f64,
    /// None: started long ago.
    pub started: Option<Duration>,
}

/// What the decisions hold of a host, for whoever looks on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostView {
    pub host: HostId,
    pub out: usize,
    /// Avoided for its recent failures.
    pub avoided: bool,
    /// The good part of its recent answers; 1 without any.
    pub health: f64,
    /// When it stops being cold; none: it is not.
    pub cold_until: Option<Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All hosts, as known now.
    Whole,
    /// All hosts, as known before a restart.
    Remembered,
    Changes,
    /// Asking failed; the old list stays.
    Failed,
}

#[derive(Clone, Debug)]
pub struct Query {
    pub id: QueryId,
    pub product: ProductId,
    pub object: ObjectId,
    pub part: u32,
    pub group: GroupId,
    /// Time until the client gives up.
    pub time_left: Duration,
    /// Zero: not told.
    pub size_kb: f64,
    /// What another began that held the query before and is lost; none, as a rule.
    pub former: Vec<Former>,
}

/// A leg that may have begun under a former holder of its query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Former {
    pub host: HostId,
    /// The earliest that it can have been sent.
    pub sent: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    HostError,
    TurnedAway,
    TimedOut,
    NotConnected,
    /// The connection broke, and no other shows that the host lives.
    Broken,
    /// What came can't be used or broke off, from a host that lives; the leg may have run.
    Garbled,
    CalledOff,
    NotSent,
    Miss,
}

/// What an answer says of the copy or of the fill, where that is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    Untold,
    Hit,
    Filled,
    FilledByOrigin,
    Joined,
    PastFresh,
    SourceRefused,
    SourceUnreached,
    SourceLacks,
    NoPlace,
    OriginFailed,
}

#[derive(Clone, Debug)]
pub struct LegEnd {
    pub query: QueryId,
    pub leg: LegNo,
    pub host: HostId,
    pub outcome: Outcome,
    pub took: Duration,
    /// The query is over, by this outcome or before it.
    pub over: bool,
    pub note: Note,
    /// Time to the source's first byte or to its failure; zero where untold.
    pub fill_wait: Duration,
    /// A byte of it went out; false: it surely never ran, whatever the outcome.
    pub begun: bool,
}

#[derive(Clone, Debug)]
pub enum Event {
    Listed {
        scope: ListScope,
        hosts: Vec<Listing>,
    },
    Asked(Query),
    /// A stream has begun.
    LegBegan {
        query: QueryId,
        leg: LegNo,
    },
    LegEnded(LegEnd),
    ClientLeft(QueryId),
    /// The program ends: every open query needs its answer by then.
    Ending {
        by: Duration,
    },
    TimerDue(TimerId),
    Probed {
        host: HostId,
        outcome: Outcome,
        took: Duration,
        report: Vec<f32>,
    },
    /// With no object: the whole group. The group of an object may be untold.
    Purged {
        object: Option<ObjectId>,
        group: Option<GroupId>,
        ago: Duration,
    },
    Told {
        from: u16,
        payload: Vec<u8>,
    },
}

/// Rank at which a copy is kept; the lowest is dropped first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Keep {
    Not,
    Low,
    Middle,
    High,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Leg {
    pub host: HostId,
    /// Where a miss is filled from; none: the host answers from what it holds.
    pub source: Option<HostId>,
    /// None: until the client gives up.
    pub limit: Option<Duration>,
    /// When it must have gone out, or not at all; none: as long as its limit lasts.
    pub begin_by: Option<Duration>,
    pub keep: Keep,
    /// None: the product's fresh time, or any age where it has none.
    pub oldest: Option<Duration>,
    pub join: bool,
    /// The source gives only what it holds.
    pub held_at_source: bool,
    /// The parent keeps no copy.
    pub unkept_at_parent: bool,
    pub renew: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send { query: QueryId, leg: Leg },
    CallOff { query: QueryId, leg: LegNo },
    Dismiss { query: QueryId, pause: Option<Duration> },
    Terminate { query: QueryId },
    SetTimer { timer: TimerId, span: Duration },
    Probe { host: HostId },
    CloseIdle { host: HostId },
    Tell { to: u16, payload: Vec<u8> },
    Subscribe { on: bool },
    AskList,
    Log(String),
}
