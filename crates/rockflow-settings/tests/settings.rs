//! Literal settings, and every field that is read from them.

use rockflow::{CacheStatusDetail, Class, Effect, KeyScope, LocationId, SlowStart, WeightMeaning};
use rockflow_settings::{DeploymentSettings, DottedSettings, NetworkSettings, SettingsError};
use std::time::Duration;
use test_case::test_case;

/// Every key that is read, in the format of the simulator.
const LINES: &str = "az=1
dcs=hub,shop,edge
discovery=on_request
models=box,parent,origin,spare
peersTotal=7
slotNo=3
weights=nominal
familyInfo.midKind=1
familyInfo.rootKind=2
familyInfo.seatsByZone=0,4,3
familyInfo.lifetimeByClassUs=0,12000000,7000000
familyInfo.staleForUs=0,20000000,8000000
familyInfo.uncached=false,false,true
familyInfo.noteLevel=hit
familyInfo.sharesFills=true
familyInfo.straight=false
familyInfo.streamKbPerS=9700.5
familyInfo.purgeDoneUs=6000001
familyInfo.upperColdFrom=0.063
familyInfo.parentColdUs=22000000
familyInfo.parentFallMultiple=2.25
grades.count=3
grades.0.name=pages
grades.0.repeat=idempotent
grades.0.objectiveUs=500000
grades.0.aimStretch=1.6
grades.0.deadlineUs=5000000
grades.0.importance=2.0
grades.0.lateValue=0.15
grades.1.name=orders
grades.1.repeat=deduplicated
grades.1.group=cell
grades.1.keyTtlUs=2500000
grades.1.objectiveUs=300000
grades.1.deadlineUs=3000000
grades.1.importance=1.0
grades.1.lateValue=0.2
grades.2.name=payments
grades.2.repeat=at_most_once
grades.2.objectiveUs=400000
grades.2.aimStretch=2
grades.2.deadlineUs=4000000
grades.2.importance=3.5
grades.2.lateValue=0
limits.cancel=true
limits.connIdleUs=30000000
limits.dialTimeoutUs=400000
limits.maxRetryAfterUs=1000000
limits.maxStreams=100
limits.mostHeld=20000
limits.probes=true
limits.retryAfter=true
limits.secondCopies=false
limits.tryLimit=6
rules.answerSlackUs=8000
rules.askWithinUs=9000000
rules.fallMultiple=2.5
rules.rampTimeUs=15000000
rules.startCapacity=0.16
rules.stopSendingWithinUs=2000000
rules.tipAfterUs=1500000
telemetry.how=pull
telemetry.fields=utilization,outstanding,x1
";

/// The same settings in the JSON format of the platform.
const JSON: &str = r#"{
    "az": 1,
    "dcs": ["hub", "shop", "edge"],
    "discovery": "on_request",
    "models": ["box", "parent", "origin", "spare"],
    "peersTotal": 7,
    "slotNo": 3,
    "weights": "nominal",
    "familyInfo": {
      "midKind": 1, "rootKind": 2, "seatsByZone": [0, 4, 3], "lifetimeByClassUs": [0, 12000000, 7000000],
      "staleForUs": [0, 20000000, 8000000], "uncached": [false, false, true], "noteLevel": "hit",
      "sharesFills": true, "straight": false, "streamKbPerS": 9700.5, "purgeDoneUs": 6000001,
      "upperColdFrom": 0.063, "parentColdUs": 22000000, "parentFallMultiple": 2.25
    },
    "grades": [
      {"name": "pages", "repeat": "idempotent", "objectiveUs": 500000, "aimStretch": 1.6, "deadlineUs": 5000000,
       "importance": 2.0, "lateValue": 0.15},
      {"name": "orders", "repeat": "deduplicated", "group": "cell", "keyTtlUs": 2500000, "objectiveUs": 300000,
       "deadlineUs": 3000000, "importance": 1.0, "lateValue": 0.2},
      {"name": "payments", "repeat": "at_most_once", "objectiveUs": 400000, "aimStretch": 2,
       "deadlineUs": 4000000, "importance": 3.5, "lateValue": 0}
    ],
    "limits": {
      "cancel": true, "connIdleUs": 30000000, "dialTimeoutUs": 400000, "maxRetryAfterUs": 1000000,
      "maxStreams": 100, "mostHeld": 20000, "probes": true, "retryAfter": true, "secondCopies": false,
      "tryLimit": 6
    },
    "rules": {
      "answerSlackUs": 8000, "askWithinUs": 9000000, "fallMultiple": 2.5, "rampTimeUs": 15000000,
      "startCapacity": 0.16, "stopSendingWithinUs": 2000000, "tipAfterUs": 1500000
    },
    "telemetry": {"how": "pull", "fields": ["utilization", "outstanding", "x1"]}
}"#;

/// Keys of the settings above that may be missing, and one that is never read.
const OPTIONAL: [&str; 3] = ["grades.0.aimStretch", "grades.2.aimStretch", "unknown.key"];

type Parsed = (DeploymentSettings, NetworkSettings);

fn parse_lines(lines: &str) -> Result<Parsed, String> {
    parse(&DottedSettings::from_lines(lines))
}

fn parse_json(json: &str) -> Result<Parsed, String> {
    parse(&DottedSettings::from_json(&serde_json::from_str(json).expect("valid JSON")))
}

fn parse(settings: &DottedSettings) -> Result<Parsed, String> {
    let parse_both = || Ok((DeploymentSettings::parse(settings)?, NetworkSettings::parse(settings)?));
    parse_both().map_err(|error: SettingsError| error.to_string())
}

/// The settings with another value for one key.
fn lines_with(key: &str, value: &str) -> String {
    let line =
        LINES.lines().find(|line| line.starts_with(&format!("{key}="))).expect("a key of the settings");
    LINES.replace(&format!("{line}\n"), &format!("{key}={value}\n"))
}

/// The settings without one key.
fn lines_without(key: &str) -> String {
    LINES
        .lines()
        .filter(|line| !line.starts_with(&format!("{key}=")))
        .map(|line| format!("{line}\n"))
        .collect()
}

fn assert_slow_start(slow_start: SlowStart, initial_share: f64, ramp_us: u64, overload_multiple: f64) {
    assert_eq!(slow_start.initial_share, initial_share);
    assert_eq!(slow_start.ramp, Duration::from_micros(ramp_us));
    assert_eq!(slow_start.overload_multiple, overload_multiple);
    assert_eq!(slow_start.window, Duration::from_micros(1_500_000));
}

/// `times_us` are the latency objective, deadline, freshness lifetime and grace, in microseconds. `weights` are the
/// priority weights of a response in time and of a late one.
fn assert_class(
    class: &Class,
    effect: Effect,
    stretch: f64,
    times_us: [u64; 4],
    weights: [f64; 2],
    cacheable: bool,
) {
    assert_eq!(class.effect, effect);
    assert_eq!(class.transfer_stretch, stretch);
    let times = [class.latency_objective, class.deadline, class.fresh_lifetime, class.grace];
    assert_eq!(times, times_us.map(Duration::from_micros));
    assert_eq!([class.priority_weight, class.late_priority_weight], weights);
    assert_eq!(class.cacheable, cacheable);
}

#[test_case(parse_lines(LINES); "dotted lines")]
#[test_case(parse_json(JSON); "nested JSON")]
fn reads_every_deployment_setting(parsed: Result<Parsed, String>) {
    let (settings, _) = parsed.expect("valid settings");
    assert_eq!(
        (settings.parent_kind, settings.origin_kind, settings.kind_count, settings.location_count),
        (1, 2, 4, 3)
    );
    let deployment = settings.deployment;
    assert_eq!(deployment.location, LocationId(1));
    assert_eq!(deployment.location_dispatchers, 4);
    assert_eq!(deployment.dispatcher_count, 7);
    assert_eq!(deployment.dispatcher_index, 3);
    assert_eq!(deployment.weight_meaning, WeightMeaning::LinkCapacity);
    assert_slow_start(deployment.cache_slow_start, 0.16, 15_000_000, 2.5);
    assert_slow_start(deployment.parent_slow_start, 0.063, 22_000_000, 2.25);
    assert_eq!(deployment.purge_window, Duration::from_micros(6_000_001));
    assert_eq!(deployment.stream_kb_per_s, 9700.5);
    assert_eq!(deployment.cache_status_detail, CacheStatusDetail::HitsOnly);
    assert!(deployment.coalescing);
    assert!(!deployment.direct_source_access);
    assert!(!deployment.hedging);
    assert!(deployment.cancellation);
    assert!(deployment.health_checks);
    assert_eq!(deployment.max_attempts, 6);
    assert_eq!(deployment.max_tracked, 20_000);
    assert_eq!(deployment.max_retry_after, Some(Duration::from_secs(1)));
    assert_eq!(deployment.endpoint_list_max_age, Some(Duration::from_secs(9)));

    let [pages, orders, payments] = &deployment.classes[..] else { panic!("{:?}", deployment.classes) };
    assert_class(pages, Effect::Idempotent, 1.6, [500_000, 5_000_000, 0, 0], [2.0, 0.15], true);
    let keyed = Effect::IdempotencyKey {
        scope: KeyScope::Cell,
        deduplication_window: Duration::from_micros(2_500_000),
    };
    assert_class(orders, keyed, 0.0, [300_000, 3_000_000, 12_000_000, 20_000_000], [1.0, 0.2], true);
    let times_us = [400_000, 4_000_000, 7_000_000, 8_000_000];
    assert_class(payments, Effect::AtMostOnce, 2.0, times_us, [3.5, 0.0], false);
}

#[test_case(parse_lines(LINES); "dotted lines")]
#[test_case(parse_json(JSON); "nested JSON")]
fn reads_every_network_setting(parsed: Result<Parsed, String>) {
    let (_, network) = parsed.expect("valid settings");
    assert_eq!(network.class_names, ["pages", "orders", "payments"]);
    assert_eq!(network.location_names, ["hub", "shop", "edge"]);
    assert_eq!(network.kind_names, ["box", "parent", "origin", "spare"]);
    assert_eq!(network.connect_timeout, Duration::from_millis(400));
    assert_eq!(network.idle_timeout, Duration::from_secs(30));
    assert_eq!(network.drain_timeout, Duration::from_secs(2));
    assert_eq!(network.answer_slack, Duration::from_millis(8));
    assert_eq!(network.max_streams, 100);
    assert_eq!(network.load_report_fields, ["utilization", "outstanding", "x1"]);
}

#[test_case("weights", "nominal", WeightMeaning::LinkCapacity)]
#[test_case("weights", "rough", WeightMeaning::LinkCapacity)]
#[test_case("weights", "live", WeightMeaning::Unknown)]
#[test_case("weights", "silent", WeightMeaning::Unknown)]
fn reads_weight_meaning(key: &str, value: &str, meaning: WeightMeaning) {
    let (settings, _) = parse_lines(&lines_with(key, value)).expect("valid settings");
    assert_eq!(settings.deployment.weight_meaning, meaning);
}

#[test_case("all", CacheStatusDetail::All)]
#[test_case("hit", CacheStatusDetail::HitsOnly)]
#[test_case("silent", CacheStatusDetail::None)]
fn reads_cache_status_detail(value: &str, detail: CacheStatusDetail) {
    let (settings, _) = parse_lines(&lines_with("familyInfo.noteLevel", value)).expect("valid settings");
    assert_eq!(settings.deployment.cache_status_detail, detail);
}

#[test_case("all", KeyScope::All)]
#[test_case("zone", KeyScope::Location)]
#[test_case("cell", KeyScope::Cell)]
fn reads_scope_of_idempotency_keys(value: &str, expected: KeyScope) {
    let (settings, _) = parse_lines(&lines_with("grades.1.group", value)).expect("valid settings");
    let Effect::IdempotencyKey { scope, .. } = settings.deployment.classes[1].effect else { panic!() };
    assert_eq!(scope, expected);
}

#[test]
fn parent_slow_start_defaults_to_cache_slow_start_without_parents() {
    let (settings, _) = parse_lines(&lines_with("familyInfo.midKind", "-1")).expect("valid settings");
    assert_eq!(settings.parent_kind, -1);
    assert_slow_start(settings.deployment.parent_slow_start, 0.16, 15_000_000, 2.5);
}

#[test]
fn optional_durations_are_needed_only_with_their_features() {
    let lines =
        lines_with("discovery", "pushed").replace("limits.retryAfter=true", "limits.retryAfter=false");
    let lines =
        lines.replace("rules.askWithinUs=9000000\n", "").replace("limits.maxRetryAfterUs=1000000\n", "");
    let (settings, _) = parse_lines(&lines).expect("valid settings");
    assert_eq!(settings.deployment.endpoint_list_max_age, None);
    assert_eq!(settings.deployment.max_retry_after, None);
}

#[test]
fn load_report_fields_are_not_needed_without_load_reports() {
    let lines =
        lines_with("telemetry.how", "silent").replace("telemetry.fields=utilization,outstanding,x1\n", "");
    let (_, network) = parse_lines(&lines).expect("valid settings");
    assert!(network.load_report_fields.is_empty());
}

#[test]
fn max_streams_is_at_least_one() {
    let (_, network) = parse_lines(&lines_with("limits.maxStreams", "0")).expect("valid settings");
    assert_eq!(network.max_streams, 1);
}

#[test]
fn error_names_missing_key() {
    for line in LINES.lines() {
        let (key, _) = line.split_once('=').expect("a key and a value");
        let error = parse_lines(&lines_without(key)).err();
        let expected = (!OPTIONAL.contains(&key)).then(|| format!("settings: {key} is missing"));
        assert_eq!(error, expected, "{key}");
    }
}

#[test]
fn error_names_key_of_invalid_value() {
    let text_keys = ["dcs", "models", "grades.0.name", "grades.1.name", "grades.2.name", "telemetry.how"];
    for line in LINES.lines() {
        let (key, _) = line.split_once('=').expect("a key and a value");
        if text_keys.contains(&key) || key == "telemetry.fields" {
            continue;
        }
        let error = parse_lines(&lines_with(key, "?")).err();
        assert_eq!(error, Some(format!("settings: {key} does not parse")), "{key}");
    }
}

#[test_case("-1"; "negative")]
#[test_case("inf"; "infinite")]
#[test_case("NaN"; "not a number")]
fn rejects_ratios_that_are_negative_or_not_finite(value: &str) {
    let error = parse_lines(&lines_with("rules.startCapacity", value)).err();
    assert_eq!(error.as_deref(), Some("settings: rules.startCapacity does not parse"));
}

#[test]
fn ignores_unknown_keys_and_lines_without_a_key() {
    assert!(parse_lines(&format!("# a comment\n{LINES}\nunknown.key=1\n")).is_ok());
}

#[test]
fn spaces_and_commas_in_json_text_become_underscores() {
    let (_, network) = parse_json(&JSON.replace("\"pages\"", "\"pages, all\"")).expect("valid settings");
    assert_eq!(network.class_names[0], "pages__all");
}
