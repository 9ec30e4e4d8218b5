//! Tells the issuers which slots this daemon has released and which it still holds, and, as an issuer,
//! grants those that come free with time.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bankcove_core::crashes::ServerInstance;
use bankcove_core::members::Peer;
use bankcove_core::slot_leases::{RENEW_INTERVAL_MS, SlotId};
use tokio::sync::mpsc;

use crate::hints::slots::Slots;
use crate::hints::slots::issuers::SLOT_TIMEOUT;
use crate::peer::{PeerServiceClient, ReleasedSlot, SlotRenewal};

/// Time after a message for which released slots are collected into the next one.
const RELEASE_WINDOW: Duration = Duration::from_millis(2);

/// Interval at which slots that come free with time are granted.
const GRANT_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of slots in one message.
const MAX_RELEASED: usize = 256;

/// Starts the tasks that report to the issuers. Does nothing if it was called before.
pub fn spawn(slots: &Arc<Slots>) {
    if let Some(queue) = slots.release_receiver.lock().take() {
        tokio::spawn(send_released(Arc::clone(slots), queue));
        tokio::spawn(renew(Arc::clone(slots)));
        tokio::spawn(grant_due(Arc::clone(slots)));
    }
}

/// Grants the slots of this issuer that come free with time, until the daemon ends.
async fn grant_due(slots: Arc<Slots>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(GRANT_INTERVAL) => {}
            () = slots.fleet.base.shutdown.cancelled() => return,
        }
        if slots.has_brittle.load(Ordering::Relaxed) {
            slots.grant_due();
        }
    }
}

/// Sends released slots to their issuers until the queue is closed.
async fn send_released(slots: Arc<Slots>, mut queue: mpsc::Receiver<ReleasedSlot>) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, MAX_RELEASED).await > 0 {
        for (issuer, released) in by_issuer(&slots, batch.drain(..), |released| &released.server) {
            send_release(&slots, issuer, released);
        }
        tokio::time::sleep(RELEASE_WINDOW).await;
    }
}

fn send_release(slots: &Arc<Slots>, issuer: Option<Peer>, released: Vec<ReleasedSlot>) {
    let from = slots.fleet.base.incarnation;
    let Some(peer) = issuer else { return slots.record_released(from, &released) };
    let slots = Arc::clone(slots);
    tokio::spawn(async move {
        let call = |client: PeerServiceClient, cx| async move {
            client.release_slots(cx, from, released).await
        };
        if slots.fleet.base.peers.call(&peer.address, SLOT_TIMEOUT, call).await.is_none() {
            slots.mark_unresponsive(&peer);
        }
    });
}

/// Renews the leases of this daemon until it ends.
async fn renew(slots: Arc<Slots>) {
    let interval = Duration::from_millis(RENEW_INTERVAL_MS);
    loop {
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = slots.became_brittle.notified() => {}
            () = slots.fleet.base.shutdown.cancelled() => return,
        }
        if !slots.has_brittle.load(Ordering::Relaxed) {
            continue;
        }
        for (issuer, renewals) in by_issuer(&slots, renewals(&slots), |renewal| &renewal.server) {
            let slots = Arc::clone(&slots);
            tokio::spawn(async move {
                if !send_renewals(&slots, issuer, renewals.clone()).await {
                    renew_with_next(&slots, renewals).await;
                }
            });
        }
    }
}

/// Returns the slots that are held at brittle servers.
fn renewals(slots: &Slots) -> Vec<SlotRenewal> {
    let held: Vec<(ServerInstance, Vec<SlotId>)> = {
        let held = slots.held.lock();
        held.servers().map(|server| (server.clone(), held.at(server).collect())).collect()
    };
    let renewal = |(server, ids)| {
        let borne = slots.borne(&server)?;
        let listed = slots.router.lock().listed_slots(&server);
        Some(SlotRenewal { server, borne, slots: listed, ids })
    };
    held.into_iter().filter_map(renewal).collect()
}

/// Renews leases with an issuer; returns whether it answered.
async fn send_renewals(
    slots: &Arc<Slots>,
    issuer: Option<Peer>,
    renewals: Vec<SlotRenewal>,
) -> bool {
    let from = slots.fleet.base.incarnation;
    let Some(peer) = issuer else {
        slots.record_renewed(from, &renewals);
        return true;
    };
    let call =
        |client: PeerServiceClient, cx| async move { client.renew_slots(cx, from, renewals).await };
    let answer = slots.fleet.base.peers.call(&peer.address, SLOT_TIMEOUT, call).await;
    if answer.is_none() {
        slots.mark_unresponsive(&peer);
    }
    answer.is_some()
}

/// Renews leases with the next issuers after one that did not answer: they have to know of them
/// before they issue more. A renewal that is lost again is repeated at the next interval.
async fn renew_with_next(slots: &Arc<Slots>, renewals: Vec<SlotRenewal>) {
    for (issuer, renewals) in by_issuer(slots, renewals, |renewal| &renewal.server) {
        send_renewals(slots, issuer, renewals).await;
    }
}

/// Groups messages by the issuer of the server that each is about; `None` stands for this daemon.
fn by_issuer<T>(
    slots: &Slots,
    messages: impl IntoIterator<Item = T>,
    server: impl Fn(&T) -> &ServerInstance,
) -> Vec<(Option<Peer>, Vec<T>)> {
    let mut grouped: HashMap<Option<String>, (Option<Peer>, Vec<T>)> = HashMap::new();
    for message in messages {
        let issuer = slots.issuer_of(server(&message));
        let address = issuer.as_ref().map(|peer| peer.address.clone());
        grouped.entry(address).or_insert_with(|| (issuer, Vec::new())).1.push(message);
    }
    grouped.into_values().collect()
}
