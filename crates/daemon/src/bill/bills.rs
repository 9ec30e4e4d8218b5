//! Submission of bills to the request log, and copies of them at peers while the store is
//! unavailable.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::bill::Bill;
use bankcove_core::request_log::{Entry, Outcome};

use crate::bill::billing::Billing;
use crate::bill::request_log;

/// Number of peers that keep a copy of a bill while the store is unavailable.
const MAX_COPIES: usize = 2;

/// Pause between two submissions of pending entries.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of entries submitted concurrently.
const BATCH_SIZE: usize = 256;

/// Outcome of billing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Billed {
    /// The store has recorded the bill, and it is the one that counts.
    First,
    /// The store has an earlier bill of the same request.
    Repeat,
    /// The store is unavailable; this daemon submits the bill again, and peers keep copies.
    Kept {
        /// Number of peers with a copy.
        copies: usize,
    },
}

/// Bills a request and returns once the store has the bill. If the store is unavailable or does not
/// answer within `bill_wait_ms`, returns once copies have been sent to peers; this daemon then
/// continues to submit the bill.
pub async fn bill(billing: &Arc<Billing>, bill: Bill) -> Billed {
    let entry = Entry::Bill(bill.clone());
    let wait = Duration::from_millis(billing.fleet.base.cfg.limits.bill_wait_ms);
    let submitted = tokio::time::timeout(wait, request_log::submit(billing, entry.clone())).await;
    match submitted {
        Ok(Outcome::Billed { first: true }) => return Billed::First,
        Ok(Outcome::Billed { first: false }) => return Billed::Repeat,
        Ok(_) | Err(_) => {}
    }
    billing.enqueue(entry);
    billing.fleet.base.metrics.count("bill.kept");
    let copies = copy_to_peers(billing, &bill).await;
    slog::warn!(billing.fleet.base.log, "bill not recorded yet"; "request" => %bill.request, "copies" => copies);
    Billed::Kept { copies }
}

/// Sends copies of a bill to peers; returns the number of peers that have accepted one.
async fn copy_to_peers(billing: &Arc<Billing>, bill: &Bill) -> usize {
    let peers = billing.fleet.members.lock().owners(bill.request.0 as u64, MAX_COPIES + 1);
    let timeout = Duration::from_millis(billing.fleet.base.cfg.limits.gather_timeout_ms);
    let mut copies = 0;
    for peer in peers.into_iter().flatten().take(MAX_COPIES) {
        let bill = bill.clone();
        let keep = |client: crate::peer::PeerServiceClient, cx| async move {
            client.keep_bill(cx, bill).await
        };
        copies += usize::from(
            billing.fleet.base.peers.call(&peer.address, timeout, keep).await.is_some(),
        );
    }
    copies
}

/// Submits pending entries periodically until the daemon ends.
pub async fn retry_pending(billing: Arc<Billing>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(RETRY_INTERVAL) => {}
            () = billing.fleet.base.shutdown.cancelled() => return,
        }
        submit_pending_batch(&billing).await;
    }
}

/// Submits one batch of pending entries; those that the store has not recorded stay pending.
pub async fn submit_pending_batch(billing: &Arc<Billing>) {
    let _batch_guard = billing.batch_lock.lock().await;
    let batch: Vec<Entry> = {
        let pending = billing.pending.lock();
        pending.iter().take(BATCH_SIZE).cloned().collect()
    };
    let submit = batch.iter().map(|entry| request_log::submit(billing, entry.clone()));
    let outcomes = futures::future::join_all(submit).await;
    let mut pending = billing.pending.lock();
    // Entries are added only at the back, so the batch is still at the front.
    for (entry, outcome) in batch.into_iter().zip(outcomes) {
        pending.pop_front();
        if outcome == Outcome::StoreAway {
            pending.push_back(entry);
        }
    }
}
