//! Orders to backend servers that check them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bankcove_core::table::Table;
use bankcoved::base::config::Config;
use bankcoved::base::logging;
use bankcoved::daemon::Daemon;
use bankcoved::view::orders::send_changed;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Interval and number of checks for a state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLLS: u32 = 500;

const ACCEPTED: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// Answer that sends an order on to another path.
const REDIRECT: &[u8] =
    b"HTTP/1.1 307 Temporary Redirect\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n";

/// A server that accepts its orders, except for one.
struct OrderedServer {
    received: AtomicU32,
    /// Number of requests for the path of [`REDIRECT`].
    redirected: AtomicU32,
    /// Number of the other order, from 0, and its answer.
    exception: (u32, &'static [u8]),
}

impl OrderedServer {
    /// Starts the server; returns it and its address.
    async fn start(exception: (u32, &'static [u8])) -> (Arc<Self>, String) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("a listener has an address").to_string();
        let (received, redirected) = (AtomicU32::new(0), AtomicU32::new(0));
        let server = Arc::new(OrderedServer { received, redirected, exception });
        let accepting = Arc::clone(&server);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&accepting).answer(stream));
            }
        });
        (server, address)
    }

    /// Answers the orders of a connection. From the second one on, a copy of the answer before comes
    /// first.
    async fn answer(self: Arc<Self>, mut stream: TcpStream) {
        let mut buf = [0; 4 << 10];
        let mut last = None;
        while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {
            if buf.starts_with(b"POST /elsewhere") {
                self.redirected.fetch_add(1, Ordering::SeqCst);
            }
            let number = self.received.fetch_add(1, Ordering::SeqCst);
            let (exception, answer) = self.exception;
            let answer = if number == exception { answer } else { ACCEPTED };
            for answer in last.replace(answer).into_iter().chain([answer]) {
                stream.write_all(answer).await.expect("the daemon reads");
            }
        }
    }

    async fn wait_for_orders(&self, expected: u32) {
        for _ in 0..MAX_POLLS {
            if self.received.load(Ordering::SeqCst) >= expected {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{} orders were received", self.received.load(Ordering::SeqCst));
    }
}

/// Returns the table with this server, which is in service or ordered to leave.
fn table(address: &str, state: &str) -> Table {
    let row = json!({
        "name": "i-1", "hall": "hall-1", "address": address, "kind": "service", "state": state,
        "checks_orders": true,
    });
    serde_json::from_value(json!({ "servers": [row] })).expect("a table")
}

fn start_daemon() -> Arc<Daemon> {
    let mut cfg = Config::example();
    cfg.entry = None;
    Daemon::new(cfg, logging::discard()).expect("the daemon can be set up")
}

/// Guards against an order that counts as accepted by the answer to an earlier one, so that a server that
/// missed it stays out of service.
#[tokio::test]
async fn a_copy_of_an_earlier_answer_accepts_no_order() {
    let (server, address) = OrderedServer::start((1, UNAVAILABLE)).await;
    let daemon = start_daemon();
    let (serving, draining) = (table(&address, "serving"), table(&address, "draining"));
    send_changed(&daemon.view, Some(&serving), &draining);
    server.wait_for_orders(1).await;
    // The connection is kept by then, if it is.
    tokio::time::sleep(POLL_INTERVAL).await;
    send_changed(&daemon.view, Some(&draining), &serving);
    server.wait_for_orders(3).await;
}

/// Guards against an order that counts as accepted because the server's answer led to another place.
#[tokio::test]
async fn a_redirect_accepts_no_order() {
    let (server, address) = OrderedServer::start((0, REDIRECT)).await;
    let daemon = start_daemon();
    send_changed(&daemon.view, Some(&table(&address, "serving")), &table(&address, "draining"));
    server.wait_for_orders(2).await;
    assert_eq!(server.redirected.load(Ordering::SeqCst), 0);
}
