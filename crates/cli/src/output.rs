//! Output as aligned columns for people, and as JSON or CSV for programs.

use comfy_table::presets::NOTHING;
use serde::Serialize;
use serde_json::Value;

use crate::args::Format;

/// Columns that are printed first, if present.
const FIRST_COLUMNS: [&str; 4] = ["name", "workspace", "hall", "to"];

/// Number of items of a list that the text format shows.
const MAX_LIST_ITEMS: usize = 4;

/// Prints a value as JSON.
pub fn json(value: &impl Serialize) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Prints rows, which are JSON objects, with their fields as columns.
pub fn rows(rows: &[Value], format: Format) {
    let columns = columns(rows);
    match format {
        Format::Json => json(&rows),
        Format::Text => print_aligned(&columns, rows),
        Format::Csv => print_csv(&columns, rows),
    }
}

fn columns(rows: &[Value]) -> Vec<String> {
    let mut columns: Vec<String> = Vec::new();
    for row in rows.iter().filter_map(Value::as_object) {
        for key in row.keys().filter(|key| !FIRST_COLUMNS.contains(&key.as_str())) {
            if !columns.contains(key) {
                columns.push(key.clone());
            }
        }
    }
    let has = |column: &&&str| rows.iter().any(|row| row.get(**column).is_some());
    let first = FIRST_COLUMNS.iter().filter(has).map(|column| (*column).to_owned());
    first.chain(columns).collect()
}

fn print_aligned(columns: &[String], rows: &[Value]) {
    let mut table = comfy_table::Table::new();
    table.load_preset(NOTHING).set_header(columns);
    for row in rows {
        table.add_row(columns.iter().map(|column| short_cell(row, column)));
    }
    println!("{table}");
}

fn print_csv(columns: &[String], rows: &[Value]) {
    let mut writer = csv::Writer::from_writer(std::io::stdout());
    let lines = std::iter::once(columns.to_vec())
        .chain(rows.iter().map(|row| columns.iter().map(|column| cell(row, column)).collect()));
    for line in lines {
        if writer.write_record(line).is_err() {
            // The reader has closed the output.
            return;
        }
    }
}

/// Returns the text of a cell for people, which shows only the first items of a long list.
fn short_cell(row: &Value, column: &str) -> String {
    match row[column].as_array() {
        Some(items) if items.len() > MAX_LIST_ITEMS && items.iter().all(Value::is_string) => {
            let first: Vec<&str> =
                items.iter().take(MAX_LIST_ITEMS).filter_map(Value::as_str).collect();
            format!("{} and {} more", first.join(" "), items.len() - MAX_LIST_ITEMS)
        }
        _ => cell(row, column),
    }
}

fn cell(row: &Value, column: &str) -> String {
    match &row[column] {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(items) if items.iter().all(Value::is_string) => {
            items.iter().filter_map(Value::as_str).collect::<Vec<_>>().join(" ")
        }
        other => other.to_string(),
    }
}
