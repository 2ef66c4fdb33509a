//! Told settings as facts. A key that is missing or does not parse is named; others are skipped.

use crate::dotted::Pairs;
use rockflow::{
    CacheStatusDetail, Class, DeploymentConfig, Effect, KeyScope, LocationId, SlowStart, WeightMeaning,
};
use std::time::Duration;

/// The facts, and the places in the list of kinds that tell a parent and the origin from a cache.
pub struct Facts {
    pub deployment: DeploymentConfig,
    pub parent_kind: i64,
    pub origin_kind: i64,
    pub kinds: usize,
    pub locations: usize,
}

fn class(pairs: &Pairs, place: usize) -> Result<Class, String> {
    let key = |name: &str| format!("grades.{place}.{name}");
    let scopes = [("all", KeyScope::All), ("zone", KeyScope::Location), ("cell", KeyScope::Cell)];
    let effect = match pairs.text(&key("repeat"))? {
        "idempotent" => Effect::Idempotent,
        "at_most_once" => Effect::AtMostOnce,
        "deduplicated" => Effect::IdempotencyKey {
            scope: pairs.word(&key("group"), &scopes)?,
            deduplication_window: pairs.span(&key("keyTtlUs"))?,
        },
        _ => return Err(format!("settings: {} does not parse", key("repeat"))),
    };
    Ok(Class {
        effect,
        latency_objective: pairs.span(&key("objectiveUs"))?,
        transfer_stretch: if pairs.has(&key("aimStretch")) { pairs.ratio(&key("aimStretch"))? } else { 0.0 },
        deadline: pairs.span(&key("deadlineUs"))?,
        priority_weight: pairs.ratio(&key("importance"))?,
        late_priority_weight: pairs.ratio(&key("lateValue"))?,
        fresh_lifetime: Duration::from_micros(pairs.item("familyInfo.lifetimeByClassUs", place)?),
        grace: Duration::from_micros(pairs.item("familyInfo.staleForUs", place)?),
        cacheable: !pairs.item::<bool>("familyInfo.uncached", place)?,
    })
}

pub fn parse(pairs: &Pairs) -> Result<Facts, String> {
    let location: usize = pairs.parsed("az")?;
    let cache_slow_start = SlowStart {
        initial_share: pairs.ratio("rules.startCapacity")?,
        ramp: pairs.span("rules.rampTimeUs")?,
        overload_multiple: pairs.ratio("rules.fallMultiple")?,
        window: pairs.span("rules.tipAfterUs")?,
    };
    let parent_kind = pairs.parsed("familyInfo.midKind")?;
    let parent_slow_start = if parent_kind < 0 {
        cache_slow_start
    } else {
        SlowStart {
            initial_share: pairs.ratio("familyInfo.upperColdFrom")?,
            ramp: pairs.span("familyInfo.parentColdUs")?,
            overload_multiple: pairs.ratio("familyInfo.parentFallMultiple")?,
            window: cache_slow_start.window,
        }
    };
    let asked = pairs.word("discovery", &[("pushed", false), ("on_request", true)])?;
    let advice = pairs.parsed::<bool>("limits.retryAfter")?;
    let weights = [
        ("nominal", WeightMeaning::LinkCapacity),
        ("rough", WeightMeaning::LinkCapacity),
        ("live", WeightMeaning::Unknown),
        ("silent", WeightMeaning::Unknown),
    ];
    let deployment = DeploymentConfig {
        location: LocationId(location as u16),
        location_dispatchers: pairs.item("familyInfo.seatsByZone", location)?,
        dispatcher_count: pairs.parsed("peersTotal")?,
        dispatcher_index: pairs.parsed("slotNo")?,
        classes: (0..pairs.parsed("grades.count")?)
            .map(|place| class(pairs, place))
            .collect::<Result<_, _>>()?,
        weight_meaning: pairs.word("weights", &weights)?,
        cache_slow_start,
        parent_slow_start,
        purge_window: pairs.span("familyInfo.purgeDoneUs")?,
        stream_kb_per_s: pairs.ratio("familyInfo.streamKbPerS")?,
        cache_status_detail: pairs.word(
            "familyInfo.noteLevel",
            &[
                ("all", CacheStatusDetail::All),
                ("hit", CacheStatusDetail::HitsOnly),
                ("silent", CacheStatusDetail::None),
            ],
        )?,
        coalescing: pairs.parsed("familyInfo.sharesFills")?,
        direct_source_access: pairs.parsed("familyInfo.straight")?,
        hedging: pairs.parsed("limits.secondCopies")?,
        cancellation: pairs.parsed("limits.cancel")?,
        health_checks: pairs.parsed("limits.probes")?,
        max_attempts: pairs.parsed("limits.tryLimit")?,
        max_tracked: pairs.parsed("limits.mostHeld")?,
        max_retry_after: if advice { Some(pairs.span("limits.maxRetryAfterUs")?) } else { None },
        endpoint_list_max_age: if asked { Some(pairs.span("rules.askWithinUs")?) } else { None },
    };
    Ok(Facts {
        deployment,
        parent_kind,
        origin_kind: pairs.parsed("familyInfo.rootKind")?,
        kinds: pairs.list("models")?.len(),
        locations: pairs.list("dcs")?.len(),
    })
}
