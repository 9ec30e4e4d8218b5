//! CONFIG: all machines are cut off from the store while large configurations come in quick succession.

use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::time::sleep;

use crate::Record;
use crate::cases::{config, get, plain_route};
use crate::fleet::Fleet;
use crate::runner::{Runner, Runs, Work};

/// Routes that one step of growth adds, and the number of steps.
const ROUTES_A_STEP: usize = 350;
const STEPS: usize = 10;

/// Pause between two configurations, and how many come during the cut.
const STORM_GAP: Duration = Duration::from_millis(224);
const STORM: usize = 21;

/// Length of the cut.
const CUT: Duration = Duration::from_millis(8_800);

/// Time after the cut from which the machines are in touch, `contact-ms`.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Bound of the rule, `apply-ms`.
const APPLY: Duration = Duration::from_millis(2_000);

/// For how long the newest route is asked for after the cut.
const WATCHED: Duration = Duration::from_millis(25_000);

pub async fn run(record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    let zones = [("attica-a", 2), ("attica-b", 2), ("attica-c", 2)];
    let mut fleet = Fleet::new("attica", &zones).await;
    let runs = Runs::default();
    let mut routes: Vec<Value> = vec![plain_route("r-0", "/first/")];
    let mut version = 1;
    fleet.store.put("config", "main", config(version, &routes));
    let mut runners = Vec::new();
    for (zone, _) in zones {
        let address = fleet.runner_address();
        let work = Work::Plain(Duration::from_millis(5));
        runners.push(
            Runner::start(&fleet.store, address, "order-api", zone, 6, work, &runs).await,
        );
    }
    if !fleet.start().await {
        return Err("the daemons are not ready".to_owned());
    }
    record.add("6 daemons are ready".to_owned());
    sleep(Duration::from_secs(5)).await;
    for step in 0..STEPS {
        for n in 0..ROUTES_A_STEP {
            let name = format!("r-grown-{step:02}-{n:03}");
            routes.push(plain_route(&name, &format!("/grown/{step:02}/{n:03}/")));
        }
        version += 1;
        fleet.store.put("config", "main", config(version, &routes));
        sleep(Duration::from_millis(1_000)).await;
    }
    let bytes = config(version, &routes).to_string().len();
    record.add(format!("the configuration has {} routes and {bytes} bytes", routes.len()));
    if bytes > 1 << 20 {
        return Err("the configuration is larger than the store's values".to_owned());
    }
    sleep(Duration::from_secs(3)).await;
    if let Some(other) = ask_all(&fleet, "/grown/09/349/1", "before").await.iter().find(|s| **s != 200) {
        return Err(format!("the last grown route is not served before the cut: {other}"));
    }
    if has_trouble {
        fleet.machines.iter().for_each(|machine| machine.path.cut());
        record.add("all machines are cut off from the store".to_owned());
    }
    let cut_at = Instant::now();
    let mut acked = Instant::now();
    for n in 0..STORM {
        routes.push(plain_route(&format!("r-new-{n:02}"), &format!("/new/{n:02}/")));
        version += 1;
        acked = fleet.store.put("config", "main", config(version, &routes));
        record.add_at(acked, format!("configuration {version} with route /new/{n:02}/ is acknowledged"));
        sleep(STORM_GAP).await;
    }
    sleep(CUT.saturating_sub(cut_at.elapsed())).await;
    fleet.machines.iter().for_each(|machine| machine.path.heal());
    let healed = Instant::now();
    record.add("the cut ends".to_owned());
    let newest = format!("/new/{:02}/1", STORM - 1);
    let (mut late, mut last) = (0, Duration::ZERO);
    let mut round = 0;
    while healed.elapsed() < WATCHED {
        round += 1;
        let sent = Instant::now();
        let answers = ask_all(&fleet, &newest, &format!("n{round:03}")).await;
        record.add_at(sent, format!("newest route asked for at each daemon: {answers:?}"));
        let is_judged = sent.duration_since(healed) > CONTACT && sent.duration_since(acked) > APPLY;
        let refused = answers.iter().filter(|status| **status == 404).count();
        if is_judged && refused > 0 {
            late += refused;
            last = sent.duration_since(healed);
        }
        sleep(Duration::from_millis(200)).await;
    }
    Ok((late > 0).then(|| {
        format!(
            "CONFIG: {late} requests on a route that was acknowledged before the end of the cut got 404 \
             from machines in touch, the last one {:.1} s after the cut",
            last.as_secs_f64()
        )
    }))
}

/// Asks for a path at each daemon; returns the statuses.
async fn ask_all(fleet: &Fleet, path: &str, name: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for (index, machine) in fleet.machines.iter().enumerate() {
        statuses.push(get(&machine.front(), &format!("{name}-{index}"), path).await.status());
    }
    statuses
}
