//! Dissemination beside a dispatcher: what its machine has heard goes to the decisions, and back goes what they go by.

mod unjudged;

use rockflow::{GroupId, ObjectId, Readiness};
use rockflow_dispatcher::{Config, Purge, ServiceHandle};
use rockflow_dissemination as node;
use rockflow_dissemination::{ApplyToken, DesiredState, EntryId, Output};
use rockflow_endpoints::{AdminOverride, AdminOverrides, RejectedOverride};
use rockflow_operator_config::{ControlNode, DisseminationSection, OperatorConfig};
use rockflow_transport::dissemination::{self as carrier, Bounds, WeakLink, Word};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{debug, enabled, info, warn, Level};
use unjudged::Unjudged;

pub const BUILT: bool = true;
pub use carrier::Plan;

/// The longest that an end waits for the last frames to go out, and how often it looks.
const LAST_FRAMES: Duration = Duration::from_millis(500);
const LOOK: Duration = Duration::from_millis(5);

pub fn check(file: &OperatorConfig, told: &Config) -> Result<Vec<String>, String> {
    let plan = plan(file, told)?;
    Ok(plan.iter().map(|plan| format!("dissemination: at {}", plan.listen)).collect())
}

/// A member's; none: the operator's file has no such section.
pub fn plan(file: &OperatorConfig, told: &Config) -> Result<Option<Plan>, String> {
    let Some(part) = &file.dissemination else { return Ok(None) };
    let binds = told.facts.deployment.purge_window;
    if binds > part.purge_window {
        return Err(format!(
            "[dissemination] purge-seconds: {} is shorter than the {} s that a purge binds by the settings",
            part.purge_window.as_secs_f64(),
            binds.as_secs_f64()
        ));
    }
    if part.control.iter().any(|node| node.name == told.name) {
        return Err(format!("[dissemination] control: {} is this dispatcher's own name", told.name));
    }
    Ok(Some(Plan { config: told_of(part, &told.name), ..base(part, told.seed) }))
}

pub fn base(part: &DisseminationSection, seed: u64) -> Plan {
    Plan {
        bounds: Bounds::new(&part.fleet, part.control.len(), !part.trusted_network),
        config: told_of(part, ""),
        directory: None,
        listen: part.listen,
        seed,
    }
}

/// What a node of this name is told; a control node's place is that of its name.
pub fn told_of(part: &DisseminationSection, name: &str) -> node::NodeConfig {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let peer = |control: &ControlNode| node::Peer {
        node: node::NodeId::of(&control.name),
        address: control.address,
    };
    let place = part.control.iter().position(|control| control.name == name);
    node::NodeConfig {
        identity: node::Identity {
            node: node::NodeId::of(name),
            incarnation: node::Incarnation(since.as_millis() as u64),
        },
        control_id: place.map(|place| node::ControlId(place as u8)),
        control: part.control.iter().map(peer).collect(),
        seeds: part.seeds.clone(),
        purge_window: part.purge_window,
        bytes_per_second: part.bytes_per_second,
        heartbeat_interval: part.heartbeat_interval,
    }
}

/// A running carrier; dropped, its node leaves.
pub struct Carried(pub carrier::Link);

impl Drop for Carried {
    fn drop(&mut self) {
        self.0.say(Word::Stop);
        let by = Instant::now() + LAST_FRAMES;
        while !self.0.is_over() && Instant::now() < by {
            std::thread::sleep(LOOK);
        }
    }
}

pub fn serve(plan: Plan, link: ServiceHandle) -> Result<Carried, String> {
    let unjudged = Arc::default();
    let heard = move |words: &WeakLink, out| fact(&link, words, &unjudged, out);
    let carried = carrier::Link::start(plan, heard).map_err(|what| format!("dissemination: {what}"))?;
    info!(listen = %carried.listens_at, "dissemination listens");
    Ok(Carried(carried))
}

fn fact(link: &ServiceHandle, words: &WeakLink, unjudged: &Arc<Mutex<Unjudged>>, out: Output) {
    match out {
        Output::Purge { purges, token: ticket } => purge(link, words, purges, ticket),
        Output::Configure { settings, changed, token: ticket } => {
            let hosts = changed.iter().map(|(_, host)| host.clone()).collect();
            let beyond = lock(unjudged).give(ticket, changed);
            beyond.into_iter().for_each(|(id, host)| refuse(words, id, &host, RejectedOverride::TooMany));
            configure(link, words, unjudged, (settings, hosts), ticket);
        }
        Output::IncarnationSuperseded { incarnation } => {
            warn!(incarnation = incarnation.0, "a later life of this node is known")
        }
        Output::Send { .. } | Output::ReplicatedToAll { .. } => {}
    }
}

/// The objects of these purges, and the age of the youngest that is of more than one object, for whoever looks on.
fn told_of_purges(purges: &[(node::Purge, Duration)]) -> (String, Option<Duration>) {
    let object = |purge: &node::Purge| match purge {
        node::Purge::Object(id) => Some(format!("{:016x}", u64::from_le_bytes(*id))),
        node::Purge::Group(_) | node::Purge::Everything => None,
    };
    let objects: Vec<_> = purges.iter().filter_map(|(purge, _)| object(purge)).collect();
    let wider = purges.iter().filter(|(purge, _)| object(purge).is_none());
    (objects.join(","), wider.map(|(_, age)| *age).min())
}

fn purge(link: &ServiceHandle, words: &WeakLink, purges: Vec<(node::Purge, Duration)>, ticket: ApplyToken) {
    let shown = enabled!(Level::DEBUG).then(|| (told_of_purges(&purges), Instant::now()));
    let purges = purges.into_iter().map(|(purge, age)| {
        let (object, group) = match purge {
            node::Purge::Object(id) => (Some(ObjectId(u64::from_le_bytes(id))), None),
            node::Purge::Group(group) => (None, Some(GroupId(group))),
            node::Purge::Everything => (None, None),
        };
        Purge { object, group, purged_at: link.timestamp_before_now(age) }
    });
    let words = words.clone();
    let done = move || {
        if let Some(((objects, wider), given)) = shown {
            let wider = wider.map(|age| (age + given.elapsed()).as_secs_f64());
            debug!(objects = %objects, wider_seconds = wider, "purges in effect");
        }
        confirm(&words, ticket);
    };
    if !link.purge(purges.collect(), done) {
        warn!("too many purges wait at the decisions; one of everything stands for them");
    }
}

fn confirm(words: &WeakLink, ticket: ApplyToken) {
    if !words.say(Word::InEffect(ticket)) {
        warn!(ticket = ticket.0, "dissemination does not hear what is in effect");
    }
}

fn lock(unjudged: &Mutex<Unjudged>) -> MutexGuard<'_, Unjudged> {
    unjudged.lock().unwrap_or_else(PoisonError::into_inner)
}

fn configure(
    link: &ServiceHandle,
    words: &WeakLink,
    unjudged: &Arc<Mutex<Unjudged>>,
    (settings, changed): (BTreeMap<String, DesiredState>, Vec<String>),
    ticket: ApplyToken,
) {
    let marks: AdminOverrides =
        settings.into_iter().filter_map(|(host, wanted)| Some((host, mark(wanted)?))).collect();
    info!(marks = marks.len(), changed = changed.len(), "the fleet's marks");
    let (words, unjudged) = (words.clone(), unjudged.clone());
    let done = move |refused: BTreeMap<String, RejectedOverride>| {
        debug!(hosts = %changed.join(","), "marks in effect");
        let judged = lock(&unjudged).judged(ticket, &refused);
        judged.into_iter().for_each(|(id, host, why)| refuse(&words, id, &host, why));
        confirm(&words, ticket);
    };
    if !link.set_control_overrides(marks, done) {
        warn!("too many changes wait at the list");
    }
}

fn refuse(words: &WeakLink, id: EntryId, host: &str, why: RejectedOverride) {
    warn!(host, ?why, "a mark of the fleet is kept apart");
    words.say(Word::Refuse { id, why: refusal(why) });
}

/// None: as the board says.
fn mark(wanted: DesiredState) -> Option<AdminOverride> {
    let readiness = match wanted {
        DesiredState::Listed => return None,
        DesiredState::Draining => Readiness::Draining,
        DesiredState::Gone => Readiness::Gone,
    };
    Some(AdminOverride { readiness, expires_at: None, force: false })
}

fn refusal(why: RejectedOverride) -> node::RejectionReason {
    match why {
        RejectedOverride::LastReadyEndpoint => node::RejectionReason::LastOne,
        RejectedOverride::TooMany => node::RejectionReason::Full,
    }
}
