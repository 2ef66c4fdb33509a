//! Parsing of the sections for management: accepted input, and the location that each error names.

use rockflow_operator_config::{parse, ConfigError, Layer, OperatorConfig, RestartFrom};
use test_case::test_case;

fn layer(file: &str, text: &str) -> Layer {
    Layer { file: file.to_string(), text: text.to_string() }
}

fn parse_one_layer(text: &str) -> Result<OperatorConfig, Vec<ConfigError>> {
    parse(&[layer("a.ini", text)])
}

const VALID: &str = "[management]
owner = ana
store = /var/lib/rockflow

[netconf]
ssh = 127.0.0.1:1830
host-key = /etc/rockflow/host
authorized-keys = /etc/rockflow/keys
message-kb = 64
";

#[test]
fn absent_file_or_section_configures_nothing() {
    assert_eq!(parse(&[]).unwrap(), OperatorConfig::default());
    let file = parse_one_layer(VALID).unwrap();
    assert!(file.gnmi.is_none());
    let netconf = file.netconf.unwrap();
    assert_eq!((netconf.message_kb, netconf.handshakes), (64, 32));
    assert!(netconf.tls.is_none());
}

#[test]
fn example_with_all_settings_commented_out_configures_nothing() {
    let file = parse_one_layer(include_str!("../../../deploy/rockflow.ini"));
    assert_eq!(file.unwrap(), OperatorConfig::default());
}

#[test]
fn later_layer_overrides_key_by_key() {
    let over = "[netconf]\nmessage-kb = 128\n[management]\nrestart = startup\n";
    let layers = [("a.ini", VALID), ("b.ini", over)].map(|(name, text)| layer(name, text));
    let file = parse(&layers).unwrap();
    assert_eq!(file.netconf.unwrap().message_kb, 128);
    let management = file.management.unwrap();
    assert!(management.restart_from == RestartFrom::Startup && management.owner == "ana");
    // The error is reported at its line in the layer that has it.
    let layers = [("a.ini", VALID), ("b.ini", "[netconf]\n\nmessage-kb = 3\n")];
    let errors = parse(&layers.map(|(name, text)| layer(name, text))).unwrap_err();
    assert!(errors[0].to_string().starts_with("b.ini:3: [netconf] message-kb: \"3\":"), "{}", errors[0]);
}

#[test_case("[management]\nowner = ana\n[nowhere]\na = 1\n", "a.ini:3: [nowhere] no such section"; "section")]
#[test_case("[management]\nowner = ana\nsecret = 1\n", "a.ini:3: [management] secret: no such key"; "key")]
#[test_case("[management]\nowner = ana\n# x\nowner = ben\n", "a.ini:4: [management] owner: is set twice"; "twice")]
#[test_case("[management]\nstore = /x\n", "a.ini:2: [management] owner: is missing"; "no owner")]
#[test_case("[management]\nowner = ana\nrestart = never\n", "a.ini:3: [management] restart: \"never\" is neither"; "odd word")]
#[test_case("[netconf]\nssh = 127.0.0.1:1\nhost-key = k\nauthorized-keys = f\n", "[netconf] needs a section [management]"; "no management")]
#[test_case("[management]\nowner = ana\n[netconf]\nssh = here\nhost-key = k\nauthorized-keys = f\n", "a.ini:4: [netconf] ssh: \"here\" is no address"; "no address")]
#[test_case("[management]\nowner = ana\n[netconf]\nssh = 127.0.0.1:1\n", "[netconf] host-key: is missing; SSH needs it"; "no key for SSH")]
#[test_case("[management]\nowner = ana\n[netconf]\nhandshakes = 4\n", "neither ssh nor tls"; "nothing listens")]
#[test_case("[management]\nowner = ana\n[gnmi]\nlisten = 127.0.0.1:1\nkey = k\ncertificate = c\n", "[gnmi] client-ca: is missing"; "no authority")]
#[test_case("[management]\nowner = ana\n[gnmi]\nlisten = 127.0.0.1:1\nkey = k\ncertificate = c\nclient-ca = a\nsubscribers = 0\n", "a.ini:8: [gnmi] subscribers: \"0\":"; "out of range")]
#[test_case("[management]\nowner = ana\n[gnmi]\nlisten = 127.0.0.1:1\nkey = k\ncertificate = c\nclient-ca = a\nsubscribers = many\n", "a.ini:8: [gnmi] subscribers: \"many\" is no whole number"; "no number")]
#[test_case("[management\nowner = ana\n", "a.ini:"; "no INI")]
#[test_case("stray = 1\n", "no such section"; "ahead of any section")]
fn error_names_its_line_section_and_key(text: &str, expected: &str) {
    let errors = parse_one_layer(text).unwrap_err();
    let texts: Vec<_> = errors.iter().map(ToString::to_string).collect();
    assert!(texts.iter().any(|text| text.contains(expected)), "{texts:?}");
}

#[test]
fn reports_all_errors_at_once() {
    let text = "[management]\nrestart = never\n[netconf]\nssh = x\nmessage-kb = y\n";
    assert!(parse_one_layer(text).unwrap_err().len() >= 4);
}
