//! LOST: runners send their answers before they have read the whole body of a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::Record;
use crate::cases::{HOST, KEY, config, plain_route};
use crate::fleet::Fleet;
use crate::http::Connection;
use crate::runner::{Runner, Runs, Work};

/// Body of a request: the largest of the sheet's prompts.
const BODY_BYTES: usize = 72_000;

/// Requests to each of two machines, and the pause between two of them.
const REQUESTS: usize = 30;
const PAUSE: Duration = Duration::from_millis(50);

/// Events of a stream, and the pause between two of them: 4 s in all.
const EVENTS: u32 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// What became of one request.
struct Outcome {
    id: String,
    status: u16,
    is_whole: bool,
    lasted: Duration,
}

type Outcomes = Arc<Mutex<Vec<Outcome>>>;

pub async fn run(record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    let zones = [("attica-a", 2), ("attica-b", 2), ("attica-c", 2)];
    let mut fleet = Fleet::new("attica", &zones).await;
    let runs = Runs::default();
    let mut spec = config(1, &[plain_route("r-stock", "/stock/")]);
    let stream = json!({
        "name": "r-quote", "host": HOST, "prefix": "/quote/", "kind": "stream", "timeout-ms": 15000,
        "goal-ms": 1000, "priority": 0, "service": "lm-pool", "max-tries": 2, "public": false,
        "sticky": true, "resumable": false, "gap_aim_ms": 400
    });
    let engine = json!({
        "name": "lm-pool", "health-path": "/health", "max-conns": 370, "protocol": "h1", "tls": false,
        "engine": {"slots": 64, "kv-tokens": 552156, "stride": 6}
    });
    spec["routes"].as_array_mut().map(|routes| routes.push(stream));
    spec["services"].as_array_mut().map(|services| services.push(engine));
    fleet.store.put("config", "main", spec);
    let mut runners = Vec::new();
    for (zone, _) in zones {
        let (plain, engine) = (fleet.runner_address(), fleet.runner_address());
        let work = Work::Plain(Duration::from_millis(20));
        runners.push(Runner::start(&fleet.store, plain, "order-api", zone, 6, work, &runs).await);
        let work = Work::NarrowStream(EVENTS, EVENT_PAUSE, has_trouble);
        runners.push(Runner::start(&fleet.store, engine, "lm-pool", zone, 64, work, &runs).await);
    }
    if !fleet.start().await {
        return Err("the daemons are not ready".to_owned());
    }
    record.add("6 daemons are ready".to_owned());
    sleep(Duration::from_secs(5)).await;
    let calm = send_all(record, &fleet.machines[0].front(), "k").await;
    sleep(Duration::from_secs(6)).await;
    let stopped = send_all(record, &fleet.machines[2].front(), "t").await;
    record.add("the second machine gets SIGTERM".to_owned());
    fleet.machines[2].terminate();
    sleep(Duration::from_secs(7)).await;
    let ran = |id: &str| runs.lock().iter().any(|run| run.request == id);
    let lost = |outcomes: &Outcomes| {
        let outcomes = outcomes.lock();
        outcomes.iter().filter(|one| !one.is_whole && ran(&one.id)).count()
    };
    let (calm_lost, stopped_lost) = (lost(&calm), lost(&stopped));
    let longest = |outcomes: &Outcomes| {
        outcomes.lock().iter().filter(|one| !one.is_whole).map(|one| one.lasted).max()
    };
    let longest = longest(&calm).max(longest(&stopped)).unwrap_or_default();
    record.add(format!(
        "of {REQUESTS} each, {calm_lost} at the first machine and {stopped_lost} at the one with SIGTERM \
         were cut after a runner had them"
    ));
    Ok((calm_lost > 3 || stopped_lost > 3).then(|| {
        format!(
            "LOST: of {REQUESTS} streams from kept connections at each of two machines {calm_lost} and, \
             around a SIGTERM, {stopped_lost} were cut, at the latest {} ms after they were sent",
            longest.as_millis()
        )
    }))
}

/// Sends all requests to a daemon; the outcomes come as the requests end.
async fn send_all(record: &Record, front: &str, name: &str) -> Outcomes {
    let outcomes = Outcomes::default();
    for n in 0..REQUESTS {
        let (record, front, outcomes) = (record.clone(), front.to_owned(), Arc::clone(&outcomes));
        let id = format!("{name}{n:03}");
        tokio::spawn(async move {
            let outcome = send(&front, id).await;
            record.add(format!(
                "request {} ended {} ms after it was sent: {}, whole: {}",
                outcome.id,
                outcome.lasted.as_millis(),
                outcome.status,
                outcome.is_whole
            ));
            outcomes.lock().push(outcome);
        });
        sleep(PAUSE).await;
    }
    outcomes
}

/// Sends a small request and then a stream request over one connection.
async fn send(front: &str, id: String) -> Outcome {
    let begun = Instant::now();
    let exchanged = exchange(front, &id).await;
    let (status, is_whole, sent) = exchanged.unwrap_or((0, false, begun));
    Outcome { id, status, is_whole, lasted: sent.elapsed() }
}

/// Returns the status of the stream, whether it is whole, and when it was asked for.
async fn exchange(front: &str, id: &str) -> std::io::Result<(u16, bool, Instant)> {
    let mut connection = Connection::new(TcpStream::connect(front).await?);
    let small = format!(
        "GET /stock/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: s{id}\r\nX-Deadline-Ms: 1500\r\n\
         X-Key: {KEY}\r\n\r\n"
    );
    connection.write(small.as_bytes()).await?;
    connection.read().await?;
    let sent = Instant::now();
    let head = format!(
        "POST /quote/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Count: 11992,400\r\nX-Prefix-Hash: 5c1e07a2:5382,e4402b7d:6610\r\n\
         X-Deadline-Ms: 15000\r\nX-Key: {KEY}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    connection.write(head.as_bytes()).await?;
    connection.write(&vec![b'x'; BODY_BYTES]).await?;
    let answer = connection.read().await?;
    Ok(answer.map_or((0, false, sent), |answer| (answer.status(), answer.is_whole, sent)))
}
