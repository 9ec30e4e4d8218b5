//! Stand-in for the platform's store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::http::{Message, answer, read_message};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    rev: u64,
    objects: BTreeMap<(String, String), Value>,
    events: Vec<(u64, String, Value)>,
}

impl State {
    fn get(&self, kind: &str, name: &str) -> Option<Value> {
        self.objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    fn put(&mut self, kind: &str, name: &str, spec: Option<Value>, status: Option<Value>) -> Value {
        let old = self.get(kind, name);
        let of = |field: &str| old.as_ref().map(|o| o[field].clone()).unwrap_or(Value::Null);
        let (spec, status) = (spec.unwrap_or(of("spec")), status.unwrap_or(of("status")));
        if let Some(old) = old.clone()
            && old["spec"] == spec
            && old["status"] == status
        {
            return old;
        }
        self.rev += 1;
        let made = old.map_or(json!(self.rev), |o| o["meta"]["made"].clone());
        let meta = json!({"name": name, "rev": self.rev, "made": made, "finalizers": [], "deleting": false});
        let object = json!({"meta": meta, "spec": spec, "status": status});
        self.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        let event = json!({"object": object, "gone": false});
        self.events.push((self.rev, kind.to_owned(), event));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.rev += 1;
        self.events.push((self.rev, kind.to_owned(), json!({"object": object, "gone": true})));
        true
    }
}

/// The store.
pub struct Store {
    /// Its address.
    pub addr: String,
    state: Mutex<State>,
    changed: Notify,
    /// Connections opened before the last call of [`Store::silence`] say nothing more.
    epoch: AtomicU64,
    /// Open connections of the current epoch.
    open: AtomicU64,
    /// How many times waiting watches were cut.
    cuts: AtomicU64,
}

impl Store {
    /// Starts an empty store.
    pub async fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind(format!("{ip}:0")).await.expect("a free port");
        let store = Arc::new(Store {
            addr: listener.local_addr().expect("bound").to_string(),
            state: Mutex::default(),
            changed: Notify::new(),
            epoch: AtomicU64::new(0),
            open: AtomicU64::new(0),
            cuts: AtomicU64::new(0),
        });
        let shared = Arc::clone(&store);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&shared).serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator and the runners do.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.state.lock().expect("lock").put(kind, name, Some(spec), None);
        self.changed.notify_waiters();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.state.lock().expect("lock").remove(kind, name);
        self.changed.notify_waiters();
    }

    /// Removes an object, and cuts the watches that wait: their connections are closed.
    pub fn remove_and_cut(&self, kind: &str, name: &str) {
        {
            let mut state = self.state.lock().expect("lock");
            self.cuts.fetch_add(1, Ordering::SeqCst);
            state.remove(kind, name);
        }
        self.changed.notify_waiters();
    }

    /// Returns the specs of all objects of a kind.
    pub fn specs(&self, kind: &str) -> Vec<(String, Value)> {
        let state = self.state.lock().expect("lock");
        let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
        of_kind.map(|((_, name), object)| (name.clone(), object["spec"].clone())).collect()
    }

    /// Makes all open connections silent for good; new ones work. Returns their number.
    pub fn silence(&self) -> u64 {
        self.epoch.fetch_add(1, Ordering::SeqCst);
        self.open.swap(0, Ordering::SeqCst)
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let epoch = self.epoch.load(Ordering::SeqCst);
        self.open.fetch_add(1, Ordering::SeqCst);
        self.serve_requests(stream, epoch).await;
        if self.epoch.load(Ordering::SeqCst) == epoch {
            self.open.fetch_sub(1, Ordering::SeqCst);
        }
    }

    async fn serve_requests(&self, stream: TcpStream, epoch: u64) {
        let (rx, mut tx) = stream.into_split();
        let mut rx = BufReader::new(rx);
        while let Ok(Some(req)) = read_message(&mut rx).await {
            if self.epoch.load(Ordering::SeqCst) != epoch {
                std::future::pending::<()>().await;
            }
            let cuts = self.cuts.load(Ordering::SeqCst);
            let bytes = self.answer(&req).await;
            if req.query("watch").is_some() && self.cuts.load(Ordering::SeqCst) != cuts {
                return;
            }
            tokio::time::sleep(ANSWER_TIME).await;
            if self.epoch.load(Ordering::SeqCst) != epoch {
                std::future::pending::<()>().await;
            }
            if tx.write_all(&bytes).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, req: &Message) -> Vec<u8> {
        let json_answer = |status: &str, body: Value| {
            let body = body.to_string();
            answer(status, &[("Content-Type", "application/json")], body.as_bytes())
        };
        let path = req.path().to_owned();
        let mut parts = path.trim_start_matches('/').split('/').skip(1);
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().unwrap_or("").to_owned();
        let is_status = parts.next() == Some("status");
        if req.method() == "GET" && name.is_empty() {
            if let Some(after) = req.query("watch").and_then(|v| v.parse().ok()) {
                let wait = req.query("wait-ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                return json_answer("200 OK", self.watch(&kind, after, wait).await);
            }
            let state = self.state.lock().expect("lock");
            let items: Vec<&Value> =
                state.objects.iter().filter(|((of, _), _)| *of == kind).map(|(_, o)| o).collect();
            return json_answer("200 OK", json!({"items": items, "more": false, "at": state.rev}));
        }
        let body: Value = serde_json::from_slice(&req.body).unwrap_or(Value::Null);
        let (status, result) = {
            let mut state = self.state.lock().expect("lock");
            let name = if req.method() == "POST" {
                body["meta"]["name"].as_str().unwrap_or("").to_owned()
            } else {
                name
            };
            let found = state.get(&kind, &name);
            let wanted = body["meta"]["rev"].as_u64().or(req.query("rev").and_then(|v| v.parse().ok()));
            let current = found.as_ref().and_then(|o| o["meta"]["rev"].as_u64());
            match (req.method(), found) {
                ("POST", Some(object)) => ("409 Conflict", object),
                ("POST", None) => {
                    ("200 OK", state.put(&kind, &name, Some(body["spec"].clone()), None))
                }
                (_, None) => ("404 Not Found", Value::Null),
                ("GET", Some(object)) => ("200 OK", object),
                (_, Some(object)) if wanted.is_some() && wanted != current => ("409 Conflict", object),
                ("PUT", Some(_)) if is_status => {
                    ("200 OK", state.put(&kind, &name, None, Some(body["status"].clone())))
                }
                ("PUT", Some(_)) => {
                    ("200 OK", state.put(&kind, &name, Some(body["spec"].clone()), None))
                }
                ("DELETE", Some(object)) => {
                    state.remove(&kind, &name);
                    ("200 OK", object)
                }
                _ => ("400 Bad Request", Value::Null),
            }
        };
        self.changed.notify_waiters();
        json_answer(status, result)
    }

    async fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Value {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let cuts = self.cuts.load(Ordering::SeqCst);
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let state = self.state.lock().expect("lock");
                if self.cuts.load(Ordering::SeqCst) != cuts {
                    return Value::Null;
                }
                let events: Vec<&Value> = state
                    .events
                    .iter()
                    .filter(|(rev, of, _)| *rev > after && of == kind)
                    .map(|(_, _, event)| event)
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    return json!({"events": events, "at": state.rev});
                }
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }
}
