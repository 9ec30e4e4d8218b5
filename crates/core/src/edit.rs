//! Edits of the table. Each edit lists rows and the row versions that it is based on.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::table::{Change, HISTORY_LENGTH, Row, Table};
use crate::table_check::check;
use crate::{Error, Name, Result};

/// Edit of one row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowEdit {
    /// Sheet of the row: halls, workspaces, budgets, servers, routes or services.
    pub sheet: String,
    /// Name of the row.
    pub name: Name,
    /// Version of the row that the edit is based on; 0 for a new row.
    pub from_version: u64,
    /// The complete new row; none removes the row.
    pub row: Option<Value>,
}

/// Row edits that are applied together or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Identifier of the change, chosen by the operator's client.
    pub id: String,
    /// User who requests it.
    pub who: String,
    /// The row edits.
    pub rows: Vec<RowEdit>,
}

/// Returns `table` with `edit` applied, after checking the new table as a whole.
///
/// # Errors
/// [`Error::RowConflict`] when a row has changed since, [`Error::RowShape`] when
/// a row can't be parsed, [`Error::Table`] when the new table has faults.
pub fn apply(table: &Table, edit: &Edit, now_s: u64) -> Result<Table> {
    let mut next = table.clone();
    for row in &edit.rows {
        apply_row(&mut next, row)?;
    }
    check(&next)?;
    next.revision += 1;
    next.history.push(Change {
        id: edit.id.clone(),
        revision: next.revision,
        who: edit.who.clone(),
        when_s: now_s,
        rows: edit.rows.iter().map(|row| format!("{}/{}", row.sheet, row.name)).collect(),
    });
    let surplus = next.history.len().saturating_sub(HISTORY_LENGTH);
    next.history.drain(..surplus);
    Ok(next)
}

/// Returns the edit that turns `from` into `to`.
pub fn difference(from: &Table, to: &Table, id: String, who: String) -> Edit {
    let mut rows = Vec::new();
    difference_of_sheet(&from.halls, &to.halls, &mut rows);
    difference_of_sheet(&from.workspaces, &to.workspaces, &mut rows);
    difference_of_sheet(&from.budgets, &to.budgets, &mut rows);
    difference_of_sheet(&from.servers, &to.servers, &mut rows);
    difference_of_sheet(&from.routes, &to.routes, &mut rows);
    difference_of_sheet(&from.services, &to.services, &mut rows);
    Edit { id, who, rows }
}

fn apply_row(table: &mut Table, edit: &RowEdit) -> Result<()> {
    // A row's version is the table revision that wrote it, so a version never repeats, not
    // even for a row that is removed and added again.
    let revision = table.revision + 1;
    match edit.sheet.as_str() {
        "halls" => apply_to_sheet(&mut table.halls, edit, revision),
        "workspaces" => apply_to_sheet(&mut table.workspaces, edit, revision),
        "budgets" => apply_to_sheet(&mut table.budgets, edit, revision),
        "servers" => apply_to_sheet(&mut table.servers, edit, revision),
        "routes" => apply_to_sheet(&mut table.routes, edit, revision),
        "services" => apply_to_sheet(&mut table.services, edit, revision),
        other => Err(Error::RowShape {
            sheet: other.to_owned(),
            row: edit.name.to_string(),
            problem: "no such sheet; use halls, workspaces, budgets, servers, routes or services"
                .to_owned(),
        }),
    }
}

fn apply_to_sheet<R: Row + DeserializeOwned>(
    rows: &mut Vec<R>,
    edit: &RowEdit,
    revision: u64,
) -> Result<()> {
    let position = rows.iter().position(|row| *row.name() == edit.name);
    let found = position.map_or(0, |index| rows[index].version());
    if found != edit.from_version {
        return Err(Error::RowConflict {
            sheet: R::SHEET.to_owned(),
            row: edit.name.clone(),
            expected: edit.from_version,
            found,
        });
    }
    let Some(value) = &edit.row else {
        if let Some(index) = position {
            rows.remove(index);
        }
        return Ok(());
    };
    let mut row = parse_row::<R>(value, &edit.name)?;
    row.set_version(revision);
    match position {
        Some(index) => rows[index] = row,
        None => rows.push(row),
    }
    Ok(())
}

fn parse_row<R: Row + DeserializeOwned>(value: &Value, name: &Name) -> Result<R> {
    let fault = |problem: String| Error::RowShape {
        sheet: R::SHEET.to_owned(),
        row: name.to_string(),
        problem,
    };
    let row: R = serde_json::from_value(value.clone()).map_err(|e| fault(e.to_string()))?;
    if row.name() != name {
        return Err(fault(format!("field 'name' says '{}'; a row can't be renamed", row.name())));
    }
    Ok(row)
}

fn difference_of_sheet<R: Row + PartialEq>(from: &[R], to: &[R], edits: &mut Vec<RowEdit>) {
    for wanted in to {
        let current = from.iter().find(|row| row.name() == wanted.name());
        let from_version = current.map_or(0, Row::version);
        let mut row = wanted.clone();
        row.set_version(from_version);
        if current != Some(&row) {
            edits.push(row_edit(wanted, from_version, serde_json::to_value(&row).ok()));
        }
    }
    for current in from {
        if !to.iter().any(|row| row.name() == current.name()) {
            edits.push(row_edit(current, current.version(), None));
        }
    }
}

fn row_edit<R: Row>(row: &R, from_version: u64, value: Option<Value>) -> RowEdit {
    RowEdit { sheet: R::SHEET.to_owned(), name: row.name().clone(), from_version, row: value }
}
