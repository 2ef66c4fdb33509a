//! Reads the configuration of the decision logic from settings. This module maps the keys and texts of the settings to
//! the types of the decision logic; nothing else does.

use crate::dotted::DottedSettings;
use crate::error::SettingsError;
use rockflow::{
    CacheStatusDetail, Class, DeploymentConfig, Effect, KeyScope, LocationId, SlowStart, WeightMeaning,
};
use std::time::Duration;

const KEY_SCOPES: [(&str, KeyScope); 3] =
    [("all", KeyScope::All), ("zone", KeyScope::Location), ("cell", KeyScope::Cell)];
const WEIGHT_MEANINGS: [(&str, WeightMeaning); 4] = [
    ("nominal", WeightMeaning::LinkCapacity),
    ("rough", WeightMeaning::LinkCapacity),
    ("live", WeightMeaning::Unknown),
    ("silent", WeightMeaning::Unknown),
];
const CACHE_STATUS_DETAILS: [(&str, CacheStatusDetail); 3] = [
    ("all", CacheStatusDetail::All),
    ("hit", CacheStatusDetail::HitsOnly),
    ("silent", CacheStatusDetail::None),
];

/// How a dispatcher obtains the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Discovery {
    /// The discovery service sends it without a request.
    Pushed,
    /// The dispatcher requests it.
    OnRequest,
}

const DISCOVERIES: [(&str, Discovery); 2] =
    [("pushed", Discovery::Pushed), ("on_request", Discovery::OnRequest)];

/// The configuration of the decision logic, and the indexes and counts that are needed to read endpoint lists.
#[derive(Clone, Debug)]
pub struct DeploymentSettings {
    /// The configuration of the decision logic.
    pub deployment: DeploymentConfig,
    /// Index of the kind of host whose role is parent. Negative: there are no parents.
    pub parent_kind: i64,
    /// Index of the kind of host whose role is origin. Negative: there is no origin.
    pub origin_kind: i64,
    /// The number of kinds of hosts.
    pub kind_count: usize,
    /// The number of locations.
    pub location_count: usize,
}

impl DeploymentSettings {
    /// Reads the configuration of the decision logic from settings.
    ///
    /// # Errors
    /// If a required key is missing or does not parse.
    pub fn parse(settings: &DottedSettings) -> Result<Self, SettingsError> {
        let location: usize = settings.parse("az")?;
        let cache_slow_start = parse_cache_slow_start(settings)?;
        let parent_kind = settings.parse("familyInfo.midKind")?;
        let parent_slow_start = if parent_kind < 0 {
            cache_slow_start
        } else {
            parse_parent_slow_start(settings, cache_slow_start.window)?
        };
        let discovery = settings.choice("discovery", &DISCOVERIES)?;
        let has_retry_after = settings.parse("limits.retryAfter")?;
        let deployment = DeploymentConfig {
            location: LocationId(location as u16),
            location_dispatchers: settings.list_item("familyInfo.seatsByZone", location)?,
            dispatcher_count: settings.parse("peersTotal")?,
            dispatcher_index: settings.parse("slotNo")?,
            classes: parse_classes(settings)?,
            weight_meaning: settings.choice("weights", &WEIGHT_MEANINGS)?,
            cache_slow_start,
            parent_slow_start,
            purge_window: settings.duration("familyInfo.purgeDoneUs")?,
            stream_kb_per_s: settings.non_negative("familyInfo.streamKbPerS")?,
            cache_status_detail: settings.choice("familyInfo.noteLevel", &CACHE_STATUS_DETAILS)?,
            coalescing: settings.parse("familyInfo.sharesFills")?,
            direct_source_access: settings.parse("familyInfo.straight")?,
            hedging: settings.parse("limits.secondCopies")?,
            cancellation: settings.parse("limits.cancel")?,
            health_checks: settings.parse("limits.probes")?,
            max_attempts: settings.parse("limits.tryLimit")?,
            max_tracked: settings.parse("limits.mostHeld")?,
            max_retry_after: parse_max_retry_after(settings, has_retry_after)?,
            endpoint_list_max_age: parse_endpoint_list_max_age(settings, discovery)?,
        };
        Ok(DeploymentSettings {
            deployment,
            parent_kind,
            origin_kind: settings.parse("familyInfo.rootKind")?,
            kind_count: settings.list("models")?.len(),
            location_count: settings.list("dcs")?.len(),
        })
    }
}

fn parse_cache_slow_start(settings: &DottedSettings) -> Result<SlowStart, SettingsError> {
    Ok(SlowStart {
        initial_share: settings.non_negative("rules.startCapacity")?,
        ramp: settings.duration("rules.rampTimeUs")?,
        overload_multiple: settings.non_negative("rules.fallMultiple")?,
        window: settings.duration("rules.tipAfterUs")?,
    })
}

fn parse_parent_slow_start(settings: &DottedSettings, window: Duration) -> Result<SlowStart, SettingsError> {
    Ok(SlowStart {
        initial_share: settings.non_negative("familyInfo.upperColdFrom")?,
        ramp: settings.duration("familyInfo.parentColdUs")?,
        overload_multiple: settings.non_negative("familyInfo.parentFallMultiple")?,
        window,
    })
}

fn parse_classes(settings: &DottedSettings) -> Result<Vec<Class>, SettingsError> {
    let count = settings.parse("grades.count")?;
    (0..count).map(|index| parse_class(settings, index)).collect()
}

fn parse_class(settings: &DottedSettings, index: usize) -> Result<Class, SettingsError> {
    let key = |name: &str| format!("grades.{index}.{name}");
    let effect = parse_effect(settings, index)?;
    let stretch_key = key("aimStretch");
    let transfer_stretch =
        if settings.contains(&stretch_key) { settings.non_negative(&stretch_key)? } else { 0.0 };
    Ok(Class {
        effect,
        latency_objective: settings.duration(&key("objectiveUs"))?,
        transfer_stretch,
        deadline: settings.duration(&key("deadlineUs"))?,
        priority_weight: settings.non_negative(&key("importance"))?,
        late_priority_weight: settings.non_negative(&key("lateValue"))?,
        fresh_lifetime: Duration::from_micros(settings.list_item("familyInfo.lifetimeByClassUs", index)?),
        grace: Duration::from_micros(settings.list_item("familyInfo.staleForUs", index)?),
        cacheable: !settings.list_item::<bool>("familyInfo.uncached", index)?,
    })
}

fn parse_effect(settings: &DottedSettings, index: usize) -> Result<Effect, SettingsError> {
    let key = |name: &str| format!("grades.{index}.{name}");
    match settings.text(&key("repeat"))? {
        "idempotent" => Ok(Effect::Idempotent),
        "at_most_once" => Ok(Effect::AtMostOnce),
        "deduplicated" => Ok(Effect::IdempotencyKey {
            scope: settings.choice(&key("group"), &KEY_SCOPES)?,
            deduplication_window: settings.duration(&key("keyTtlUs"))?,
        }),
        _ => Err(SettingsError::malformed(&key("repeat"))),
    }
}

fn parse_max_retry_after(
    settings: &DottedSettings,
    has_retry_after: bool,
) -> Result<Option<Duration>, SettingsError> {
    has_retry_after.then(|| settings.duration("limits.maxRetryAfterUs")).transpose()
}

fn parse_endpoint_list_max_age(
    settings: &DottedSettings,
    discovery: Discovery,
) -> Result<Option<Duration>, SettingsError> {
    match discovery {
        Discovery::OnRequest => Ok(Some(settings.duration("rules.askWithinUs")?)),
        Discovery::Pushed => Ok(None),
    }
}
