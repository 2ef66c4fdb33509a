//! Told settings as facts. A key that is missing or does not parse is named; others are skipped.

use crate::dotted::Pairs;
use rockflow::interface::*;
use std::time::Duration;

/// The facts, and the places in the list of kinds that tell a parent and the origin from a cache.
pub struct Facts {
    pub deployment: Deployment,
    pub parent_kind: i64,
    pub origin_kind: i64,
    pub kinds: usize,
    pub locations: usize,
}

fn product(pairs: &Pairs, place: usize) -> Result<Product, String> {
    let key = |name: &str| format!("grades.{place}.{name}");
    let scopes = [("all", LabelScope::All), ("zone", LabelScope::Location), ("cell", LabelScope::Cell)];
    let effect = match pairs.text(&key("repeat"))? {
        "idempotent" => Effect::Redoable,
        "at_most_once" => Effect::Irreversible,
        "deduplicated" => Effect::Labelled {
            scope: pairs.word(&key("group"), &scopes)?,
            remembered: pairs.span(&key("keyTtlUs"))?,
        },
        _ => return Err(format!("settings: {} does not parse", key("repeat"))),
    };
    Ok(Product {
        effect,
        due: pairs.span(&key("objectiveUs"))?,
        stretch: if pairs.has(&key("aimStretch")) { pairs.ratio(&key("aimStretch"))? } else { 0.0 },
        outer_limit: pairs.span(&key("deadlineUs"))?,
        payoff: pairs.ratio(&key("importance"))?,
        late_payoff: pairs.ratio(&key("lateValue"))?,
        fresh: Duration::from_micros(pairs.item("familyInfo.lifetimeByClassUs", place)?),
        grace: Duration::from_micros(pairs.item("familyInfo.staleForUs", place)?),
        cacheable: !pairs.item::<bool>("familyInfo.uncached", place)?,
    })
}

pub fn parse(pairs: &Pairs) -> Result<Facts, String> {
    let location: usize = pairs.parsed("az")?;
    let cold_cache = ColdStart {
        share: pairs.ratio("rules.startCapacity")?,
        ramp: pairs.span("rules.rampTimeUs")?,
        multiple: pairs.ratio("rules.fallMultiple")?,
        span: pairs.span("rules.tipAfterUs")?,
    };
    let parent_kind = pairs.parsed("familyInfo.midKind")?;
    let cold_parent = if parent_kind < 0 {
        cold_cache
    } else {
        ColdStart {
            share: pairs.ratio("familyInfo.upperColdFrom")?,
            ramp: pairs.span("familyInfo.parentColdUs")?,
            multiple: pairs.ratio("familyInfo.parentFallMultiple")?,
            span: cold_cache.span,
        }
    };
    let asked = pairs.word("discovery", &[("pushed", false), ("on_request", true)])?;
    let advice = pairs.parsed::<bool>("limits.retryAfter")?;
    let weights = [
        ("nominal", Weights::Link),
        ("rough", Weights::Link),
        ("live", Weights::Unknown),
        ("silent", Weights::Unknown),
    ];
    let deployment = Deployment {
        location: LocationId(location as u16),
        seats: pairs.item("familyInfo.seatsByZone", location)?,
        dispatchers: pairs.parsed("peersTotal")?,
        number: pairs.parsed("slotNo")?,
        products: (0..pairs.parsed("grades.count")?)
            .map(|place| product(pairs, place))
            .collect::<Result<_, _>>()?,
        weights: pairs.word("weights", &weights)?,
        cold_cache,
        cold_parent,
        purge_done: pairs.span("familyInfo.purgeDoneUs")?,
        stream_kb_per_s: pairs.ratio("familyInfo.streamKbPerS")?,
        notes: pairs.word(
            "familyInfo.noteLevel",
            &[("all", Notes::All), ("hit", Notes::HitsOnly), ("silent", Notes::None)],
        )?,
        joins: pairs.parsed("familyInfo.sharesFills")?,
        direct: pairs.parsed("familyInfo.straight")?,
        second_copies: pairs.parsed("limits.secondCopies")?,
        cancel: pairs.parsed("limits.cancel")?,
        probes: pairs.parsed("limits.probes")?,
        leg_limit: pairs.parsed("limits.tryLimit")?,
        most_held: pairs.parsed("limits.mostHeld")?,
        longest_pause: if advice { Some(pairs.span("limits.maxRetryAfterUs")?) } else { None },
        ask_within: if asked { Some(pairs.span("rules.askWithinUs")?) } else { None },
    };
    Ok(Facts {
        deployment,
        parent_kind,
        origin_kind: pairs.parsed("familyInfo.rootKind")?,
        kinds: pairs.list("models")?.len(),
        locations: pairs.list("dcs")?.len(),
    })
}
