//! Stand-in for the platform's object API and host list.
//!
//! API: `GET|PUT /v1/objects/KIND/NAME` with `if_version`, `GET /v1/objects/KIND`,
//! `GET /v1/watch/KIND/NAME` and `GET /v1/hosts`. Control: `PUT /hosts`, `PUT /faults`,
//! `GET /history` and `GET /counts`.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bankcove_core::members::Host;
use bankcove_ports::ListPage;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use salvo::affix_state;
use salvo::prelude::*;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::faults::Faults;
use crate::serve::{MAX_BODY_BYTES, RunningStandIn};

/// Seed of the random choice of the writes whose response is lost.
const LOST_ANSWERS_SEED: u64 = 7;

/// Longest wait of a watch, in milliseconds.
const MAX_WATCH_MS: u64 = 60_000;

/// Number of calls received and bytes written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, serde::Deserialize)]
pub struct CallCounts {
    /// Number of reads of objects, names and hosts.
    pub reads: u64,
    /// Number of write attempts, with those that failed.
    pub writes: u64,
    /// Number of watches.
    pub watches: u64,
    /// Total size of the values written, in bytes.
    pub bytes_written: u64,
    /// Size of the largest value written, in bytes.
    pub largest_value: u64,
}

struct State {
    /// Version and value of each object, by kind and name.
    objects: HashMap<String, BTreeMap<String, (u64, Value)>>,
    /// All host lists that were set, oldest first, with the time of each.
    hosts: Vec<(Instant, Vec<Host>)>,
    faults: Faults,
    counts: CallCounts,
    /// Accepted writes, in order.
    history: Vec<Value>,
    rng: StdRng,
}

struct Store {
    state: Mutex<State>,
    /// Notified after each write.
    changed: Notify,
}

/// Starts the stand-in on `listen`, an IP address and port.
///
/// # Errors
/// If `listen` is not an address or can't be listened on.
pub async fn start(listen: &str) -> std::io::Result<RunningStandIn> {
    let store = Arc::new(Store {
        state: Mutex::new(State {
            objects: HashMap::new(),
            hosts: Vec::new(),
            faults: Faults::default(),
            counts: CallCounts::default(),
            history: Vec::new(),
            rng: StdRng::seed_from_u64(LOST_ANSWERS_SEED),
        }),
        changed: Notify::new(),
    });
    RunningStandIn::start(listen, routes(store)).await
}

fn routes(store: Arc<Store>) -> Router {
    let api = Router::with_path("v1")
        .hoop(inject_faults)
        .push(Router::with_path("objects/{kind}").get(list))
        .push(Router::with_path("objects/{kind}/{name}").get(read).put(write))
        .push(Router::with_path("watch/{kind}/{name}").get(watch))
        .push(Router::with_path("hosts").get(list_hosts));
    Router::new()
        .hoop(affix_state::inject(store))
        .push(api)
        .push(Router::with_path("hosts").put(put_hosts))
        .push(Router::with_path("faults").put(put_faults))
        .push(Router::with_path("counts").get(counts))
        .push(Router::with_path("history").get(history))
}

fn store(depot: &Depot) -> Arc<Store> {
    let store = depot.obtain::<Arc<Store>>();
    Arc::clone(store.expect("the store is injected into every route"))
}

/// Returns the kind and name in the path of a request.
fn object_path(req: &Request) -> (String, String) {
    (req.param("kind").unwrap_or_default(), req.param("name").unwrap_or_default())
}

/// Delays each API call, or fails it, as the faults require.
#[handler]
async fn inject_faults(depot: &mut Depot, res: &mut Response, ctrl: &mut FlowCtrl) {
    let faults = store(depot).state.lock().faults;
    tokio::time::sleep(faults.delay()).await;
    if faults.down {
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        ctrl.skip_rest();
    }
}

#[handler]
async fn read(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let (kind, name) = object_path(req);
    let store = store(depot);
    let mut state = store.state.lock();
    state.counts.reads += 1;
    render_object(state.object(&kind, &name), res);
}

fn render_object(object: Option<&(u64, Value)>, res: &mut Response) {
    match object {
        Some((version, value)) => res.render(Json(json!({"version": version, "value": value}))),
        None => {
            res.status_code(StatusCode::NOT_FOUND);
        }
    }
}

#[handler]
async fn write(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let (kind, name) = object_path(req);
    let expect: u64 = req.query("if_version").unwrap_or(0);
    let payload = req.payload_with_max_size(MAX_BODY_BYTES).await;
    let Some(body) = payload.ok().cloned() else {
        res.status_code(StatusCode::BAD_REQUEST);
        return;
    };
    let Ok(value) = serde_json::from_slice::<Value>(&body) else {
        res.status_code(StatusCode::BAD_REQUEST);
        return;
    };
    let store = store(depot);
    let mut state = store.state.lock();
    state.counts.writes += 1;
    let current = state.object(&kind, &name).map_or(0, |(version, _)| *version);
    if current != expect {
        res.status_code(StatusCode::CONFLICT);
        res.render(Json(json!({"version": current})));
        return;
    }
    let version = current + 1;
    state.counts.bytes_written += body.len() as u64;
    state.counts.largest_value = state.counts.largest_value.max(body.len() as u64);
    let event =
        json!({"event": "write", "kind": kind, "name": name, "version": version, "value": value});
    state.history.push(event);
    state.objects.entry(kind).or_default().insert(name, (version, value));
    let lost_fraction = state.faults.lose_answers;
    let is_lost = lost_fraction > 0.0 && state.rng.random_bool(lost_fraction.min(1.0));
    drop(state);
    store.changed.notify_waiters();
    if is_lost {
        res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        return;
    }
    res.render(Json(json!({"version": version})));
}

/// Returns the object once its version is above `after`, or 204 at the end of the wait.
#[handler]
async fn watch(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let (kind, name) = object_path(req);
    let after: u64 = req.query("after").unwrap_or(0);
    let wait: u64 = req.query("timeout_ms").unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(wait.min(MAX_WATCH_MS));
    let store = store(depot);
    store.state.lock().counts.watches += 1;
    loop {
        let changed = store.changed.notified();
        {
            let state = store.state.lock();
            let object = state.object(&kind, &name);
            if !state.faults.down && object.is_some_and(|(version, _)| *version > after) {
                render_object(object, res);
                return;
            }
        }
        if tokio::time::timeout_at(deadline.into(), changed).await.is_err() {
            res.status_code(StatusCode::NO_CONTENT);
            return;
        }
    }
}

#[handler]
async fn list(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let kind: String = req.param("kind").unwrap_or_default();
    let limit: usize = req.query("limit").unwrap_or(1_000);
    let descending = req.query::<String>("order").as_deref() == Some("descending");
    let store = store(depot);
    let mut state = store.state.lock();
    state.counts.reads += 1;
    let objects = state.objects.get(&kind);
    let names = objects.into_iter().flat_map(|objects| objects.keys().cloned());
    let mut names: Vec<String> = names.collect();
    if descending {
        names.reverse();
    }
    names.truncate(limit);
    res.render(Json(ListPage { names }));
}

/// Returns the newest host list that is at least as old as the lag in the faults.
#[handler]
async fn list_hosts(depot: &mut Depot, res: &mut Response) {
    let store = store(depot);
    let mut state = store.state.lock();
    state.counts.reads += 1;
    let lag = Duration::from_millis(state.faults.hosts_lag_ms);
    let visible = state.hosts.iter().rev().find(|(at, _)| at.elapsed() >= lag);
    let hosts = visible.map(|(_, hosts)| hosts.clone()).unwrap_or_default();
    res.render(Json(json!({"hosts": hosts})));
}

#[handler]
async fn put_hosts(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    match req.parse_json::<Vec<Host>>().await {
        Ok(hosts) => store(depot).state.lock().hosts.push((Instant::now(), hosts)),
        Err(e) => render_bad_request(res, &e),
    }
}

#[handler]
async fn put_faults(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    match req.parse_json::<Faults>().await {
        Ok(faults) => store(depot).state.lock().faults = faults,
        Err(e) => render_bad_request(res, &e),
    }
}

fn render_bad_request(res: &mut Response, e: &impl std::fmt::Display) {
    res.status_code(StatusCode::BAD_REQUEST);
    res.render(Text::Plain(e.to_string()));
}

#[handler]
async fn counts(depot: &mut Depot, res: &mut Response) {
    res.render(Json(store(depot).state.lock().counts));
}

#[handler]
async fn history(depot: &mut Depot, res: &mut Response) {
    res.render(Json(&store(depot).state.lock().history));
}

impl State {
    fn object(&self, kind: &str, name: &str) -> Option<&(u64, Value)> {
        self.objects.get(kind).and_then(|objects| objects.get(name))
    }
}
