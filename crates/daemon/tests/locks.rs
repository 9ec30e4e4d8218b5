//! Tasks of one daemon run at the same time and must not wait for each other for ever.
//!
//! Symptom: once, right after the start of a fleet, a daemon answered nobody any more,
//! not even its operators, and its process still ran. Sequence: a heartbeat was written
//! while a table was put in force. Cause: the heartbeat kept the lock of the list of
//! servers while it waited for the router's, an adoption took them the other way round.

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::Duration;

use bankcove_core::table::Table;
use bankcoved::base::config::Config;
use bankcoved::base::logging;
use bankcoved::daemon::Daemon;
use bankcoved::view::table_sync;

/// Times that both are done: where they can stop each other, they do so within the first
/// few thousand.
const TIMES: u64 = 100_000;

/// After this long they are taken to have stopped each other: they take 1 s alone.
const PATIENCE: Duration = Duration::from_secs(120);

#[test]
fn a_heartbeat_is_written_while_a_table_is_put_in_force() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be made");
    let daemon = Daemon::new(Config::example(), logging::discard()).expect("it can be set up");
    let (tx, rx) = channel();
    let (beating, beats_tx) = (Arc::clone(&daemon), tx.clone());
    std::thread::spawn(move || {
        for _ in 0..TIMES {
            beating.membership.heartbeat();
        }
        beats_tx.send("heartbeats")
    });
    std::thread::spawn(move || {
        let _entered = runtime.enter();
        for revision in 1..=TIMES {
            table_sync::adopt(&daemon.view, Table { revision, ..Table::default() });
        }
        tx.send("tables")
    });
    for _ in 0..2 {
        rx.recv_timeout(PATIENCE).expect("neither waits for the other for ever");
    }
}
