//! Urgency of requests by the ranks of workspaces and routes.

use bankcove_core::table::{Table, Urgency};
use serde_json::json;

/// Returns a table with workspaces and routes of these priorities.
fn table(workspaces: &[i32], routes: &[i32]) -> Table {
    let workspace = |(n, priority): (usize, &i32)| {
        json!({"name": format!("w{n}"), "keys_sha256": [], "default_budget": "b",
               "priority": priority})
    };
    let route = |(n, priority): (usize, &i32)| {
        json!({"name": format!("r{n}"), "to": "host", "host": "h", "path_prefix": format!("/{n}"),
               "split": [], "priority": priority})
    };
    serde_json::from_value(json!({
        "workspaces": workspaces.iter().enumerate().map(workspace).collect::<Vec<_>>(),
        "routes": routes.iter().enumerate().map(route).collect::<Vec<_>>(),
    }))
    .expect("a table")
}

/// Returns the urgencies of all pairs of a workspace and a route, in the order of the rows.
fn urgencies(workspaces: &[i32], routes: &[i32]) -> Vec<Urgency> {
    let table = table(workspaces, routes);
    let pairs = table.workspaces.iter().flat_map(|workspace| {
        table.routes.iter().map(|route| table.urgency(Some(workspace), route))
    });
    pairs.collect()
}

/// Guards against a less urgent workspace that overtakes others by its urgent route.
#[test]
fn the_rank_of_the_workspace_comes_before_the_rank_of_the_route() {
    let urgencies = urgencies(&[0, -1], &[0, -2]);
    let ranks: Vec<u32> = urgencies.iter().map(|urgency| urgency.rank).collect();
    assert!(ranks.is_sorted_by(|a, b| a < b), "{ranks:?}");
    let sent: Vec<Option<u8>> = urgencies.iter().map(|urgency| urgency.for_servers).collect();
    assert_eq!(sent, [Some(0), Some(3), Some(6), Some(9)]);
}

/// Guards against a change of the link's limits for tables whose workspaces have equal ranks.
#[test]
fn with_workspaces_of_equal_rank_the_rank_is_that_of_the_route() {
    for workspaces in [[0, 0], [-3, -3]] {
        let urgencies = urgencies(&workspaces, &[0, -2]);
        assert_eq!(urgencies.iter().map(|urgency| urgency.rank).collect::<Vec<_>>(), [0, 2, 0, 2]);
    }
}

/// Guards against a header that changes the servers' order in deployments without priorities.
#[test]
fn servers_get_no_urgency_when_all_rows_have_the_same_priority() {
    for (workspaces, routes) in [([-1, -1], [-1, -1]), ([0, 0], [0, 0])] {
        assert!(
            urgencies(&workspaces, &routes).iter().all(|urgency| urgency.for_servers.is_none())
        );
    }
}

/// Guards against values that servers don't accept and against an inverted order when the table
/// has more than ten steps of urgency.
#[test]
fn more_steps_than_servers_know_keep_their_order() {
    let priorities: Vec<i32> = (0..6).map(|rank| -rank).collect();
    let urgencies = urgencies(&priorities, &priorities);
    let sent: Vec<u8> = urgencies.iter().filter_map(|urgency| urgency.for_servers).collect();
    assert_eq!((sent.len(), sent[0], sent[35]), (36, 0, 9));
    assert!(sent.is_sorted());
}

/// Guards against ranks outside of those that rows have, as of callers without a workspace.
#[test]
fn a_request_without_a_workspace_counts_as_one_of_default_priority() {
    let table = table(&[0, -4], &[0, -1]);
    let route = &table.routes[1];
    assert_eq!(table.urgency(None, route), table.urgency(Some(&table.workspaces[0]), route));
}
