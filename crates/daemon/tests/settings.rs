//! Settings files: the binary reports each invalid file with a clear error.

use std::io::Write;
use std::process::{Command, Output};

use bankcoved::base::config::Config;
use bankcoved::base::config::entry::EntrySettings;
use yare::parameterized;

fn bankcoved(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bankcoved"))
        .args(args)
        .output()
        .expect("the binary can be started")
}

fn check(text: &str) -> Output {
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file can be made");
    file.write_all(text.as_bytes()).expect("the file can be written");
    bankcoved(&["check", &file.path().to_string_lossy()])
}

/// Returns standard error without the line breaks and frame marks of a narrow terminal.
fn error_text(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stderr).replace(['│', '╰', '─'], " ");
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn example_with(field: &str, value: serde_json::Value) -> String {
    let mut settings = serde_json::to_value(Config::example()).expect("settings are JSON");
    settings[field] = value;
    settings.to_string()
}

#[test]
fn the_printed_defaults_are_valid_settings() {
    let printed = bankcoved(&["--print-defaults"]);
    assert!(printed.status.success());
    let checked = check(&String::from_utf8_lossy(&printed.stdout));
    assert!(checked.status.success(), "{}", String::from_utf8_lossy(&checked.stderr));
}

#[parameterized(
    unknown_key = { "colour", serde_json::json!("red"), "setting 'colour': there is no such setting" },
    bad_address = { "store", serde_json::json!("example"), "'example' is not an IP address and port" },
    bad_name = { "name", serde_json::json!("two words"), "'two words' is not a name" },
    short_token = { "operator_token", serde_json::json!("abc"), "shorter than 8 bytes" },
    wrong_type = { "hall", serde_json::json!(7), "setting 'hall': invalid type" },
    bad_entry_address = { "entry", serde_json::json!({"ready_listen": "here"}), "'here' is not an IP address and port" },
    bad_horizon = { "entry", serde_json::json!({"ready_listen": "127.0.0.1:1", "horizon_s": 0}), "entry.horizon_s" },
    bad_ratio = { "entry", serde_json::json!({"ready_listen": "127.0.0.1:1", "retry_ratio": -1}), "entry.retry_ratio" },
    no_memory = { "entry", serde_json::json!({"ready_listen": "127.0.0.1:1", "memory_mb": 0}), "entry.memory_mb" },
    negative_held_answers = { "entry", serde_json::json!({"ready_listen": "127.0.0.1:1", "held_answers_mb": -1}), "entry.held_answers_mb" },
    held_answers_above_memory = { "entry", serde_json::json!({"ready_listen": "127.0.0.1:1", "memory_mb": 64, "held_answers_mb": 65}), "entry.held_answers_mb" },
    no_server_heartbeat = { "entry", serde_json::json!({"ready_listen": "127.0.0.1:1", "server_heartbeat_ms": 0}), "entry.server_heartbeat_ms" },
    long_place_queue = { "entry", serde_json::json!({"ready_listen": "127.0.0.1:1", "place_queue": 1_001}), "entry.place_queue" },
    bad_protection = { "entry", serde_json::json!({"ready_listen": "127.0.0.1:1", "protect_horizon_s": -1}), "entry.protect_horizon_s" },
    adapter_without_entry = { "adapter", serde_json::json!("objects"), "setting 'entry'" },
    zero_limit = { "limits", serde_json::json!({"heartbeat_ms": 0}), "limits.heartbeat_ms" },
)]
fn a_fault_is_reported_with_its_setting(field: &str, value: serde_json::Value, expected: &str) {
    let output = check(&example_with(field, value));
    let message = error_text(&output);
    assert!(!output.status.success());
    assert!(message.contains(expected), "{message}");
}

#[test]
fn all_faults_are_reported_at_once() {
    let mut settings = serde_json::to_value(Config::example()).expect("settings are JSON");
    settings["colour"] = serde_json::json!("red");
    settings["store"] = serde_json::json!("example");
    let output = check(&settings.to_string());
    let message = error_text(&output);
    assert!(message.contains("colour") && message.contains("example"), "{message}");
}

#[test]
fn a_json_syntax_error_is_reported_with_its_line() {
    let output = check("{\"name\": ");
    let message = error_text(&output);
    assert!(!output.status.success());
    assert!(message.contains("line 1"), "{message}");
}

#[parameterized(
    neither = { serde_json::json!({}), 16 << 20 },
    of_memory = { serde_json::json!({"memory_mb": 160}), 20 << 20 },
    set = { serde_json::json!({"memory_mb": 160, "held_answers_mb": 1.5}), 3 << 19 },
    disabled = { serde_json::json!({"memory_mb": 160, "held_answers_mb": 0}), 0 },
)]
fn the_bound_of_held_answers_follows_the_hosts_memory(fields: serde_json::Value, expected: u64) {
    let mut settings = fields;
    settings["ready_listen"] = serde_json::json!("127.0.0.1:1");
    let settings: EntrySettings = serde_json::from_value(settings).expect("valid settings");
    assert_eq!(settings.max_held_answer_bytes(), expected);
}
