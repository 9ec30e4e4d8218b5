//! Settings: each bad file is answered by a clear error of the real binary.

use std::io::Write;
use std::process::{Command, Output};

use bankcoved::base::config::Config;
use yare::parameterized;

fn bankcoved(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bankcoved")).args(args).output().expect("it can be started")
}

fn check(text: &str) -> Output {
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file can be made");
    file.write_all(text.as_bytes()).expect("the file can be written");
    bankcoved(&["check", &file.path().to_string_lossy()])
}

/// What was said, without the line breaks and marks of a narrow terminal.
fn said(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr).replace(['│', '╰', '─'], " ");
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn example_with(field: &str, value: serde_json::Value) -> String {
    let mut settings = serde_json::to_value(Config::example()).expect("settings are JSON");
    settings[field] = value;
    settings.to_string()
}

#[test]
fn the_printed_defaults_are_good_settings() {
    let printed = bankcoved(&["--print-defaults"]);
    assert!(printed.status.success());
    let checked = check(&String::from_utf8_lossy(&printed.stdout));
    assert!(checked.status.success(), "{}", String::from_utf8_lossy(&checked.stderr));
}

#[parameterized(
    unknown_key = { "colour", serde_json::json!("red"), "setting 'colour': there is no such setting" },
    bad_address = { "store", serde_json::json!("example"), "'example' is no IP number and port" },
    bad_name = { "name", serde_json::json!("two words"), "'two words' is not a name" },
    short_token = { "operator_token", serde_json::json!("abc"), "shorter than 8 bytes" },
    wrong_type = { "hall", serde_json::json!(7), "setting 'hall': invalid type" },
    bad_entry_address = { "entry", serde_json::json!({"ready_listen": "here"}), "'here' is no IP number and port" },
    bad_horizon = { "entry", serde_json::json!({"ready_listen": "127.0.0.1:1", "horizon_s": 0}), "entry.horizon_s" },
    bad_ratio = { "entry", serde_json::json!({"ready_listen": "127.0.0.1:1", "retry_ratio": -1}), "entry.retry_ratio" },
    adapter_without_entry = { "adapter", serde_json::json!("objects"), "setting 'entry'" },
    zero_limit = { "limits", serde_json::json!({"heartbeat_ms": 0}), "limits.heartbeat_ms" },
)]
fn a_fault_is_named_with_its_setting(field: &str, value: serde_json::Value, expected: &str) {
    let output = check(&example_with(field, value));
    let told = said(&output);
    assert!(!output.status.success());
    assert!(told.contains(expected), "{told}");
}

#[test]
fn every_fault_is_told_at_once() {
    let mut settings = serde_json::to_value(Config::example()).expect("settings are JSON");
    settings["colour"] = serde_json::json!("red");
    settings["store"] = serde_json::json!("example");
    let output = check(&settings.to_string());
    let told = said(&output);
    assert!(told.contains("colour") && told.contains("example"), "{told}");
}

#[test]
fn broken_json_is_told_with_its_place() {
    let output = check("{\"name\": ");
    let told = said(&output);
    assert!(!output.status.success());
    assert!(told.contains("line 1"), "{told}");
}
