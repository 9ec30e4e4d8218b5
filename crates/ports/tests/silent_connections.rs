//! Kept connections to the object API that have gone silent.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bankcove_ports::{Client, Kind, StoreApi};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Wait of a watch, longer than any read.
const WATCH_WAIT: Duration = Duration::from_secs(60);

/// Object that each call returns.
const OBJECT: &str = r#"{"version": 1, "value": {}}"#;

/// An object API whose connections go silent together; later ones are answered.
#[derive(Default)]
struct ObjectApi {
    /// For the connections made so far, whether they are silent.
    silent: parking_lot::Mutex<Arc<AtomicBool>>,
}

impl ObjectApi {
    async fn start() -> (Arc<Self>, Client) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("a listener has an address").to_string();
        let api = Arc::<ObjectApi>::default();
        let accepting = Arc::clone(&api);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let silent = Arc::clone(&accepting.silent.lock());
                tokio::spawn(answer(stream, silent));
            }
        });
        (api, Client::new(&address))
    }

    fn silence_connections(&self) {
        std::mem::take(&mut *self.silent.lock()).store(true, Ordering::SeqCst);
    }
}

/// Answers the calls on a connection until it goes silent.
async fn answer(mut stream: TcpStream, silent: Arc<AtomicBool>) {
    let mut buf = [0; 4 << 10];
    while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {
        if silent.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", OBJECT.len());
        stream.write_all((head + OBJECT).as_bytes()).await.expect("the client reads");
    }
}

/// Guards against a daemon that takes its own silent connections for an outage of the store.
#[tokio::test]
async fn a_read_over_a_silent_connection_starts_over() {
    let (api, client) = ObjectApi::start().await;
    client.read(Kind::Table, "main").await.expect("an answer");
    api.silence_connections();
    client.read(Kind::Table, "main").await.expect("an answer over a new connection");
}

/// Guards against changes that are not seen for as long as a watch waits on a silent connection.
#[tokio::test]
async fn a_watch_ends_when_a_read_finds_the_connections_silent() {
    let (api, client) = ObjectApi::start().await;
    // Two calls at the same time leave two connections.
    let calls = [client.read(Kind::Table, "a"), client.read(Kind::Table, "b")];
    futures::future::try_join_all(calls).await.expect("answers");
    api.silence_connections();
    let watch = client.watch(Kind::Table, "main", 0, WATCH_WAIT);
    let (watch, read) = futures::future::join(watch, client.read(Kind::Table, "main")).await;
    read.expect("an answer over a new connection");
    watch.expect("an answer over a new connection");
}
