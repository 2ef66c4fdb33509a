//! Parsing of `[dissemination]`, `[control]` and the file of administrative overrides: accepted input, and the
//! location that each error names.

use rockflow_operator_config::{
    parse, parse_overrides, AdministrativeState, ConfigError, Layer, OperatorConfig,
};
use std::time::Duration;
use test_case::test_case;

const VALID: &str = "[dissemination]
fleet = shops
listen = 127.0.0.1:7510
control = c0@127.0.0.1:7500, c1@[::1]:7500
purge-seconds = 8.7
";

fn layer(file: &str, text: &str) -> Layer {
    Layer { file: file.to_string(), text: text.to_string() }
}

fn parse_one_layer(text: &str) -> Result<OperatorConfig, Vec<ConfigError>> {
    parse(&[layer("a.ini", text)])
}

#[test]
fn absent_keys_have_their_defaults() {
    let dissemination = parse_one_layer(VALID).unwrap().dissemination.unwrap();
    assert_eq!(
        (dissemination.fleet.as_str(), dissemination.listen),
        ("shops", "127.0.0.1:7510".parse().unwrap())
    );
    let control: Vec<_> =
        dissemination.control.iter().map(|node| (node.name.as_str(), node.address.to_string())).collect();
    assert_eq!(control, [("c0", "127.0.0.1:7500".to_string()), ("c1", "[::1]:7500".to_string())]);
    assert_eq!(
        (dissemination.bytes_per_second, dissemination.heartbeat_interval),
        (6144, Duration::from_millis(500))
    );
    assert_eq!((dissemination.purge_window, dissemination.seeds.len()), (Duration::from_millis(8700), 0));
    assert!(!dissemination.trusted_network);
}

#[test]
fn reads_all_keys() {
    let other_keys = "seeds = 127.0.0.1:7511,127.0.0.1:7512\nbytes-per-second = 1024\npulse-ms = 50\n\
                [control]\ndirectory = members.csv\nmarks = marks\n";
    let config = parse_one_layer(&format!("{VALID}{other_keys}")).unwrap();
    let (dissemination, control) = (config.dissemination.unwrap(), config.control.unwrap());
    assert_eq!((dissemination.seeds.len(), dissemination.bytes_per_second), (2, 1024));
    assert_eq!(dissemination.heartbeat_interval, Duration::from_millis(50));
    assert_eq!(control.directory.to_str(), Some("members.csv"));
    assert_eq!(control.overrides.unwrap().to_str(), Some("marks"));
}

#[test]
fn trusted_network_allows_any_address() {
    let text = VALID.replace("127.0.0.1", "192.0.2.7");
    let errors = parse_one_layer(&text).unwrap_err();
    let texts: Vec<_> = errors.iter().map(ToString::to_string).collect();
    assert!(texts[0].starts_with("a.ini:3: [dissemination] listen: 192.0.2.7:7510 is no"), "{texts:?}");
    assert!(texts[0].contains("frames carry no sign-in"), "{texts:?}");
    assert!(texts[1].starts_with("a.ini:4: [dissemination] control: 192.0.2.7:7500"), "{texts:?}");
    assert!(parse_one_layer(&format!("{text}trusted-network = yes\n")).is_ok());
}

fn valid_except(key: &str, value: &str) -> String {
    let lines = VALID.lines().filter(|line| !line.starts_with(&format!("{key} =")));
    lines.map(|line| format!("{line}\n")).collect::<String>() + &format!("{key} = {value}\n")
}

#[test_case("fleet", "", "a.ini:5: [dissemination] fleet: is missing; a name that is the same everywhere"; "no fleet")]
#[test_case("fleet", "two words", "a.ini:5: [dissemination] fleet: \"two words\" is no name"; "no name")]
#[test_case("listen", "", "a.ini:5: [dissemination] listen: is missing; an address with a port"; "no listen")]
#[test_case("listen", "here", "a.ini:5: [dissemination] listen: \"here\" is no address with a port"; "no address")]
#[test_case("listen", "127.0.0.1:0", "[dissemination] listen: \"127.0.0.1:0\" is no address with a port"; "no port")]
#[test_case("control", "", "a.ini:5: [dissemination] control: is missing; name@address, comma-separated"; "no control")]
#[test_case("control", "127.0.0.1:7500", "[dissemination] control: \"127.0.0.1:7500\" is no name@address"; "control without a name")]
#[test_case("control", "c0@there", "[dissemination] control: \"there\" is no address with a port"; "control without an address")]
#[test_case("control", "c0@127.0.0.1:1, c0@127.0.0.1:2", "[dissemination] control: a name or an address is listed twice"; "a name twice")]
#[test_case("control", "c0@127.0.0.1:1, c1@127.0.0.1:1", "[dissemination] control: a name or an address is listed twice"; "an address twice")]
#[test_case("seeds", "127.0.0.1:1, x", "[dissemination] seeds: \"x\" is no address with a port"; "no seed")]
#[test_case("seeds", "192.0.2.1:1", "[dissemination] seeds: 192.0.2.1:1 is no address of the loopback"; "a seed outside")]
#[test_case("purge-seconds", "", "a.ini:5: [dissemination] purge-seconds: is missing; 0.5 to 600"; "no window")]
#[test_case("purge-seconds", "0.4", "[dissemination] purge-seconds: \"0.4\": a number from 0.5 to 600 is allowed"; "a short window")]
#[test_case("purge-seconds", "601", "[dissemination] purge-seconds: \"601\": a number from 0.5 to 600 is allowed"; "a long window")]
#[test_case("purge-seconds", "NaN", "[dissemination] purge-seconds: \"NaN\": a number from"; "a window that is no number")]
#[test_case("bytes-per-second", "1023", "[dissemination] bytes-per-second: \"1023\": a number from 1024 to 1048576 is allowed"; "few bytes")]
#[test_case("bytes-per-second", "1048577", "a number from 1024 to 1048576 is allowed"; "many bytes")]
#[test_case("pulse-ms", "49", "[dissemination] pulse-ms: \"49\": a number from 50 to 5000 is allowed"; "a short pulse")]
#[test_case("pulse-ms", "5001", "a number from 50 to 5000 is allowed"; "a long pulse")]
#[test_case("pulse-ms", "1.5", "a number from 50 to 5000 is allowed"; "half a millisecond")]
#[test_case("trusted-network", "maybe", "[dissemination] trusted-network: \"maybe\" is neither yes nor no"; "no yes or no")]
#[test_case("size", "1", "a.ini:6: [dissemination] size: no such key"; "no such key")]
fn error_names_its_line_key_and_what_is_allowed(key: &str, value: &str, expected: &str) {
    let errors = parse_one_layer(&valid_except(key, value)).unwrap_err();
    let texts: Vec<_> = errors.iter().map(ToString::to_string).collect();
    assert!(texts.iter().any(|text| text.contains(expected)), "{texts:?}");
}

#[test]
fn rejects_more_control_nodes_than_allowed() {
    let nodes: Vec<_> = (1..=17).map(|n| format!("c{n}@127.0.0.1:{n}")).collect();
    assert!(parse_one_layer(&valid_except("control", &nodes[..16].join(","))).is_ok());
    let errors = parse_one_layer(&valid_except("control", &nodes.join(","))).unwrap_err();
    assert!(errors[0].to_string().ends_with("17 are listed; 1 to 16 are allowed"), "{}", errors[0]);
}

#[test]
fn rejects_control_without_dissemination() {
    let errors = parse_one_layer("[control]\ndirectory = x\n").unwrap_err();
    assert!(errors[0].to_string().starts_with("a.ini:2: [control] needs a section"), "{}", errors[0]);
    let errors = parse_one_layer(&format!("{VALID}[control]\nmarks = x\n")).unwrap_err();
    assert!(errors[0].to_string().starts_with("a.ini:7: [control] directory: is missing"), "{}", errors[0]);
}

#[test]
fn reports_empty_section_at_its_line() {
    let errors = parse_one_layer("\n[dissemination]\n").unwrap_err();
    assert!(errors[0].to_string().starts_with("a.ini:2: [dissemination] "), "{}", errors[0]);
}

#[test]
fn reports_all_errors_of_a_section_at_once() {
    let errors = parse_one_layer("[dissemination]\nlisten = x\ncontrol = y\npulse-ms = z\n").unwrap_err();
    let keys: Vec<_> = errors.iter().map(|error| error.key.as_str()).collect();
    let expected = ["fleet", "purge-seconds", "listen", "control", "pulse-ms"];
    assert!(expected.iter().all(|key| keys.contains(key)), "{keys:?}");
}

#[test]
fn parses_overrides_line_by_line() {
    let overrides = parse_overrides("marks", "# none\n\nc1 = draining # for now\n c2=gone\n").unwrap();
    let overrides: Vec<_> = overrides.iter().map(|(name, state)| (name.as_str(), *state)).collect();
    assert_eq!(overrides, [("c1", AdministrativeState::Draining), ("c2", AdministrativeState::Gone)]);
}

#[test_case("c1\n", "marks:1: no line of the form HOST = draining|gone"; "no state")]
#[test_case("\nc1 = ready\n", "marks:2: \"ready\" is neither draining nor gone"; "odd state")]
#[test_case(" = gone\n", "marks:1: \"\" is no host's name"; "no name")]
#[test_case("c1 = gone\nc1 = draining\n", "marks:2: \"c1\" is listed twice"; "twice")]
fn error_in_an_override_names_its_line(text: &str, expected: &str) {
    let errors = parse_overrides("marks", text).unwrap_err();
    assert!(errors[0].to_string().starts_with(expected), "{}", errors[0]);
}
