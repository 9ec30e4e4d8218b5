//! Handling of requests while the store is unavailable: free tokens can still be
//! transferred between holders, but nothing can be granted.

use std::collections::VecDeque;

use crate::Millis;
use crate::owner::RETRY_SOON_MS;
use crate::owner::draft::holders_of;
use crate::owner::machine::{Decision, Outcome, Owner, Pending, answer};
use crate::owner::message::{Command, Reply};

impl Owner {
    /// Handles all queued requests without reading or writing the shard.
    pub(super) fn serve_without_store(&mut self, now: Millis, commands: &mut Vec<Command>) {
        let mut waiting = VecDeque::new();
        for pending in std::mem::take(&mut self.pending) {
            match self.decide_without_store(now, &pending, commands) {
                Decision::Answer(outcome) | Decision::AfterWrite(outcome) => {
                    answer(pending, outcome, commands);
                }
                Decision::Wait => waiting.push_back(pending),
            }
        }
        self.pending = waiting;
    }

    fn decide_without_store(
        &mut self,
        now: Millis,
        pending: &Pending,
        commands: &mut Vec<Command>,
    ) -> Decision {
        let unavailable = Reply::StoreAway { retry_after_ms: RETRY_SOON_MS };
        let Some(draw) = pending.request.urgent_draw() else {
            return Decision::Answer(Outcome::Reply(unavailable));
        };
        let shard = self.shard.take();
        let ledger = shard.as_ref().and_then(|(_, shard)| shard.budgets.get(&draw.budget));
        let me = self.me;
        let holders = || ledger.map(|ledger| holders_of(ledger, me)).unwrap_or_default();
        let collection = self.collection_for(now, pending, &draw.budget, holders, commands);
        self.shard = shard;
        let Some(collection) = collection else {
            return Decision::Wait;
        };
        let need = draw.need + draw.free;
        if collection.free < need {
            return Decision::Answer(Outcome::Reply(unavailable));
        }
        let max = self.collections.take(draw, need);
        let (granted, opened) = (draw.known_granted, draw.opened);
        let reply =
            Reply::Granted { granted, opened, recorded: false, outlook: None, earlier_start: None };
        Decision::Answer(Outcome::Transfer { own_grant: None, max, need, reply })
    }
}
