//! Stand-in for the platform's store: objects, lists, watches with 20 s of history, conditional writes.
//!
//! It listens once for each machine, so that single machines can be cut off from it. A cut is silent:
//! what was sent gets no answer, and new connections say nothing.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::http::{Connection, Message, response};

/// Time for which changes are kept, by the pages' `history-s`.
const HISTORY: Duration = Duration::from_secs(20);

/// Time of an answer, by the pages.
const ANSWER: Duration = Duration::from_millis(4);

/// Bounds of a page of a list, by the pages.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

struct Event {
    rev: u64,
    kind: String,
    at: Instant,
    text: String,
}

#[derive(Default)]
struct State {
    rev: u64,
    discarded_to: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    events: Vec<Event>,
}

impl State {
    fn object(&self, kind: &str, name: &str) -> Option<Value> {
        let (rev, spec) = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        let meta =
            json!({"name": name, "rev": rev, "made": 1, "finalizers": [], "deleting": false});
        Some(json!({"meta": meta, "spec": spec, "status": null}))
    }

    fn put(&mut self, kind: &str, name: &str, spec: Value) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((rev, known)) = self.objects.get(&key)
            && *known == spec
        {
            return *rev;
        }
        self.rev += 1;
        self.objects.insert(key, (self.rev, spec));
        let object = self.object(kind, name).unwrap_or_default();
        self.record(kind, json!({"gone": false, "object": object}));
        self.rev
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some(object) = self.object(kind, name) else { return };
        self.rev += 1;
        self.objects.remove(&(kind.to_owned(), name.to_owned()));
        self.record(kind, json!({"gone": true, "object": object}));
    }

    fn record(&mut self, kind: &str, event: Value) {
        let (rev, kind, at) = (self.rev, kind.to_owned(), Instant::now());
        self.events.push(Event { rev, kind, at, text: event.to_string() });
    }

    fn discard_old(&mut self) {
        let old = self.events.iter().take_while(|event| event.at.elapsed() >= HISTORY).count();
        for event in self.events.drain(..old) {
            self.discarded_to = event.rev;
        }
    }
}

/// The store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Notify,
}

/// Path of one machine to the store.
#[derive(Default)]
pub struct Path {
    pub is_cut: AtomicBool,
    /// Notified when the path is cut.
    cut: Notify,
}

impl Path {
    /// Cuts the path: open connections say nothing more.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        self.cut.notify_waiters();
    }

    /// Ends the cut for new connections.
    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

impl Store {
    /// Writes an object as operators and runners do; the return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> Instant {
        self.state.lock().put(kind, name, spec);
        self.changed.notify_waiters();
        Instant::now()
    }

    /// Serves the store to one machine.
    pub async fn serve(self: &Arc<Self>, listener: TcpListener, path: Arc<Path>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let (store, path) = (Arc::clone(self), Arc::clone(&path));
            tokio::spawn(async move {
                let mut connection = Connection::new(stream);
                let cut = path.cut.notified();
                tokio::pin!(cut);
                cut.as_mut().enable();
                if !path.is_cut.load(Ordering::SeqCst) {
                    tokio::select! {
                        () = store.serve_connection(&mut connection) => return,
                        () = cut => {}
                    }
                }
                // Silent until the other side gives up.
                let mut rest = [0; 4096];
                while matches!(
                    tokio::io::AsyncReadExt::read(&mut connection.stream, &mut rest).await,
                    Ok(1..)
                ) {}
            });
        }
    }

    async fn serve_connection(&self, connection: &mut Connection) {
        while let Ok(Some(request)) = connection.read().await {
            tokio::time::sleep(ANSWER).await;
            let (status, body) = self.answer(&request).await;
            let headers = [("Content-Type", "application/json")];
            if connection.write(&response(status, &headers, body.as_bytes())).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        let query = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == wanted).map(|(_, value)| value.to_owned())
        };
        match (request.method(), name) {
            ("GET", None) => {
                if let Some(after) = query("watch").and_then(|after| after.parse().ok()) {
                    let wait = query("wait-ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    return self.watch(kind, after, Duration::from_millis(wait)).await;
                }
                (200, self.list(kind, &query("after").unwrap_or_default()))
            }
            ("GET", Some(name)) => match self.state.lock().object(kind, name) {
                Some(object) => (200, object.to_string()),
                None => (404, "{}".to_owned()),
            },
            ("DELETE", Some(name)) => {
                self.state.lock().remove(kind, name);
                self.changed.notify_waiters();
                (200, "{}".to_owned())
            }
            ("POST" | "PUT", name) => self.write(request, kind, name),
            _ => (400, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.lock();
        let names = state.objects.keys().filter(|(of, name)| of == kind && name.as_str() > after);
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (_, name) in names {
            let item = state.object(kind, name).unwrap_or_default().to_string();
            if items.len() >= PAGE_ITEMS || (bytes + item.len() > PAGE_BYTES && !items.is_empty()) {
                more = true;
                break;
            }
            bytes += item.len();
            items.push(item);
        }
        format!("{{\"items\":[{}],\"more\":{more},\"at\":{}}}", items.join(","), state.rev)
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let mut state = self.state.lock();
                state.discard_old();
                if after < state.discarded_to {
                    return (410, "{}".to_owned());
                }
                let new = state.events.iter().filter(|one| one.rev > after && one.kind == kind);
                let events: Vec<&str> = new.map(|event| event.text.as_str()).collect();
                if !events.is_empty() || tokio::time::Instant::now() >= until {
                    let text =
                        format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.rev);
                    return (200, text);
                }
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    fn write(&self, request: &Message, kind: &str, name: Option<&str>) -> (u16, String) {
        let object: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let is_new = request.method() == "POST";
        let name = name.map(str::to_owned);
        let name = name.or_else(|| object["meta"]["name"].as_str().map(str::to_owned));
        let Some(name) = name else { return (400, "{}".to_owned()) };
        let answer = {
            let mut state = self.state.lock();
            let found = state.object(kind, &name);
            let wanted = &object["meta"]["rev"];
            match found {
                Some(found) if is_new || !wanted.is_null() && *wanted != found["meta"]["rev"] => {
                    (409, found.to_string())
                }
                None if !is_new => (404, "{}".to_owned()),
                _ => {
                    state.put(kind, &name, object["spec"].clone());
                    (200, state.object(kind, &name).unwrap_or_default().to_string())
                }
            }
        };
        self.changed.notify_waiters();
        answer
    }
}
