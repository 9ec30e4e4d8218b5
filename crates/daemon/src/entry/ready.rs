//! The side by which the platform asks whether this daemon takes connections,
//! and the side that tells metrics and state.

use std::sync::Arc;

use salvo::affix_state;
use salvo::prelude::*;

use crate::dump;
use crate::entry::Entry;

/// Routes of the ready side.
pub fn ready_router(entry: Arc<Entry>) -> Router {
    let path = entry.wire.ready_path().trim_start_matches('/').to_owned();
    Router::with_path(path).hoop(affix_state::inject(entry)).get(ready)
}

/// Routes of the metrics side.
pub fn metrics_router(entry: Arc<Entry>) -> Router {
    Router::new()
        .hoop(affix_state::inject(entry))
        .push(Router::with_path("metrics").get(metrics))
        .push(Router::with_path("dump").get(dump_state))
}

/// The entry side that a request came to.
pub fn entry(depot: &Depot) -> Arc<Entry> {
    let entry = depot.obtain::<Arc<Entry>>();
    Arc::clone(entry.expect("the entry side is injected into every route"))
}

#[handler]
async fn ready(depot: &mut Depot, res: &mut Response) {
    let daemon = &entry(depot).daemon;
    let knows_servers = daemon.view.servers.lock().version().is_some();
    let is_ready = daemon.revision() > 0 && knows_servers && !daemon.leaving.is_cancelled();
    if !is_ready {
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
    }
}

#[handler]
async fn metrics(depot: &mut Depot, res: &mut Response) {
    res.render(Text::Plain(entry(depot).daemon.metrics.text()));
}

#[handler]
async fn dump_state(depot: &mut Depot, res: &mut Response) {
    res.render(Json(dump::dump(&entry(depot).daemon).await));
}
