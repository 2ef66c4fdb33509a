//! Locations of the members of a run: regions, sites and zones in proportion to the target.

use crate::target::Target;
use rockflow_process_harness::Place;

/// The places of so many members, and which of them are real processes: spread evenly, so that heads of sites and leaves
/// are among them as among the hollow ones.
pub fn members(target: &Target, hollow: usize, real: usize) -> (Vec<Place>, Vec<bool>) {
    let count = hollow + real;
    let share = |figure: &str| {
        let all = target.get(figure).unwrap_or(1.0) * count as f64 / target.dispatchers() as f64;
        (all.round() as usize).max(1)
    };
    let (regions, sites, zones) = (share("regions"), share("sites"), share("zones"));
    let is_real: Vec<_> = (0..count).map(|at| at * real / count != (at + 1) * real / count).collect();
    let place = |at: usize| {
        // Sites one behind the other; each belongs to one region, each region to its zones.
        let site = at * sites / count;
        let region = site * regions / sites;
        let zone = site * zones / sites;
        let kind = if is_real[at] { "real" } else { "hollow" };
        Place {
            name: format!("{kind}-{at}"),
            region: format!("region-{region}"),
            site: format!("site-{site}"),
            zone: format!("zone-{region}-{zone}"),
        }
    };
    ((0..count).map(place).collect(), is_real)
}
