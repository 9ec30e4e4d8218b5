//! Guards against a deadlock between concurrent tasks of one daemon.
//!
//! Composing a heartbeat held the lock of the server list while it waited for the router's;
//! adopting a table took the two locks in the opposite order. Right after the start of a
//! fleet, a daemon in this state answered no request any more, not even from operators,
//! although its process was still running.

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::Duration;

use bankcove_core::table::Table;
use bankcoved::base::config::Config;
use bankcoved::base::logging;
use bankcoved::daemon::Daemon;
use bankcoved::view::table_sync;

/// Number of rounds of each task; if a deadlock is possible, it occurs within the first few
/// thousand.
const ROUNDS: u64 = 100_000;

/// Time after which a deadlock is assumed; the tasks take 1 s alone.
const DEADLOCK_TIMEOUT: Duration = Duration::from_secs(120);

#[test]
fn heartbeats_and_table_adoptions_do_not_deadlock() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be made");
    let daemon =
        Daemon::new(Config::example(), logging::discard()).expect("the daemon can be set up");
    let (tx, rx) = channel();
    let (sender, heartbeats_tx) = (Arc::clone(&daemon), tx.clone());
    std::thread::spawn(move || {
        for _ in 0..ROUNDS {
            sender.membership.heartbeat();
        }
        heartbeats_tx.send("heartbeats")
    });
    std::thread::spawn(move || {
        let _entered = runtime.enter();
        for revision in 1..=ROUNDS {
            table_sync::adopt(&daemon.view, Table { revision, ..Table::default() });
        }
        tx.send("tables")
    });
    for _ in 0..2 {
        rx.recv_timeout(DEADLOCK_TIMEOUT).expect("the tasks do not deadlock");
    }
}
