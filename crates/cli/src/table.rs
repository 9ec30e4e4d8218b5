//! Commands for the table and its rows.

use std::path::Path;

use bankcove_core::Name;
use bankcove_core::edit::{Edit, RowEdit, difference};
use bankcove_core::table::Table;
use bankcove_core::table_check::check;
use serde_json::{Map, Value};

use crate::args::{Format, RowCommand, TableCommand};
use crate::client::Client;
use crate::config::{Config, read_json};
use crate::error::{Error, Result};
use crate::output;

/// Sheets of the table in the order of printing.
const SHEETS: [&str; 6] = ["halls", "workspaces", "budgets", "servers", "routes", "services"];

/// Runs a command for the table.
///
/// # Errors
/// Errors to print for the operator.
pub async fn run(cfg: &Config, command: TableCommand) -> Result<()> {
    match command {
        TableCommand::Check { file } => {
            let table = read_table(&file)?;
            let rows = SHEETS.map(|sheet| rows_of(&table, sheet).len()).iter().sum::<usize>();
            println!("{}: {rows} rows, no fault found", file.display());
            Ok(())
        }
        TableCommand::Plan { file } => {
            let edit = edit_to_match(&Client::new(cfg)?, &file, String::new()).await?;
            print_plan(&edit, cfg.format);
            Ok(())
        }
        TableCommand::Apply { file, change } => {
            let client = Client::new(cfg)?;
            let edit = edit_to_match(&client, &file, change.unwrap_or_else(new_change_id)).await?;
            if edit.rows.is_empty() {
                println!("nothing to change");
                return Ok(());
            }
            send(&client, &edit).await
        }
        TableCommand::Get { sheet } => {
            let table = Client::new(cfg)?.table().await?;
            print_table(&table, sheet.as_deref(), cfg.format)
        }
        TableCommand::History => {
            let table = Client::new(cfg)?.table().await?;
            let value = serde_json::to_value(&table.history).unwrap_or_default();
            output::rows(value.as_array().map_or(&[], Vec::as_slice), cfg.format);
            Ok(())
        }
    }
}

/// Runs a command for a row.
///
/// # Errors
/// Errors to print for the operator.
pub async fn run_row(cfg: &Config, command: RowCommand) -> Result<()> {
    let client = Client::new(cfg)?;
    match command {
        RowCommand::Set { sheet, name, fields, from_version, change } => {
            let fields =
                fields.iter().map(|field| read_field(field)).collect::<Result<Vec<_>>>()?;
            set(&client, &sheet, &name, fields, from_version, change).await
        }
        RowCommand::Remove { sheet, name, change } => {
            let table = client.table().await?;
            let row = find_row(&table, &sheet, &name).ok_or_else(|| no_row(&sheet, &name))?;
            let version = row["version"].as_u64().unwrap_or(0);
            let edit = row_edit(&sheet, &name, version, None, change);
            send(&client, &edit).await
        }
    }
}

/// Sets fields of a row, or adds a row.
///
/// # Errors
/// Errors to print for the operator.
pub async fn set(
    client: &Client,
    sheet: &str,
    name: &str,
    fields: Vec<(String, Value)>,
    from_version: Option<u64>,
    change: Option<String>,
) -> Result<()> {
    let table = client.table().await?;
    let found = find_row(&table, sheet, name);
    let mut row = found.unwrap_or_else(|| serde_json::json!({ "name": name }));
    let version = from_version.unwrap_or_else(|| row["version"].as_u64().unwrap_or(0));
    for (field, value) in fields {
        row[field] = value;
    }
    send(client, &row_edit(sheet, name, version, Some(row), change)).await
}

/// Reads and checks a table.
///
/// # Errors
/// [`Error::Faults`] with all faults found, or an error of the file.
pub fn read_table(file: &Path) -> Result<Table> {
    let table: Table = read_json(file)?;
    match check(&table) {
        Ok(()) => Ok(table),
        Err(bankcove_core::Error::Table(faults)) => {
            Err(Error::Faults(faults.into_iter().map(Into::into).collect()))
        }
        Err(e) => Err(Error::Usage(e.to_string())),
    }
}

/// Returns a new unique identifier for a change.
pub fn new_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn current_user() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

/// Returns the edit that changes the table in force to the table in the file.
async fn edit_to_match(client: &Client, file: &Path, id: String) -> Result<Edit> {
    let target = read_table(file)?;
    let current = client.table().await?;
    Ok(difference(&current, &target, id, current_user()))
}

async fn send(client: &Client, edit: &Edit) -> Result<()> {
    let accepted = client.edit(edit).await?;
    println!("accepted as revision {} (change {})", accepted.revision, edit.id);
    Ok(())
}

fn row_edit(
    sheet: &str,
    name: &str,
    from_version: u64,
    row: Option<Value>,
    change: Option<String>,
) -> Edit {
    let row = RowEdit { sheet: sheet.to_owned(), name: Name::from(name), from_version, row };
    Edit { id: change.unwrap_or_else(new_change_id), who: current_user(), rows: vec![row] }
}

fn read_field(text: &str) -> Result<(String, Value)> {
    let Some((field, value)) = text.split_once('=') else {
        return Err(Error::Usage(format!("'{text}' is not of the form FIELD=VALUE")));
    };
    let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
    Ok((field.to_owned(), value))
}

fn rows_of(table: &Table, sheet: &str) -> Vec<Value> {
    let value = serde_json::to_value(table).unwrap_or_default();
    value[sheet].as_array().cloned().unwrap_or_default()
}

fn find_row(table: &Table, sheet: &str, name: &str) -> Option<Value> {
    rows_of(table, sheet).into_iter().find(|row| row["name"] == name)
}

fn no_row(sheet: &str, name: &str) -> Error {
    Error::Usage(format!("sheet '{sheet}' has no row '{name}'"))
}

fn print_plan(edit: &Edit, format: Format) {
    let rows: Vec<Value> = edit
        .rows
        .iter()
        .map(|row| {
            let action = match (&row.row, row.from_version) {
                (None, _) => "remove",
                (Some(_), 0) => "add",
                (Some(_), _) => "change",
            };
            let mut line = Map::new();
            line.insert("name".to_owned(), row.name.to_string().into());
            line.insert("change".to_owned(), action.into());
            line.insert("sheet".to_owned(), row.sheet.clone().into());
            line.insert("row".to_owned(), row.row.clone().unwrap_or_default());
            Value::Object(line)
        })
        .collect();
    if rows.is_empty() && format == Format::Text {
        println!("nothing to change");
        return;
    }
    output::rows(&rows, format);
}

fn print_table(table: &Table, sheet: Option<&str>, format: Format) -> Result<()> {
    if let Some(sheet) = sheet {
        if !SHEETS.contains(&sheet) {
            let sheets = SHEETS.join(", ");
            return Err(Error::Usage(format!("there is no sheet '{sheet}'; use one of: {sheets}")));
        }
        output::rows(&rows_of(table, sheet), format);
        return Ok(());
    }
    if format == Format::Json {
        output::json(table);
        return Ok(());
    }
    for sheet in SHEETS {
        println!("[{sheet}]");
        output::rows(&rows_of(table, sheet), format);
        println!();
    }
    println!("revision {}", table.revision);
    Ok(())
}
