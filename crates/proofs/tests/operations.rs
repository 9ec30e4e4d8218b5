//! Table edits, drains and graceful shutdowns under faults and races.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bankcove_core::Name;
use bankcove_core::members::{Host, HostRole, HostState};
use bankcove_core::table::Table;
use bankcove_proofs::caller::{Attempt, AttemptOutcome, Caller, ChatRequest};
use bankcove_proofs::check;
use bankcove_proofs::fleet::{Fleet, FleetConfig};
use bankcove_standins::faults::Faults;
use serde_json::{Value, json};

/// Exit code of the operators' client if a row has changed since it was read.
const CONFLICT: i32 = 3;
/// Exit code of the operators' client if it is unknown whether the command took effect.
const UNKNOWN: i32 = 4;

/// Number of polls of a daemon's host list, enough for the daemon to read the list several times.
const HOST_LIST_POLLS: usize = 20;

/// Interval between two polls: a quarter of the time between two reads by the daemon.
const HOST_LIST_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns whether a status lists this peer as usable.
fn has_peer(status: &Value, name: &str) -> bool {
    let peers = status["peers"].as_array();
    peers.is_some_and(|peers| {
        peers.iter().any(|peer| peer["name"] == name && peer["usable"] == true)
    })
}

/// Returns the caller addresses of all daemons.
fn addresses(fleet: &Fleet) -> Vec<String> {
    fleet.daemons.iter().map(|daemon| daemon.caller_address.clone()).collect()
}

/// Runs the operators' client and checks that it succeeds.
fn run_accepted(fleet: &Fleet, daemon: usize, args: &[&str]) {
    let output = fleet.run_cli(daemon, args);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
}

/// Returns the table revision of a daemon.
async fn revision(fleet: &Fleet, daemon: usize) -> u64 {
    let status = fleet.operator_get(daemon, "status").await.expect("the daemon answers");
    status["revision"].as_u64().expect("a revision is a number")
}

/// Waits until a daemon has adopted this revision of the table or a later one.
async fn wait_for_revision(fleet: &Fleet, daemon: usize, revision: u64) {
    fleet.wait_for_status(daemon, |status| status["revision"].as_u64() >= Some(revision)).await;
}

/// Sends `count` requests at the same time to the daemons in turn and returns their attempts.
async fn send_all(fleet: &Fleet, prefix: &str, count: usize) -> Vec<Attempt> {
    let targets = addresses(fleet);
    let requests = (0..count).map(|n| {
        let (target, key) = (targets[n % targets.len()].clone(), format!("{prefix}-{n}"));
        async move { Caller::default().chat(&target, &ChatRequest::new(key)).await }
    });
    futures::future::join_all(requests).await
}

/// Returns the number of runs at an engine.
async fn runs_at(fleet: &Fleet, engine: usize) -> usize {
    fleet.engines[engine].history::<Vec<Value>>().await.len()
}

#[tokio::test(flavor = "multi_thread")]
async fn of_racing_edits_of_one_row_one_is_accepted_and_none_is_lost() {
    let fleet = Fleet::start(&FleetConfig { daemons: 3, ..FleetConfig::default() }).await;
    fleet.store.set_faults(Faults { lose_answers: 0.3, delay_ms: 20, ..Faults::default() }).await;
    let mut accepted = 0;
    for round in 0..3 {
        let version = stored_row_version(&fleet, "hall-1").await.to_string();
        let outputs: Vec<_> = std::thread::scope(|scope| {
            let edit = |n: usize| {
                let (weight, version) = (format!("weight={}", round * 10 + n + 1), &version);
                let args = ["row", "set", "halls", "hall-1", &weight, "--from-version", version];
                fleet.run_cli(n % 3, &args)
            };
            let threads: Vec<_> = (0..4).map(|n| scope.spawn(move || edit(n))).collect();
            threads.into_iter().map(|t| t.join().expect("no panic")).collect()
        });
        let succeeded = outputs.iter().filter(|output| output.status.success()).count();
        let conflicts = outputs.iter().filter(|o| o.status.code() == Some(CONFLICT)).count();
        assert_eq!((succeeded, conflicts), (1, 3), "{outputs:?}");
        accepted += succeeded;
        let newest = stored_table(&fleet).await.revision;
        for daemon in 0..3 {
            wait_for_revision(&fleet, daemon, newest).await;
        }
    }
    let table = stored_table(&fleet).await;
    let accepted_edits =
        table.history.iter().filter(|change| change.rows == ["halls/hall-1"]).count();
    assert_eq!(accepted_edits, accepted);
    for daemon in 0..3 {
        check::revisions_increase(&fleet.log(daemon)).expect("revisions only increase");
    }
}

/// Returns the version of a hall's row in the stored table.
async fn stored_row_version(fleet: &Fleet, hall: &str) -> u64 {
    let table = stored_table(fleet).await;
    table
        .halls
        .iter()
        .find(|row| row.name.as_str() == hall)
        .expect("the table has the hall")
        .version
}

/// Returns the table that was last written to the store.
async fn stored_table(fleet: &Fleet) -> Table {
    let writes = fleet.store_writes().await;
    let tables = writes.iter().rev().find(|write| write["kind"] == "tables");
    let value = tables.expect("a table was written")["value"].clone();
    serde_json::from_value(value).expect("the stored value is a table")
}

/// Guards against an edit that is applied twice: during an outage its outcome is unknown, and the
/// operator repeats it under the same change id.
#[tokio::test(flavor = "multi_thread")]
async fn an_edit_during_an_outage_counts_once() {
    let fleet = Fleet::start(&FleetConfig { daemons: 2, ..FleetConfig::default() }).await;
    let args = ["row", "set", "halls", "hall-1", "weight=2", "--change", "once"];
    fleet.store.set_faults(Faults { down: true, ..Faults::default() }).await;
    assert_eq!(fleet.run_cli(0, &args).status.code(), Some(UNKNOWN));
    fleet.store.set_faults(Faults::default()).await;
    assert!(fleet.run_cli(0, &args).status.success());
    assert!(fleet.run_cli(1, &args).status.success());
    let table = stored_table(&fleet).await;
    assert_eq!(table.history.iter().filter(|change| change.id == "once").count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_daemon_adopts_the_newest_table() {
    let fleet = Fleet::start(&FleetConfig { daemons: 3, ..FleetConfig::default() }).await;
    fleet.daemons[2].store_link.cut();
    fleet.daemons[2].peer_link.cut();
    fleet.daemons[1].process.suspend();
    let output = fleet.run_cli(0, &["row", "set", "halls", "hall-1", "weight=3"]);
    assert!(output.status.success());
    let newest = revision(&fleet, 0).await;
    fleet.daemons[1].process.resume();
    fleet.daemons[2].peer_link.restore();
    fleet.daemons[2].store_link.restore();
    for daemon in 0..3 {
        wait_for_revision(&fleet, daemon, newest).await;
        check::revisions_increase(&fleet.log(daemon)).expect("revisions only increase");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_started_without_the_store_gets_the_table_from_peers() {
    let mut fleet = Fleet::start(&FleetConfig { daemons: 2, ..FleetConfig::default() }).await;
    let newest = revision(&fleet, 0).await;
    fleet.store.set_faults(Faults { down: true, ..Faults::default() }).await;
    fleet.add_daemon("entry-late").await;
    wait_for_revision(&fleet, 2, newest).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_row_gets_no_new_work_and_its_streams_complete() {
    let config = FleetConfig { daemons: 3, engines: 2, step_ms: 20, ..FleetConfig::default() };
    let fleet = Fleet::start(&config).await;
    let targets = addresses(&fleet);
    let streaming: Vec<_> = (0..12)
        .map(|n| {
            let target = targets[n % 3].clone();
            let request = ChatRequest::new(format!("long-{n}")).max_tokens(60);
            tokio::spawn(async move { Caller::default().chat(&target, &request).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(300)).await;
    run_accepted(&fleet, 0, &["drain", "engine-0"]);
    let drained = revision(&fleet, 0).await;
    for daemon in 0..3 {
        wait_for_revision(&fleet, daemon, drained).await;
    }
    let before = runs_at(&fleet, 0).await;
    let attempts = send_all(&fleet, "after", 30).await;
    assert_eq!(check::responses_complete(&attempts), Ok(30), "{attempts:?}");
    assert_eq!(runs_at(&fleet, 0).await, before);
    let mut streams = Vec::new();
    for stream in streaming {
        streams.push(stream.await.expect("the caller does not panic"));
    }
    assert_eq!(check::responses_complete(&streams), Ok(12), "{streams:?}");
    run_accepted(&fleet, 1, &["undrain", "engine-0"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_hall_gets_no_new_work_and_its_streams_complete() {
    let fleet = Fleet::start(&FleetConfig {
        daemons: 2,
        engines: 2,
        step_ms: 20,
        ..FleetConfig::default()
    })
    .await;
    run_accepted(&fleet, 0, &["row", "set", "halls", "hall-2", "weight=1"]);
    run_accepted(&fleet, 0, &["row", "set", "servers", "engine-1", "hall=hall-2"]);
    let target = addresses(&fleet)[0].clone();
    let streaming = tokio::spawn(async move {
        Caller::default().chat(&target, &ChatRequest::new("long".to_owned()).max_tokens(60)).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    run_accepted(&fleet, 0, &["evacuate", "hall-1"]);
    wait_for_revision(&fleet, 1, revision(&fleet, 0).await).await;
    let before = runs_at(&fleet, 0).await;
    let attempts = send_all(&fleet, "evacuated", 20).await;
    assert_eq!(check::responses_complete(&attempts), Ok(20), "{attempts:?}");
    assert_eq!(runs_at(&fleet, 0).await, before);
    let stream = streaming.await.expect("the caller does not panic");
    assert_eq!(check::responses_complete(&[stream]), Ok(1));
    run_accepted(&fleet, 1, &["reopen", "hall-1"]);
    wait_for_revision(&fleet, 0, revision(&fleet, 1).await).await;
    let attempts = send_all(&fleet, "reopened", 40).await;
    assert_eq!(check::responses_complete(&attempts), Ok(40), "{attempts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_listed_as_leaving_gets_no_new_work() {
    let fleet =
        Fleet::start(&FleetConfig { daemons: 2, engines: 2, ..FleetConfig::default() }).await;
    let mut hosts = fleet.hosts();
    hosts.push(Host {
        name: "engine-0".into(),
        hall: "hall-1".into(),
        address: fleet.engines[0].address.to_string(),
        role: HostRole::Server,
        state: HostState::Leaving,
    });
    fleet.set_hosts(&hosts).await;
    for daemon in 0..2 {
        wait_until_listed_leaving(&fleet, daemon).await;
    }
    let before = runs_at(&fleet, 0).await;
    let attempts = send_all(&fleet, "listed", 20).await;
    assert_eq!(check::responses_complete(&attempts), Ok(20), "{attempts:?}");
    assert_eq!(runs_at(&fleet, 0).await, before);
}

/// Waits until a daemon has applied the host list that lists the first engine as leaving.
async fn wait_until_listed_leaving(fleet: &Fleet, daemon: usize) {
    for _ in 0..200 {
        let dump = fleet.operator_get(daemon, "dump").await.unwrap_or_default();
        let servers = dump["servers"].as_array().cloned().unwrap_or_default();
        if servers.iter().any(|s| s["name"] == "engine-0" && s["listed_leaving"] == true) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the daemon never applied the host list");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_refuses_requests_and_others_serve_them() {
    let fleet =
        Fleet::start(&FleetConfig { daemons: 2, engines: 2, ..FleetConfig::default() }).await;
    let orders = format!("http://{}/v1/orders", fleet.engines[0].address);
    let http = reqwest::Client::new();
    let order = |epoch: u64, leave: bool| {
        http.post(&orders).json(&json!({"epoch": epoch, "leave": leave})).send()
    };
    assert!(order(1_000, true).await.expect("the engine answers").status().is_success());
    let attempts = send_all(&fleet, "own-word", 20).await;
    assert_eq!(check::responses_complete(&attempts), Ok(20), "{attempts:?}");
    assert_eq!(runs_at(&fleet, 0).await, 0);
    let stale = order(999, false).await.expect("the engine answers");
    assert_eq!(stale.status(), reqwest::StatusCode::CONFLICT);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_checks_orders_is_ordered_to_leave() {
    let fleet =
        Fleet::start(&FleetConfig { daemons: 3, engines: 2, ..FleetConfig::default() }).await;
    run_accepted(&fleet, 2, &["drain", "engine-1"]);
    let load = format!("http://{}/v1/load", fleet.engines[1].address);
    for _ in 0..200 {
        let report: Value = reqwest::get(&load)
            .await
            .expect("the engine answers")
            .json()
            .await
            .expect("the report is JSON");
        if report["leaving"] == true {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the engine was never ordered to leave");
}

/// Guards against a drained server that still gets requests: a daemon without contact to the store
/// and its peers misses the drain, and a server that checks no orders runs what it is sent.
#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_daemon_sends_nothing_to_servers_that_check_no_orders() {
    let mut config =
        FleetConfig { daemons: 2, engines: 1, ignores_orders: true, ..FleetConfig::default() };
    config.limits["isolation_ms"] = json!(800);
    let mut fleet = Fleet::start_with(&config, |table| {
        table["servers"][0]["checks_orders"] = json!(false);
    })
    .await;
    let attempts = send_all(&fleet, "before", 4).await;
    assert_eq!(check::responses_complete(&attempts), Ok(4), "{attempts:?}");
    fleet.daemons[0].store_link.cut();
    fleet.daemons[0].peer_link.cut();
    fleet.daemons[1].peer_link.cut();
    fleet.wait_for_status(0, |status| status["isolated"] == true).await;
    run_accepted(&fleet, 1, &["drain", "engine-0"]);
    let before = runs_at(&fleet, 0).await;
    let attempt = Caller::default()
        .chat(&fleet.daemons[0].caller_address, &ChatRequest::new("cut-off"))
        .await;
    let AttemptOutcome::NotRun { code, .. } = &attempt.outcome else { panic!("{attempt:?}") };
    assert_eq!(code, "no_server");
    assert_eq!(runs_at(&fleet, 0).await, before);
    let runs = fleet.engine_runs().await;
    assert!(check::not_run_never_executed(&[attempt], &runs, &[]).is_ok());
}

/// Guards against requests that are cut off, and tokens that are lost, when each daemon is shut down
/// gracefully in turn under load.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_stops_of_every_daemon_interrupt_no_request() {
    let config = FleetConfig { daemons: 3, engines: 2, step_ms: 15, ..FleetConfig::default() };
    let mut fleet = Fleet::start(&config).await;
    let targets = addresses(&fleet);
    let stop = Arc::<AtomicBool>::default();
    let callers: Vec<_> =
        (0..6).map(|n| tokio::spawn(run_caller_until(targets.clone(), n, stop.clone()))).collect();
    for daemon in 0..3 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.daemons[daemon].process.terminate();
        assert!(fleet.daemons[daemon].process.wait(), "a graceful shutdown exits with success");
        fleet.restart_daemon(daemon).await;
        wait_for_revision(&fleet, daemon, 1).await;
    }
    stop.store(true, Ordering::SeqCst);
    let mut attempts = Vec::new();
    for caller in callers {
        attempts.extend(caller.await.expect("callers do not panic"));
    }
    let interrupted: Vec<_> =
        attempts.iter().filter(|a| matches!(a.outcome, AttemptOutcome::Unknown { .. })).collect();
    assert!(interrupted.is_empty(), "{interrupted:?}");
    let runs = fleet.engine_runs().await;
    assert!(check::not_run_never_executed(&attempts, &runs, &[]).is_ok());
    for daemon in 0..3 {
        fleet.daemons[daemon].process.terminate();
        assert!(fleet.daemons[daemon].process.wait(), "a graceful shutdown exits with success");
    }
    let shards = bankcove_proofs::fleet::shards(&fleet.store_writes().await);
    let ledgers: Vec<_> = shards.iter().filter_map(|shard| shard.budgets.values().next()).collect();
    let last = ledgers.last().expect("the budget was written");
    let ran: u64 = runs.iter().map(|run| run.prompt_tokens + run.output_tokens).sum();
    assert!(last.grants.is_empty(), "{last:?}");
    assert_eq!(last.retired, ran as i64, "all tokens that were not returned were spent");
}

/// Runs one caller that sends requests until `stop` is set, and returns its attempts.
async fn run_caller_until(targets: Vec<String>, n: usize, stop: Arc<AtomicBool>) -> Vec<Attempt> {
    let caller = Caller::default();
    let mut attempts = Vec::new();
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let request = ChatRequest::new(format!("rolling-{n}-{count}")).max_tokens(30);
        attempts.extend(caller.chat_until_done(&targets, &request, 10).await);
    }
    attempts
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_during_an_outage_returns_held_tokens_once_the_store_is_back() {
    let mut fleet = Fleet::start(&FleetConfig { daemons: 2, ..FleetConfig::default() }).await;
    for target in addresses(&fleet) {
        let attempt =
            Caller::default().chat(&target, &ChatRequest::new(format!("held-{target}"))).await;
        assert!(matches!(attempt.outcome, AttemptOutcome::Done { .. }), "{attempt:?}");
    }
    fleet.store.set_faults(Faults { down: true, ..Faults::default() }).await;
    for daemon in &fleet.daemons {
        daemon.process.terminate();
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.store.set_faults(Faults::default()).await;
    for daemon in &mut fleet.daemons {
        assert!(daemon.process.wait(), "a graceful shutdown exits with success");
    }
    let shards = bankcove_proofs::fleet::shards(&fleet.store_writes().await);
    let last = shards.last().and_then(|shard| shard.budgets.values().next());
    let last = last.expect("the budget was written");
    let runs = fleet.engine_runs().await;
    let ran: u64 = runs.iter().map(|run| run.prompt_tokens + run.output_tokens).sum();
    assert!(last.grants.is_empty(), "{last:?}");
    assert_eq!(last.retired, ran as i64);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_peers_older_host_list_does_not_replace_a_newer_one() {
    let mut fleet = Fleet::start(&FleetConfig { daemons: 3, ..FleetConfig::default() }).await;
    // The first two daemons read the list for their hall, and do not receive its change.
    for daemon in &fleet.daemons[..2] {
        daemon.store_link.cut();
    }
    let mut hosts = fleet.hosts();
    let newcomer = Host { name: Name::from("entry-9"), ..hosts[0].clone() };
    hosts.push(newcomer);
    fleet.set_hosts(&hosts).await;
    // Until it knows its peers, the third daemon reads the store itself.
    fleet.daemons[2].process.kill();
    fleet.restart_daemon(2).await;
    let knows_newcomer = |status: &Value| has_peer(status, "entry-9");
    fleet.wait_for_status(2, knows_newcomer).await;
    for _ in 0..HOST_LIST_POLLS {
        tokio::time::sleep(HOST_LIST_POLL_INTERVAL).await;
        let status = fleet.operator_get(2, "status").await.expect("the daemon answers");
        assert!(knows_newcomer(&status), "{status}");
    }
}
