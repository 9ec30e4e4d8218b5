//! The operators' client as a person at the shell meets it.

use std::io::Write;
use std::process::{Command, Output};

use serde_json::json;
use yare::parameterized;

fn bankcove(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bankcove")).args(args).output().expect("it can be started")
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
fn a_good_table_has_no_fault() {
    let output = check_table(&json!({"halls": [{"name": "hall-1"}]}));
    assert!(output.status.success(), "{}", stderr(&output));
}

#[test]
fn every_fault_of_a_table_is_told_with_row_field_and_fix() {
    let table = json!({
        "halls": [{"name": "hall-1", "weight": 0}],
        "workspaces": [{"name": "w", "keys_sha256": ["12"], "default_budget": "none"}],
        "servers": [{"name": "s", "hall": "hall-9", "address": "x", "kind": "service"}],
    });
    let output = check_table(&table);
    let stderr = stderr(&output);
    assert_eq!(output.status.code(), Some(1));
    for said in ["keys_sha256", "default_budget", "hall-9", "IP number", "weight", "add that hall"]
    {
        assert!(stderr.contains(said), "'{said}' is missing in {stderr}");
    }
}

#[test]
fn a_home_where_no_hall_lies_is_told() {
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
fn a_misspelt_field_is_told_with_its_path() {
    let output = check_table(&json!({"halls": [{"name": "hall-1", "wieght": 2}]}));
    assert!(stderr(&output).contains("halls[0]"), "{}", stderr(&output));
}

#[test]
fn a_daemon_that_is_not_there_has_an_exit_code_of_its_own() {
    let output = bankcove(&["--server", "127.0.0.1:9", "--token", "x", "status"]);
    assert_eq!(output.status.code(), Some(5), "{}", stderr(&output));
}

#[test]
fn completions_are_printed() {
    let output = bankcove(&["completions", "bash"]);
    assert!(String::from_utf8_lossy(&output.stdout).contains("bankcove"));
}

#[parameterized(vaasa = { "vaasa" }, karamanlis = { "karamanlis" })]
fn the_example_tables_have_no_fault(name: &str) {
    let file = format!("{}/../../examples/{name}.json", env!("CARGO_MANIFEST_DIR"));
    let output = bankcove(&["table", "check", &file]);
    assert!(output.status.success(), "{}", stderr(&output));
}

#[test]
fn the_demo_answers_and_ends_by_itself() {
    let output = bankcove(&["demo", "--once"]);
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{}", stderr(&output));
    assert!(stdout.contains("entry-1 answered") && stdout.contains("spent"), "{stdout}");
}

#[test]
fn a_key_and_its_hash_belong_together() {
    let printed = bankcove(&["key", "new"]);
    let text = String::from_utf8_lossy(&printed.stdout).into_owned();
    let value = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.map(|rest| rest.trim().to_owned()).expect("the line is printed")
    };
    assert_eq!(bankcoved::auth::hash_key(&value("key")), value("sha256"));
}

/// Three requests of some tens of tokens are all that the demo spends of 40 million.
#[test]
fn the_demo_tells_what_is_spent_and_left_and_both_add_up() {
    for _ in 0..4 {
        let output = bankcove(&["demo", "--once"]);
        let said = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{said}{}", stderr(&output));
        let line = said.lines().find(|line| line.starts_with("budget 'dispatch'")).expect("a line");
        let rest = line.split_once(": ").expect("figures follow").1;
        let words = rest.split(|c: char| !c.is_ascii_digit());
        let figures: Vec<u64> = words.filter_map(|word| word.parse().ok()).collect();
        let (total, spent, left) = (figures[0], figures[1], figures[2]);
        assert_eq!(total, 40_000_000, "{line}");
        assert!((1..1_000).contains(&spent), "{line}");
        assert!(left <= total - spent, "{line}");
        let elsewhere = said.lines().find_map(|line| line.strip_suffix(ELSEWHERE)?.parse().ok());
        assert_eq!(spent + left + elsewhere.unwrap_or(0), total, "{said}");
    }
}

/// What the demo says of tokens that are neither spent nor left.
const ELSEWHERE: &str = " are set aside, on their way, or with daemons that have ended";
