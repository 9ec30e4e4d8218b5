//! Fault scenarios: a load of requests during which faults are injected, and an audit of the
//! recorded histories afterwards.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::{Name, RequestHash};
use bankcove_standins::faults::Faults;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::caller::{
    Attempt, AttemptOutcome, Caller, ChatRequest, ServiceResponse, parse_error_body,
};
use crate::check::{self, Violation};
use crate::fleet::{Fleet, FleetConfig, segments, shards};

/// Duration of the load, during which the faults begin and end.
const LOAD_DURATION: Duration = Duration::from_secs(4);

/// Time from the start of the load to the start of the faults, and from there to their end.
const FAULT_START: Duration = Duration::from_millis(800);
const FAULT_DURATION: Duration = Duration::from_millis(2_000);

/// Price of a call in the table of the tests, in tokens.
const CALL_TOKENS: u64 = 5;

/// Time for which callers wait for one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 6;

/// Length of a request hash at the start of a run id, in hexadecimal digits.
const REQUEST_HASH_DIGITS: usize = 32;

/// Number of tokens of a top-up.
const TOP_UP_TOKENS: u64 = 1_000;

/// A fault that is injected during the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed while streams are open, and restarted.
    KillDaemon,
    /// A daemon is suspended, then resumed.
    FreezeDaemon,
    /// A daemon can't be reached by its peers.
    CutPeers,
    /// A daemon can't reach the store.
    CutStore,
    /// A daemon's calls reach the store, but the responses do not reach the daemon.
    CutStoreAnswers,
    /// The store answers every call with an error.
    StoreDown,
    /// The store delays every response.
    StoreSlow,
    /// Half of the writes take effect but are answered with an error.
    LostAnswers,
    /// The budget is topped up while a daemon is cut off from the store and from its peers.
    TopUpDuringPartition,
    /// The host list is empty.
    HostListEmpty,
    /// An engine is killed.
    EngineDead,
    /// An engine is slowed down tenfold.
    EngineSlow,
    /// An engine inserts chunks of another run into its streams.
    EngineMisdirects,
    /// An engine sends each chunk twice and breaks off streams.
    EngineRepeatsAndCuts,
    /// A daemon is shut down gracefully with SIGTERM, and restarted.
    PlannedStop,
}

/// All faults.
pub const FAULTS: [Fault; 15] = [
    Fault::KillDaemon,
    Fault::FreezeDaemon,
    Fault::CutPeers,
    Fault::CutStore,
    Fault::CutStoreAnswers,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::LostAnswers,
    Fault::TopUpDuringPartition,
    Fault::HostListEmpty,
    Fault::EngineDead,
    Fault::EngineSlow,
    Fault::EngineMisdirects,
    Fault::EngineRepeatsAndCuts,
    Fault::PlannedStop,
];

/// Settings of one run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Seed of the random choices of the load.
    pub seed: u64,
    /// The faults; each affects a different daemon if there are enough.
    pub faults: Vec<Fault>,
    /// Tokens of the budget.
    pub tokens: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of concurrent callers.
    pub callers: usize,
}

impl Scenario {
    /// Creates a scenario with three daemons, eight callers and a budget that runs out.
    pub fn new(seed: u64, faults: &[Fault]) -> Self {
        Scenario { seed, faults: faults.to_vec(), tokens: 2_500, daemons: 3, callers: 8 }
    }
}

/// Summary of a run without violations.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Number of attempts of all callers.
    pub attempts: usize,
    /// Number of attempts with a complete response.
    pub done: usize,
    /// Number of attempts answered with "not run".
    pub not_run: usize,
    /// Number of attempts answered with "unknown" or without a complete response.
    pub unknown: usize,
    /// Number of tokens spent at engines and by calls.
    pub spent: u64,
    /// Tokens of the budget, including top-ups.
    pub budget: u64,
    /// Number of bills.
    pub bills: usize,
    /// Number of runs and calls that must not be repeated.
    pub non_repeatable: usize,
}

/// Runs a scenario and checks all guarantees.
///
/// # Errors
/// The first violated guarantee.
pub async fn run(scenario: &Scenario) -> Result<Report, Violation> {
    let config = FleetConfig {
        daemons: scenario.daemons,
        engines: 2,
        services: 1,
        tokens: scenario.tokens,
        step_ms: 5,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::start(&config).await;
    let targets: Arc<Vec<String>> =
        Arc::new(fleet.daemons.iter().map(|daemon| daemon.caller_address.clone()).collect());
    let end = tokio::time::Instant::now() + LOAD_DURATION;
    let callers = (0..scenario.callers)
        .map(|n| tokio::spawn(run_caller(scenario.seed, n, Arc::clone(&targets), end)));
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(FAULT_START).await;
    for (n, fault) in scenario.faults.iter().enumerate() {
        begin_fault(&mut fleet, *fault, n % scenario.daemons).await;
    }
    tokio::time::sleep(FAULT_DURATION).await;
    for (n, fault) in scenario.faults.iter().enumerate() {
        end_fault(&mut fleet, *fault, n % scenario.daemons).await;
    }
    let mut attempts = Vec::new();
    for caller in callers {
        attempts.extend(caller.await.expect("callers do not panic"));
    }
    let top_ups =
        scenario.faults.iter().filter(|fault| **fault == Fault::TopUpDuringPartition).count();
    let budget = scenario.tokens + TOP_UP_TOKENS * top_ups as u64;
    wait_until_idle(&fleet).await;
    audit(&mut fleet, &attempts, budget).await
}

/// Runs one caller until `end`: sends one request after the other, each until it is done or out of
/// attempts. Returns all attempts.
async fn run_caller(
    seed: u64,
    n: usize,
    targets: Arc<Vec<String>>,
    end: tokio::time::Instant,
) -> Vec<Attempt> {
    let mut rng = StdRng::seed_from_u64(seed * 1_000 + n as u64);
    let caller = Caller::default();
    let mut attempts = Vec::new();
    let mut count = 0;
    while tokio::time::Instant::now() < end {
        count += 1;
        let key = format!("{seed}-{n}-{count}");
        let kind: f64 = rng.random();
        let first: usize = rng.random_range(0..targets.len());
        let order: Vec<String> =
            (0..targets.len()).map(|i| targets[(first + i) % targets.len()].clone()).collect();
        if kind < 0.15 {
            attempts.extend(post_twice(&caller, &order, &key).await);
            continue;
        }
        let mut request =
            ChatRequest::new(key).max_tokens(rng.random_range(4..40)).timeout(ATTEMPT_TIMEOUT);
        if kind < 0.4 {
            request = request.unstreamed();
        }
        if kind < 0.3 {
            request = request.non_repeatable();
        }
        attempts.extend(caller.chat_until_done(&order, &request, MAX_ATTEMPTS).await);
    }
    attempts
}

/// Posts the same call to the plain service, which must not be repeated, through two daemons at the
/// same time. Returns both attempts.
async fn post_twice(caller: &Caller, daemons: &[String], key: &str) -> Vec<Attempt> {
    let body = format!("order {key}");
    let post = |daemon: &String| {
        let daemon = daemon.clone();
        let (caller, body, key) = (caller.clone(), body.clone(), key.to_owned());
        async move { caller.post(&daemon, "/orders/new", &key, &body, ATTEMPT_TIMEOUT).await }
    };
    let (first, second) = tokio::join!(post(&daemons[0]), post(&daemons[1 % daemons.len()]));
    [first, second].into_iter().map(|response| service_attempt(key, response)).collect()
}

/// Returns the attempt of a call to the plain service. An accepted call counts as unknown, because
/// its response has no tokens to check.
fn service_attempt(key: &str, response: Option<ServiceResponse>) -> Attempt {
    let outcome = match &response {
        None => AttemptOutcome::Unknown { code: "no answer".to_owned() },
        Some(ServiceResponse { status: 201, .. }) => {
            AttemptOutcome::Unknown { code: "ordered".to_owned() }
        }
        Some(response) => parse_error_body(&response.body),
    };
    let attempt_id = response.and_then(|response| response.attempt_id);
    Attempt { key: key.to_owned(), attempt_id, run_id: None, outcome }
}

/// Injects a fault, at `daemon` if it concerns a daemon.
async fn begin_fault(fleet: &mut Fleet, fault: Fault, daemon: usize) {
    match fault {
        Fault::KillDaemon => fleet.daemons[daemon].process.kill(),
        Fault::FreezeDaemon => fleet.daemons[daemon].process.suspend(),
        Fault::CutPeers => fleet.daemons[daemon].peer_link.cut(),
        Fault::CutStore => fleet.daemons[daemon].store_link.cut(),
        Fault::CutStoreAnswers => fleet.daemons[daemon].store_link.cut_from_target(true),
        Fault::StoreDown => {
            fleet.store.set_faults(Faults { down: true, ..Faults::default() }).await;
        }
        Fault::StoreSlow => {
            fleet.store.set_faults(Faults { delay_ms: 300, ..Faults::default() }).await;
        }
        Fault::LostAnswers => {
            fleet.store.set_faults(Faults { lose_answers: 0.5, ..Faults::default() }).await;
        }
        Fault::TopUpDuringPartition => {
            fleet.daemons[daemon].peer_link.cut();
            fleet.daemons[daemon].store_link.cut();
            let other = (daemon + 1) % fleet.daemons.len();
            top_up(fleet, other).await;
        }
        Fault::HostListEmpty => fleet.set_hosts(&[]).await,
        Fault::EngineDead => fleet.engines[1].process.kill(),
        Fault::EngineSlow => {
            fleet.engines[0].set_faults(Faults { slow_factor: 10, ..Faults::default() }).await;
        }
        Fault::EngineMisdirects => {
            fleet.engines[0].set_faults(Faults { misdirect: true, ..Faults::default() }).await;
        }
        Fault::EngineRepeatsAndCuts => {
            let faults = Faults { repeat: true, cut_after: 3, ..Faults::default() };
            fleet.engines[0].set_faults(faults).await;
        }
        Fault::PlannedStop => fleet.daemons[daemon].process.terminate(),
    }
}

/// Ends a fault.
async fn end_fault(fleet: &mut Fleet, fault: Fault, daemon: usize) {
    match fault {
        Fault::KillDaemon => fleet.restart_daemon(daemon).await,
        Fault::PlannedStop => {
            assert!(fleet.daemons[daemon].process.wait(), "a graceful shutdown exits with success");
            fleet.restart_daemon(daemon).await;
        }
        Fault::FreezeDaemon => fleet.daemons[daemon].process.resume(),
        Fault::CutPeers => fleet.daemons[daemon].peer_link.restore(),
        Fault::CutStore | Fault::CutStoreAnswers => fleet.daemons[daemon].store_link.restore(),
        Fault::StoreDown | Fault::StoreSlow | Fault::LostAnswers => {
            fleet.store.set_faults(Faults::default()).await;
        }
        Fault::TopUpDuringPartition => {
            fleet.daemons[daemon].peer_link.restore();
            fleet.daemons[daemon].store_link.restore();
        }
        Fault::HostListEmpty => fleet.publish_hosts().await,
        Fault::EngineDead => {}
        Fault::EngineSlow | Fault::EngineMisdirects | Fault::EngineRepeatsAndCuts => {
            fleet.engines[0].set_faults(Faults::default()).await;
        }
    }
}

/// Tops up the budget through this daemon, with a fixed change id.
async fn top_up(fleet: &Fleet, daemon: usize) {
    let tokens = TOP_UP_TOKENS.to_string();
    let change = format!("top-up-{daemon}");
    let args = ["budget", "top-up", "main", &tokens, "--change", &change];
    // The result is ignored: the audit assumes that the top-up was recorded, so only spending above
    // the increased budget is a violation.
    let _sent = fleet.run_cli(daemon, &args);
}

/// Waits until no daemon has unwritten bills or requests in flight.
async fn wait_until_idle(fleet: &Fleet) {
    for index in 0..fleet.daemons.len() {
        fleet
            .wait_for_status(index, |status| {
                status["bills_waiting"] == 0 && status["requests_in_flight"] == 0
            })
            .await;
    }
}

/// Reads all histories and checks all guarantees.
///
/// # Errors
/// The first violated guarantee.
pub async fn audit(
    fleet: &mut Fleet,
    attempts: &[Attempt],
    budget: u64,
) -> Result<Report, Violation> {
    let runs = fleet.engine_runs().await;
    let calls = fleet.service_calls().await;
    let writes = fleet.store_writes().await;
    let bills = check::bills(&segments(&writes));
    let request_of = |key: &str| RequestHash::of(&Name::from("dispatch"), key);
    let spent = check::spend_within_budget(&runs, calls.len() as u64 * CALL_TOKENS, budget)?;
    check::grants_within_budgets(&shards(&writes))?;
    check::billed_once(attempts, &bills, request_of)?;
    let done = check::responses_complete(attempts)?;
    let not_run = check::not_run_never_executed(attempts, &runs, &calls)?;
    let once_calls = check::at_most_once(calls.iter().map(|call| call.run.as_str()))?;
    let claimed = check::claimed_requests(&segments(&writes));
    let once_runs = runs.iter().filter(|run| claimed.contains(&run.run[..REQUEST_HASH_DIGITS]));
    let once_runs = check::at_most_once(once_runs.map(|run| run.run.as_str()))?;
    for index in 0..fleet.daemons.len() {
        check::revisions_increase(&fleet.log(index))?;
    }
    Ok(Report {
        attempts: attempts.len(),
        done,
        not_run,
        unknown: attempts.len() - done - not_run,
        spent,
        budget,
        bills: bills.len(),
        non_repeatable: once_calls + once_runs,
    })
}
