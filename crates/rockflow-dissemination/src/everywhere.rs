//! What is in force everywhere, as a control node knows it: by every told member's own word.

use crate::directory::Directory;
use crate::made::Made;
use crate::messages::{Report, Row, MAX_ROWS};
use crate::outs::Counts;
use crate::reports;
use crate::words::{ControlId, Number, StreamId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes of rows in one frame.
const ROW_BYTES: usize = 1200;

/// Rows by the control node that heard them, and region: at most sixteen times the regions of a directory. A region that
/// the directory here doesn't name isn't kept.
#[derive(Clone, Debug, Default)]
pub struct Everywhere {
    rows: BTreeMap<(ControlId, u16), (Report, Made)>,
    numbers: BTreeMap<StreamId, Number>,
}

/// A region as it stands.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    pub present: usize,
    pub report: Option<Report>,
}

impl Everywhere {
    pub fn hear(
        &mut self,
        now: Duration,
        control: ControlId,
        mut row: Row,
        directory: &Directory,
        counts: &mut Counts,
    ) {
        let region = usize::from(row.report.region);
        let named = directory.regions().get(region).is_some_and(|listed| listed.near == row.report.near);
        if !named {
            counts.reports_dropped += 1;
            return;
        }
        let key = (control, row.report.region);
        row.report.cut();
        self.rows.insert(key, (row.report, Made::ms_ago(now, row.age_ms)));
    }

    /// Drops rows that are too old to count.
    pub fn expire(&mut self, now: Duration, keep: Duration) {
        self.rows.retain(|_, (_, made)| made.age(now) <= keep);
    }

    /// After this process stood still, or the directory changed.
    pub fn forget_rows(&mut self) {
        self.rows.clear();
    }

    pub fn held(&self) -> usize {
        self.rows.len()
    }

    pub fn numbers(&self) -> &BTreeMap<StreamId, Number> {
        &self.numbers
    }

    /// All that is said of a region, here and at the other control nodes.
    pub fn standing(
        &self,
        region: u16,
        directory: &Directory,
        direct: &[Report],
        lag: reports::Lag,
    ) -> Standing {
        let Some(listed) = directory.regions().get(usize::from(region)) else { return Standing::default() };
        let rows = self.rows.iter().filter(|((_, of), _)| *of == region).map(|(_, (report, _))| report);
        let all = direct.iter().chain(rows);
        let mine = all.filter(|report| (report.region, report.near) == (region, listed.near));
        let (mut joined, _) = reports::join(mine, lag, 1);
        let report = joined.pop();
        let slots = listed.order.len() as u16;
        let present = report.as_ref().map_or(0, |report| report.slots.present(slots));
        Standing { present, report }
    }

    /// What has come in force everywhere since: from, and to.
    pub fn judge(
        &mut self,
        directory: &Directory,
        direct: &[Report],
        lag: reports::Lag,
    ) -> Vec<(StreamId, Number, Number)> {
        let mut least: Option<BTreeMap<StreamId, Number>> = None;
        for (region, listed) in (0_u16..).zip(directory.regions()) {
            let standing = self.standing(region, directory, direct, lag);
            if standing.present < listed.order.len() {
                return Vec::new();
            }
            let mut here: BTreeMap<StreamId, Number> =
                standing.report.into_iter().flat_map(|report| report.in_force).collect();
            if let Some(before) = least {
                here.retain(|stream, _| before.contains_key(stream));
                for (stream, number) in &mut here {
                    *number = before.get(stream).map_or(*number, |other| (*number).min(*other));
                }
            }
            least = Some(here);
        }
        let mut news = Vec::new();
        for (stream, number) in least.unwrap_or_default() {
            let before = self.numbers.get(&stream).copied().unwrap_or_default();
            if number > before {
                self.numbers.insert(stream, number);
                news.push((stream, before, number));
            }
        }
        news
    }

    /// Streams that are gone are forgotten.
    pub fn keep(&mut self, held: impl Fn(StreamId) -> bool) {
        self.numbers.retain(|stream, _| held(*stream));
    }
}

/// Rows in as few frames as hold them.
pub fn frames(rows: Vec<Row>) -> Vec<Vec<Row>> {
    let mut frames: Vec<Vec<Row>> = Vec::new();
    let mut bytes = 0;
    for row in rows {
        let of = &row.report;
        let more = 32 + of.slots.0.len() + 14 * (of.in_force.len() + of.behind.len() + of.refused.len());
        let goes_on = frames.last().is_some_and(|frame| frame.len() < MAX_ROWS && bytes + more <= ROW_BYTES);
        if !goes_on {
            frames.push(Vec::new());
            bytes = 0;
        }
        bytes += more;
        if let Some(frame) = frames.last_mut() {
            frame.push(row);
        }
    }
    frames
}
