use super::{EndpointSettings, EntrySettings, InvalidSetting, SettingsError};

fn args(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_string).collect()
}

const VALID: &str = "--vm e1 --failure-domain a --vm-list 127.0.0.1:1 --log 127.0.0.1:2";

#[test]
fn flags_override_environment_variables_and_those_override_defaults() {
    let env = |name: &str| match name {
        "TREFOIL_SHARDS" => Some("8".to_string()),
        "TREFOIL_APPENDS_PER_S" => Some("100".to_string()),
        _ => None,
    };
    let settings = EntrySettings::read(&args(&format!("{VALID} --shards 4")), env).unwrap();
    assert_eq!((settings.shards, settings.appends_per_s), (4, 100));
    assert_eq!(settings.default_deadline_ms, 120_000);
}

#[test]
fn all_invalid_settings_are_reported_together() {
    let given = args("--vm e1 --vm-list nowhere --log 127.0.0.1:2 --shards 0 --heartbeat-ms soon");
    let Err(SettingsError::Invalid(invalid)) = EntrySettings::read(&given, |_| None) else {
        panic!("expected invalid settings");
    };
    let names: Vec<&str> = invalid.iter().map(|(name, _)| *name).collect();
    assert_eq!(names, ["failure-domain", "vm-list", "heartbeat-ms", "shards"]);
    assert_eq!(invalid[3].1, InvalidSetting::OutOfRange { given: 0, min: 1, max: 4_096 });
}

#[test]
fn an_unknown_flag_is_rejected() {
    let result = EntrySettings::read(&args(&format!("{VALID} --shard 4")), |_| None);
    assert!(matches!(result, Err(SettingsError::CommandLine(_))));
}

#[test]
fn a_word_that_is_not_allowed_is_rejected() {
    let given = "--vm m1 --failure-domain a --vm-list 127.0.0.1:1 --backend 127.0.0.1:2 \
                 --serves small --kind cache";
    let Err(SettingsError::Invalid(invalid)) = EndpointSettings::read(&args(given), |_| None)
    else {
        panic!("expected invalid settings");
    };
    assert_eq!(invalid, [("kind", InvalidSetting::NotOneOf(&["engine", "service"]))]);
}

const OPERATIONS: &str = include_str!("../../docs/OPERATIONS.md");

/// The flags in the operations guide's example of starting a role.
fn example_of(role: &str) -> Vec<String> {
    let start = format!("    trefoilproxyd {role} ");
    let example = OPERATIONS.split(&start).nth(1).unwrap();
    let lines = example.lines().take_while(|line| !line.trim().is_empty());
    lines.flat_map(|line| args(line.trim_end_matches('\\'))).collect()
}

#[test]
fn the_examples_in_the_operations_guide_are_valid() {
    let entry = EntrySettings::read(&example_of("entry"), |_| None).unwrap();
    assert_eq!(entry.process.vm.as_str(), "entry-a");
    let endpoint = EndpointSettings::read(&example_of("endpoint"), |_| None).unwrap();
    assert_eq!(endpoint.serves.as_str(), "small");
    let contract = OPERATIONS.split("    workspace = ").nth(1).unwrap();
    let contract = contract.split("\n\n|").next().unwrap().replace("\n    ", "\n");
    let declaration = crate::contracts::parse_declaration(&format!("workspace = {contract}"));
    assert_eq!(declaration.unwrap().workspace.as_str(), "ice-watch");
}
