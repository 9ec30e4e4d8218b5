//! Readiness endpoint, by which the platform checks whether this daemon accepts connections.

use std::sync::Arc;

use salvo::affix_state;
use salvo::prelude::*;

use crate::entry::Entry;

/// Returns the routes of the readiness endpoint.
pub fn ready_router(entry: Arc<Entry>) -> Router {
    let path = entry.wire.ready_path().trim_start_matches('/').to_owned();
    Router::with_path(path).hoop(affix_state::inject(entry)).get(ready)
}

/// Returns the entry proxy that is injected into the request's route.
///
/// # Panics
/// If the route has none.
pub fn injected_entry(depot: &Depot) -> Arc<Entry> {
    let entry = depot.obtain::<Arc<Entry>>();
    Arc::clone(entry.expect("Entry is injected into every route"))
}

#[handler]
async fn ready(depot: &mut Depot, res: &mut Response) {
    let entry = injected_entry(depot);
    let knows_servers = entry.view.servers.lock().version().is_some();
    let knows_rollouts = entry.requests.rollouts.is_known();
    if entry.requests.revision() == 0 || !knows_servers || !knows_rollouts || entry.is_withdrawn() {
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
    }
}
