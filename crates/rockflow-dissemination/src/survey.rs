//! A node as it stands, for whoever looks on.

use crate::node::Node;
use crate::words::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// Names of missing members, and of those behind, in one survey.
pub const MAX_NAMES: usize = 32;

#[derive(Clone, Debug, PartialEq)]
pub struct StreamSurvey {
    pub stream: StreamId,
    /// Whether its beginning is known here; until then nothing of it counts as received.
    pub begun: bool,
    pub first: Number,
    /// All up to here are here or covered.
    pub received: Number,
    pub in_force: Number,
    pub last: Number,
    /// Entries held, those ahead of a gap among them.
    pub held: usize,
    /// Since when something is missing.
    pub gap: Option<Duration>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlSurvey {
    pub directory: u64,
    pub told: usize,
    pub present: usize,
    /// Names of some that no report has.
    pub missing: Vec<String>,
    /// Names of the worst by region, and what they have in force.
    pub behind: Vec<(String, StreamId, Number)>,
    pub everywhere: BTreeMap<StreamId, Number>,
    /// Settings that members refuse, and how many do.
    pub refused: Vec<(StreamId, Number, Refusal, u16)>,
    pub publishing: bool,
}

/// How much is held, to be set beside the caps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldNow {
    pub streams: usize,
    /// Entries of the longest log of purges, and of configuration.
    pub purges: usize,
    pub versions: usize,
    pub children: usize,
    pub reports: usize,
    pub rows: usize,
    pub hosts: usize,
    pub kept_apart: usize,
    pub purge_tickets: usize,
    pub setting_tickets: usize,
    pub candidates: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Survey {
    pub me: Identity,
    /// Region, slot and slots of the region, by this version of the directory.
    pub place: Option<(u16, u16, u16)>,
    pub directory: u64,
    pub parent: Option<Peer>,
    /// Whether the parent is the first candidate.
    pub first_parent: bool,
    pub children: usize,
    /// Since a control node made the newest pulse heard; none: none was.
    pub stale: Option<Duration>,
    pub streams: Vec<StreamSurvey>,
    /// Hosts with a setting, and those of them that are wanted otherwise than listed.
    pub settings: usize,
    pub wanted: BTreeMap<String, Wanted>,
    /// Versions of one host that did not know of each other; some.
    pub rivals: Vec<Setting>,
    pub refused: Vec<(StreamId, Number, Refusal)>,
    /// Tickets not confirmed yet.
    pub unconfirmed: usize,
    pub control: Option<ControlSurvey>,
}

impl Node {
    pub fn survey(&self, now: Duration) -> Survey {
        let place = self.joining.place.as_ref();
        let parent = self.following.parent();
        let stream = |stream: &crate::stream::Stream| StreamSurvey {
            stream: stream.id,
            begun: stream.begun,
            first: stream.first(),
            received: stream.to(),
            in_force: stream.in_force,
            last: stream.last(),
            held: stream.held(),
            gap: stream.gap_since().filter(|_| stream.gap()).map(|since| now.saturating_sub(since)),
        };
        Survey {
            me: self.told.me,
            place: place.map(|place| (place.region, place.slot, place.slots)),
            directory: self.control.as_ref().map_or(self.joining.directory, |control| control.version()),
            parent: parent.map(|p| Peer { node: p.node.unwrap_or(NodeId(0)), address: p.address }),
            first_parent: self.following.is_first(),
            children: self.children.len(),
            stale: match self.control {
                Some(_) => Some(Duration::ZERO),
                None => self.basis.map(|made| made.age(now)),
            },
            streams: self.streams.iter().map(stream).collect(),
            settings: self.hosts.len(),
            wanted: self.hosts.wanted(),
            rivals: self.hosts.rivals(MAX_NAMES),
            refused: self.apart.iter().map(|((stream, number), why)| (stream, number, why)).collect(),
            unconfirmed: self.purge_tickets.len() + self.setting_tickets.len(),
            control: self.control_survey(now),
        }
    }

    pub fn held(&self) -> HeldNow {
        let longest = |kind| {
            let streams = self.streams.iter().filter(|stream| stream.id.kind == kind);
            streams.map(|stream| stream.held()).max().unwrap_or(0)
        };
        HeldNow {
            streams: self.streams.len(),
            purges: longest(Kind::Purges),
            versions: longest(Kind::Configuration),
            children: self.children.len(),
            reports: self.children.reports().count(),
            rows: self.control.as_ref().map_or(0, |control| control.everywhere.held()),
            hosts: self.hosts.len(),
            kept_apart: self.apart.len(),
            purge_tickets: self.purge_tickets.len(),
            setting_tickets: self.setting_tickets.len(),
            candidates: self.following.candidates().len(),
        }
    }

    fn control_survey(&self, now: Duration) -> Option<ControlSurvey> {
        let control = self.control.as_ref()?;
        let mut survey = ControlSurvey {
            directory: control.version(),
            everywhere: control.everywhere.numbers().clone(),
            publishing: self.publishing(now),
            ..ControlSurvey::default()
        };
        let Some(directory) = &control.directory else { return Some(survey) };
        survey.told = directory.members.len();
        let direct: Vec<_> = self.direct(now).into_iter().map(|(report, _)| report).collect();
        let lag = |id, number| self.lag(id, number);
        for (region, listed) in (0_u16..).zip(directory.regions()) {
            let standing = control.everywhere.standing(region, directory, &direct, &lag);
            survey.present += standing.present;
            let report = standing.report.unwrap_or(crate::messages::Report {
                region,
                near: listed.near,
                slots: Default::default(),
                in_force: Vec::new(),
                behind: Vec::new(),
                refused: Vec::new(),
            });
            let named = |slot| directory.name(region, slot).map(str::to_owned);
            let missing = (0..listed.order.len() as u16).filter(|slot| !report.slots.has(*slot));
            let room = MAX_NAMES - survey.missing.len();
            survey.missing.extend(missing.filter_map(named).take(room));
            let behind = report.behind.iter().filter(|(_, id, number)| lag(*id, *number) > 0);
            let behind = behind.filter_map(|(slot, id, number)| Some((named(*slot)?, *id, *number)));
            let room = MAX_NAMES - survey.behind.len();
            survey.behind.extend(behind.take(room));
            let room = MAX_NAMES - survey.refused.len();
            survey.refused.extend(report.refused.into_iter().take(room));
        }
        Some(survey)
    }
}
