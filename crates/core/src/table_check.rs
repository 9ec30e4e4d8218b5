//! Validation of a whole table; reports every fault with its row, field and fix.

use std::collections::HashSet;

use crate::error::RowFault;
use crate::table::{
    HOURS_PER_DAY, Hall, Route, RouteTarget, Row, Server, ServerKind, ServiceShare, Table,
};
use crate::{Error, Name, Result};

/// Number of hexadecimal digits of a SHA-256.
const SHA256_DIGITS: usize = 64;

/// Faults found so far.
#[derive(Default)]
struct Faults(Vec<RowFault>);

impl Faults {
    fn add<R: Row>(&mut self, row: &R, field: &str, problem: String, fix: &str) {
        self.0.push(RowFault {
            sheet: R::SHEET.to_owned(),
            row: row.name().clone(),
            field: field.to_owned(),
            problem,
            fix: fix.to_owned(),
        });
    }
}

/// Checks the whole table.
///
/// # Errors
/// [`Error::Table`] with all faults.
pub fn check(table: &Table) -> Result<()> {
    let mut faults = Faults::default();
    check_names(&table.halls, &mut faults);
    check_names(&table.workspaces, &mut faults);
    check_names(&table.budgets, &mut faults);
    check_names(&table.servers, &mut faults);
    check_names(&table.routes, &mut faults);
    check_names(&table.services, &mut faults);
    check_halls(table, &mut faults);
    check_workspaces(table, &mut faults);
    check_budgets(table, &mut faults);
    check_servers(table, &mut faults);
    check_routes(table, &mut faults);
    check_homes(table, &mut faults);
    if faults.0.is_empty() {
        return Ok(());
    }
    Err(Error::Table(faults.0))
}

fn check_names<R: Row>(rows: &[R], faults: &mut Faults) {
    let mut seen: HashSet<&Name> = HashSet::new();
    for row in rows {
        if !row.name().is_well_formed() {
            let problem = format!("'{}' is not a name", row.name());
            faults.add(row, "name", problem, "use 1 to 64 of a-z, A-Z, 0-9, '.', '-', '_'");
        }
        if !seen.insert(row.name()) {
            let problem = "the name stands twice in this sheet".to_owned();
            faults.add(row, "name", problem, "rename or remove one of the two rows");
        }
    }
}

fn is_valid_weight(weight: f64) -> bool {
    weight.is_finite() && weight >= 0.0
}

fn check_halls(table: &Table, faults: &mut Faults) {
    for hall in &table.halls {
        check_hall(hall, faults);
    }
    for hour in 0..HOURS_PER_DAY {
        let weight_of =
            |hall: &Hall| hall.weights_by_hour.get(hour).copied().unwrap_or(hall.weight);
        let all_zero = table.halls.iter().all(|hall| weight_of(hall) == 0.0);
        if let (true, Some(first)) = (all_zero, table.halls.first()) {
            let problem = format!("the weights of all halls are 0 in hour {hour}");
            faults.add(first, "weight", problem, "give one hall a weight above 0 in that hour");
            return;
        }
    }
}

fn check_hall(hall: &Hall, faults: &mut Faults) {
    let count = hall.weights_by_hour.len();
    if count != 0 && count != HOURS_PER_DAY {
        let problem = format!("{count} weights stand where 24 belong");
        faults.add(hall, "weights_by_hour", problem, "give one weight for each hour from 0 to 23");
    }
    let all = std::iter::once(hall.weight).chain(hall.weights_by_hour.iter().copied());
    if !all.into_iter().all(is_valid_weight) {
        let problem = "a weight is negative or no number".to_owned();
        faults.add(hall, "weight", problem, "use 0 or more");
    }
}

fn check_workspaces(table: &Table, faults: &mut Faults) {
    let mut keys: HashSet<&str> = HashSet::new();
    for row in &table.workspaces {
        for key in &row.keys_sha256 {
            let lower_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
            if key.len() != SHA256_DIGITS || !key.chars().all(lower_hex) {
                let problem = "a key is no SHA-256 in 64 lower-case digits".to_owned();
                faults.add(row, "keys_sha256", problem, "take the output of 'bankcove key hash'");
            }
            if !keys.insert(key) {
                let problem = "a key stands twice in the table".to_owned();
                faults.add(row, "keys_sha256", problem, "give each workspace keys of its own");
            }
        }
        match table.budget(&row.default_budget) {
            None => {
                let problem = format!("no budget is named '{}'", row.default_budget);
                faults.add(row, "default_budget", problem, "add that budget or name another");
            }
            Some(budget) if budget.workspace != row.name => {
                let problem = format!("budget '{}' belongs to '{}'", budget.name, budget.workspace);
                faults.add(row, "default_budget", problem, "name a budget of this workspace");
            }
            Some(_) => {}
        }
    }
}

fn check_budgets(table: &Table, faults: &mut Faults) {
    let workspaces: HashSet<&Name> = table.workspaces.iter().map(|row| &row.name).collect();
    for row in &table.budgets {
        if !workspaces.contains(&row.workspace) {
            let problem = format!("no workspace is named '{}'", row.workspace);
            faults.add(row, "workspace", problem, "add that workspace or name another");
        }
        if !(row.horizon_s.is_finite() && row.horizon_s > 0.0) {
            let problem = "the horizon is not above 0 seconds".to_owned();
            faults.add(row, "horizon_s", problem, "leave it out, or use for example 10");
        }
        if row.share_divisor == 0 {
            let problem = "the divisor is 0".to_owned();
            faults.add(row, "share_divisor", problem, "leave it out, or use 1 or more");
        }
        if !(0.0..=1.0).contains(&row.held_ahead) {
            let problem = format!("{} is no part of a share", row.held_ahead);
            faults.add(row, "held_ahead", problem, "use a number from 0 to 1");
        }
    }
}

fn check_servers(table: &Table, faults: &mut Faults) {
    let halls: HashSet<&Name> = table.halls.iter().map(|row| &row.name).collect();
    for row in &table.servers {
        check_server(row, &halls, faults);
    }
}

fn check_server(row: &Server, halls: &HashSet<&Name>, faults: &mut Faults) {
    if !halls.contains(&row.hall) {
        let problem = format!("no hall is named '{}'", row.hall);
        faults.add(row, "hall", problem, "add that hall or name another");
    }
    if row.address.parse::<std::net::SocketAddr>().is_err() {
        let problem = format!("'{}' is no IP number and port", row.address);
        faults.add(row, "address", problem, "write it like 10.0.0.7:8000");
    }
    if !is_valid_weight(row.weight) {
        let problem = "the weight is negative or no number".to_owned();
        faults.add(row, "weight", problem, "use 0 or more");
    }
    if row.limit == 0 {
        let problem = "a limit of 0 lets nothing through".to_owned();
        faults.add(row, "limit", problem, "use 1 or more, or set state to 'draining'");
    }
    if row.kind == ServerKind::Model && row.models.is_empty() {
        let problem = "a model server without a model".to_owned();
        faults.add(row, "models", problem, "name the models that it serves");
    }
}

fn check_routes(table: &Table, faults: &mut Faults) {
    for row in &table.routes {
        if row.deadline_ms == 0 {
            let problem = "a deadline of 0 lets nothing through".to_owned();
            faults.add(row, "deadline_ms", problem, "use for example 60000");
        }
        match &row.target {
            RouteTarget::Model { model } => check_model_route(table, row, model, faults),
            RouteTarget::Service { path_prefix, servers } => {
                check_service_route(table, row, path_prefix, servers, faults);
            }
            RouteTarget::Host { path_prefix, split, .. } => {
                check_host_route(table, row, path_prefix, split, faults);
            }
        }
    }
}

/// Checks that each home is the region of a hall, since no server serves it otherwise. A
/// table without halls is skipped: the platform's list does not contain their regions.
fn check_homes(table: &Table, faults: &mut Faults) {
    if table.halls.is_empty() {
        return;
    }
    let regions: HashSet<&Name> =
        table.halls.iter().filter_map(|row| row.region.as_ref()).collect();
    for row in &table.routes {
        check_homes_of(row, &row.homes, &regions, faults);
    }
    for row in &table.workspaces {
        check_homes_of(row, &row.homes, &regions, faults);
    }
}

fn check_homes_of<R: Row>(row: &R, homes: &[Name], regions: &HashSet<&Name>, faults: &mut Faults) {
    for home in homes.iter().filter(|home| !regions.contains(home)) {
        let problem = format!("no hall lies in region '{home}'");
        faults.add(row, "homes", problem, "give a hall that region, or name another");
    }
}

fn check_model_route(table: &Table, row: &Route, model: &Name, faults: &mut Faults) {
    if row.max_tokens == 0 {
        let problem = "an output limit of 0 lets nothing through".to_owned();
        faults.add(row, "max_tokens", problem, "use 1 or more");
    }
    let first = table.route_for_model(model.as_str()).map(|route| &route.name);
    if first != Some(&row.name) {
        let problem = format!("model '{model}' has a route already");
        faults.add(row, "model", problem, "keep one route for each model");
    }
    if !table.servers.iter().any(|server| server.models.contains(model)) {
        let problem = format!("no server serves model '{model}'");
        faults.add(row, "model", problem, "add the model to a server, or remove the route");
    }
}

fn check_service_route(
    table: &Table,
    row: &Route,
    path_prefix: &str,
    servers: &[Name],
    faults: &mut Faults,
) {
    if !path_prefix.starts_with('/') || path_prefix.starts_with("/v1/") {
        let problem = format!("'{path_prefix}' can't be a prefix");
        faults.add(row, "path_prefix", problem, "begin with '/', but not with '/v1/'");
    }
    if servers.is_empty() {
        let problem = "the route leads nowhere".to_owned();
        faults.add(row, "servers", problem, "name one plain service or more");
    }
    for name in servers {
        let found = table.server(name).map(|server| server.kind);
        if found != Some(ServerKind::Service) {
            let problem = format!("no plain service is named '{name}'");
            faults.add(row, "servers", problem, "add that server with kind 'service'");
        }
    }
}

fn check_host_route(
    table: &Table,
    row: &Route,
    path_prefix: &str,
    split: &[ServiceShare],
    faults: &mut Faults,
) {
    if !path_prefix.starts_with('/') || !path_prefix.ends_with('/') {
        let problem = format!("'{path_prefix}' can't be a prefix");
        faults.add(row, "path_prefix", problem, "begin and end with '/'");
    }
    if !split.iter().any(|share| share.weight > 0.0) {
        let problem = "the route leads nowhere".to_owned();
        faults.add(row, "split", problem, "name one service or more with a weight above 0");
    }
    for share in split {
        if !is_valid_weight(share.weight) {
            let problem = format!("the weight of '{}' is negative or no number", share.service);
            faults.add(row, "split", problem, "use 0 or more");
        }
        if table.service(&share.service).is_none() {
            let problem = format!("no service is named '{}'", share.service);
            faults.add(row, "split", problem, "add that service or name another");
        }
    }
}
