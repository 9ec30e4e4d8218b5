//! Stand-in for a plain service: it records every call in its history and echoes it in the
//! response, without any checks of its own.

use std::sync::Arc;

use parking_lot::Mutex;
use salvo::affix_state;
use salvo::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::engine::unix_ms;
use crate::faults::Faults;
use crate::serve::{MAX_BODY_BYTES, RunningStandIn};

/// A call as recorded in the history.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallRecord {
    /// The daemon's id of the run, from `x-run-id`.
    pub run: String,
    /// The daemon's id of the attempt, from `x-attempt`.
    pub attempt: String,
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Body as text.
    pub body: String,
    /// Time of arrival, in milliseconds since 1970.
    pub at_ms: u64,
}

#[derive(Default)]
struct Service {
    calls: Mutex<Vec<CallRecord>>,
    faults: Mutex<Faults>,
}

/// Starts the stand-in on `listen`, an IP address and port.
///
/// # Errors
/// If `listen` is not an address or can't be listened on.
pub async fn start(listen: &str) -> std::io::Result<RunningStandIn> {
    let router = Router::new()
        .hoop(affix_state::inject(Arc::new(Service::default())))
        .push(Router::with_path("faults").put(put_faults))
        .push(Router::with_path("history").get(history))
        .push(Router::with_path("{**rest}").goal(call));
    RunningStandIn::start(listen, router).await
}

fn service(depot: &Depot) -> Arc<Service> {
    let service = depot.obtain::<Arc<Service>>();
    Arc::clone(service.expect("the service is injected into every route"))
}

/// Records a call and responds with its method, path and body.
#[handler]
async fn call(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let service = service(depot);
    let header = |name: &str| {
        let value = req.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let mut record = CallRecord {
        run: header("x-run-id"),
        attempt: header("x-attempt"),
        method: req.method().to_string(),
        path: req.uri().path().to_owned(),
        body: String::new(),
        at_ms: unix_ms(),
    };
    if let Ok(body) = req.payload_with_max_size(MAX_BODY_BYTES).await {
        record.body = String::from_utf8_lossy(body).into_owned();
    }
    let echo = json!({"method": record.method, "path": record.path, "body": record.body});
    let count = {
        let mut calls = service.calls.lock();
        calls.push(record);
        calls.len()
    };
    if let Some(attempt) = req.headers().get("x-attempt") {
        res.headers_mut().insert("x-attempt", attempt.clone());
    }
    let faults = *service.faults.lock();
    if faults.misplace_refusals {
        let another = salvo::http::HeaderValue::from_static("another");
        res.headers_mut().insert("x-attempt", another);
    }
    tokio::time::sleep(faults.delay()).await;
    faults.insert_hint_headers(res.headers_mut());
    if faults.down || faults.rest_s.is_some() {
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
    } else if echo["method"] == "POST" {
        res.status_code(StatusCode::CREATED);
    }
    res.render(Json(json!({"call": count, "you": echo})));
}

#[handler]
async fn put_faults(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    match req.parse_json::<Faults>().await {
        Ok(faults) => *service(depot).faults.lock() = faults,
        Err(e) => {
            res.status_code(StatusCode::BAD_REQUEST);
            res.render(Text::Plain(e.to_string()));
        }
    }
}

#[handler]
async fn history(depot: &mut Depot, res: &mut Response) {
    res.render(Json(&*service(depot).calls.lock()));
}
