//! The operators' client, run as a process.

use std::io::Write;
use std::process::{Command, Output};

use serde_json::json;
use yare::parameterized;

fn bankcove(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bankcove"))
        .args(args)
        .output()
        .expect("the binary can be started")
}

fn check_table(table: &serde_json::Value) -> Output {
    let mut file = tempfile::NamedTempFile::new().expect("a temporary file can be made");
    write!(file, "{table}").expect("the file can be written");
    bankcove(&["table", "check", &file.path().to_string_lossy()])
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn a_valid_table_has_no_faults() {
    let output = check_table(&json!({"halls": [{"name": "hall-1"}]}));
    assert!(output.status.success(), "{}", stderr(&output));
}

#[test]
fn all_faults_of_a_table_are_reported_with_row_field_and_fix() {
    let table = json!({
        "halls": [{"name": "hall-1", "weight": 0}],
        "workspaces": [{"name": "w", "keys_sha256": ["12"], "default_budget": "none"}],
        "servers": [{"name": "s", "hall": "hall-9", "address": "x", "kind": "service"}],
    });
    let output = check_table(&table);
    let stderr = stderr(&output);
    assert_eq!(output.status.code(), Some(1));
    for expected in
        ["keys_sha256", "default_budget", "hall-9", "IP number", "weight", "add that hall"]
    {
        assert!(stderr.contains(expected), "'{expected}' is missing in {stderr}");
    }
}

#[test]
fn a_home_region_without_a_hall_is_reported() {
    let table = json!({
        "halls": [{"name": "hall-1", "region": "north"}],
        "workspaces": [
            {"name": "w", "keys_sha256": [], "default_budget": "b", "homes": ["north", "west"]},
        ],
        "budgets": [{"name": "b", "workspace": "w", "tokens": 1}],
    });
    let stderr = stderr(&check_table(&table));
    assert!(stderr.contains("'west'") && stderr.contains("give a hall that region"), "{stderr}");
    assert!(!stderr.contains("'north'"), "{stderr}");
}

#[test]
fn a_misspelt_field_is_reported_with_its_path() {
    let output = check_table(&json!({"halls": [{"name": "hall-1", "wieght": 2}]}));
    assert!(stderr(&output).contains("halls[0]"), "{}", stderr(&output));
}

#[test]
fn an_unreachable_daemon_has_its_own_exit_code() {
    let output = bankcove(&["--server", "127.0.0.1:9", "--token", "x", "status"]);
    assert_eq!(output.status.code(), Some(5), "{}", stderr(&output));
}

#[test]
fn completions_are_printed() {
    let output = bankcove(&["completions", "bash"]);
    assert!(String::from_utf8_lossy(&output.stdout).contains("bankcove"));
}

#[parameterized(vaasa = { "vaasa" }, karamanlis = { "karamanlis" })]
fn the_example_tables_have_no_faults(name: &str) {
    let file = format!("{}/../../examples/{name}.json", env!("CARGO_MANIFEST_DIR"));
    let output = bankcove(&["table", "check", &file]);
    assert!(output.status.success(), "{}", stderr(&output));
}

#[test]
fn demo_once_answers_requests_and_exits() {
    let output = bankcove(&["demo", "--once"]);
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{}", stderr(&output));
    assert!(stdout.contains("entry-1 answered") && stdout.contains("spent"), "{stdout}");
}

#[test]
fn a_new_key_is_printed_with_its_hash() {
    let printed = bankcove(&["key", "new"]);
    let text = String::from_utf8_lossy(&printed.stdout).into_owned();
    let value = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.map(|rest| rest.trim().to_owned()).expect("the line is printed")
    };
    assert_eq!(bankcoved::auth::hash_key(&value("key")), value("sha256"));
}

/// The demo spends the tokens of only three requests, some tens each, of a budget of 40 million.
#[test]
fn the_figures_of_the_demo_add_up_to_the_budget() {
    for _ in 0..4 {
        let output = bankcove(&["demo", "--once"]);
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{stdout}{}", stderr(&output));
        let line =
            stdout.lines().find(|line| line.starts_with("budget 'dispatch'")).expect("a line");
        let rest = line.split_once(": ").expect("figures follow").1;
        let words = rest.split(|c: char| !c.is_ascii_digit());
        let figures: Vec<u64> = words.filter_map(|word| word.parse().ok()).collect();
        let (total, spent, left) = (figures[0], figures[1], figures[2]);
        assert_eq!(total, 40_000_000, "{line}");
        assert!((1..1_000).contains(&spent), "{line}");
        assert!(left <= total - spent, "{line}");
        let unavailable =
            stdout.lines().find_map(|line| line.strip_suffix(UNAVAILABLE)?.parse().ok());
        assert_eq!(spent + left + unavailable.unwrap_or(0), total, "{stdout}");
    }
}

/// What the demo prints after the number of tokens that are neither spent nor left.
const UNAVAILABLE: &str = " are reserved, in transit, or at daemons that have ended";
