//! Bills on their way to the request log, and copies of them while the store is away.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::bill::Bill;
use bankcove_core::request_log::{Entry, Outcome};

use crate::bill::billing::Billing;
use crate::bill::request_log;

/// Peers that keep a copy of a bill while the store is away.
const COPIES: usize = 2;

/// Pause between two tries to hand over what waits.
const RETRY: Duration = Duration::from_millis(300);

/// Entries handed over at once.
const BATCH: usize = 256;

/// How safe a bill is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Billed {
    /// The store has it, and it is the one that counts.
    First,
    /// The store has an earlier one of the same request.
    Repeat,
    /// The store is away; this many peers keep a copy.
    Kept {
        /// Peers with a copy.
        copies: usize,
    },
}

/// Bills a request: returns once the store has the bill, or, while the store
/// is away, once peers keep copies and this daemon goes on trying.
pub async fn bill(billing: &Arc<Billing>, bill: Bill) -> Billed {
    let entry = Entry::Bill(bill.clone());
    let wait = Duration::from_millis(billing.fleet.base.cfg.limits.bill_wait_ms);
    let submitted = tokio::time::timeout(wait, request_log::submit(billing, entry.clone())).await;
    match submitted {
        Ok(Outcome::Billed { first: true }) => return Billed::First,
        Ok(Outcome::Billed { first: false }) => return Billed::Repeat,
        Ok(_) | Err(_) => {}
    }
    billing.keep(entry);
    billing.fleet.base.metrics.count("bill.kept");
    let copies = copy_to_peers(billing, &bill).await;
    slog::warn!(billing.fleet.base.log, "bill waits for the store"; "request" => %bill.request, "copies" => copies);
    Billed::Kept { copies }
}

async fn copy_to_peers(billing: &Arc<Billing>, bill: &Bill) -> usize {
    let peers = billing.fleet.members.lock().owners(bill.request.0 as u64, COPIES + 1);
    let timeout = Duration::from_millis(billing.fleet.base.cfg.limits.gather_timeout_ms);
    let mut copies = 0;
    for peer in peers.into_iter().flatten().take(COPIES) {
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

/// Hands over what waits, until the daemon ends.
pub async fn hand_over(billing: Arc<Billing>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(RETRY) => {}
            () = billing.fleet.base.shutdown.cancelled() => return,
        }
        hand_over_once(&billing).await;
    }
}

/// Hands over one batch of what waits.
pub async fn hand_over_once(billing: &Arc<Billing>) {
    let _one_at_a_time = billing.handing_over.lock().await;
    let batch: Vec<Entry> = {
        let waiting = billing.waiting.lock();
        waiting.iter().take(BATCH).cloned().collect()
    };
    let submit = batch.iter().map(|entry| request_log::submit(billing, entry.clone()));
    let outcomes = futures::future::join_all(submit).await;
    let mut waiting = billing.waiting.lock();
    // Entries join only at the back, so the batch is still at the front.
    for (entry, outcome) in batch.into_iter().zip(outcomes) {
        waiting.pop_front();
        if outcome == Outcome::StoreAway {
            waiting.push_back(entry);
        }
    }
}
