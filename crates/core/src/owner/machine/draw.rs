//! Handling of draws while the store is available.

use crate::holder::Draw;
use crate::owner::collection::{Collection, Lookup};
use crate::owner::draft::{Draft, grant_and_open, granted_reply, holders_of};
use crate::owner::machine::{Decision, MAX_SHARD_AGE_MS, Outcome, Owner, Pending};
use crate::owner::message::{Command, HolderRef, Reply};
use crate::owner::{PREFETCH_DELAY_MS, RETRY_LATER_MS, RETRY_SOON_MS};
use crate::shard::Ledger;
use crate::{Millis, Name, Tokens};

impl Owner {
    /// Serves a draw from the store's available tokens, or else from the free tokens of
    /// other holders, or else refuses it.
    pub(super) fn decide_draw(
        &mut self,
        now: Millis,
        pending: &Pending,
        draw: &Draw,
        draft: &mut Draft,
        commands: &mut Vec<Command>,
    ) -> Decision {
        let stored = draft.stored_grant(&draw.budget, draw.holder);
        let ledger = draft.ledger(&draw.budget);
        if ledger.has_retired(draw.holder) {
            let retry_after_ms = RETRY_LATER_MS;
            return Decision::Answer(Outcome::Reply(Reply::Short { retry_after_ms }));
        }
        ledger.update_row(draw.terms.tokens, draw.terms.version);
        if self.must_wait_for_others(now, pending, draw, commands) {
            return Decision::Wait;
        }
        let is_new_return = ledger.record_return(draw.holder, draw.returned);
        if is_new_return && draw.want == 0 {
            if !self.may_write(now, commands) {
                return Decision::Wait;
            }
            return Decision::AfterWrite(Outcome::Reply(granted_reply(ledger, draw, false)));
        }
        // Opened tokens that the holder does not know of are reported without a write.
        let opened = ledger.opened_by(draw.holder);
        let undelivered = opened.saturating_sub(draw.opened);
        let is_prefetch = draw.need == 0;
        if undelivered >= draw.need && !(is_prefetch && undelivered == 0) {
            let outcome = Outcome::Reply(granted_reply(ledger, draw, false));
            let in_this_write = stored != (ledger.granted_to(draw.holder), opened);
            return if in_this_write {
                Decision::AfterWrite(outcome)
            } else {
                Decision::Answer(outcome)
            };
        }
        let need = draw.need - undelivered;
        let opened = opened.max(draw.opened);
        let sealed = ledger.granted_to(draw.holder).saturating_sub(opened);
        let left = ledger.available() + sealed;
        if is_prefetch && left == 0 {
            return Decision::Answer(Outcome::Reply(granted_reply(ledger, draw, false)));
        }
        if left >= need {
            return self.grant(now, draw, ledger, need, opened, commands);
        }
        self.collect(now, pending, draw, ledger, need, commands)
    }

    /// Serves a draw from the available tokens and the sealed part of the holder's grant.
    fn grant(
        &mut self,
        now: Millis,
        draw: &Draw,
        ledger: &mut Ledger,
        need: Tokens,
        opened: Tokens,
        commands: &mut Vec<Command>,
    ) -> Decision {
        if !self.may_write(now, commands) {
            return Decision::Wait;
        }
        if !draw.witnesses.is_empty() && ledger.is_full_for(draw.holder) {
            // The grant is recorded for this owner, which transfers the tokens.
            let amount = draw.terms.draw_amount(draw.want, ledger.available()).max(need);
            let own_grant = Some(self.grant_to_owner(ledger, amount));
            let reply = granted_reply(ledger, draw, false);
            return Decision::AfterWrite(Outcome::Transfer { own_grant, max: amount, need, reply });
        }
        if draw.witnesses.is_empty() && draw.holder == self.me {
            // Applies only to a draw of this daemon itself: a forwarded draw may be a
            // delayed one of the earlier incarnation. With witnesses, the tokens that an
            // earlier incarnation never opened are reclaimed instead.
            ledger.retire_earlier_incarnations(draw.holder, &draw.address);
        } else if let Some(earlier) = draw.replaced_incarnation
            && draw.witnesses.is_empty()
        {
            ledger.retire_earlier_incarnation(earlier, draw.holder, &draw.address);
        }
        grant_and_open(ledger, draw, need, opened);
        Decision::AfterWrite(Outcome::Reply(granted_reply(ledger, draw, true)))
    }

    /// Serves a draw from the free tokens of other holders and the store's available ones.
    fn collect(
        &mut self,
        now: Millis,
        pending: &Pending,
        draw: &Draw,
        ledger: &mut Ledger,
        need: Tokens,
        commands: &mut Vec<Command>,
    ) -> Decision {
        if self.loaded_at < pending.arrived && now >= self.loaded_at + MAX_SHARD_AGE_MS {
            self.needs_reload = true;
            return Decision::Wait;
        }
        let me = self.me;
        let holders = || holders_of(ledger, me);
        let Some(collection) = self.collection_for(now, pending, &draw.budget, holders, commands)
        else {
            return Decision::Wait;
        };
        // The collection has also taken the holder's own free tokens, so they are added.
        let need = need + draw.free;
        let available = ledger.available();
        if available + collection.free < need {
            return Decision::Answer(Outcome::Reply(short_reply(collection)));
        }
        if available == 0 {
            let max = self.collections.take(draw, need);
            let reply = granted_reply(ledger, draw, false);
            return Decision::Answer(Outcome::Transfer { own_grant: None, max, need, reply });
        }
        if !self.may_write(now, commands) {
            return Decision::Wait;
        }
        // The store's available tokens are granted to this owner, so that all tokens go to
        // the holder in one transfer.
        let own_grant = Some(self.grant_to_owner(ledger, available));
        let max = self.collections.take(draw, need.saturating_sub(available)) + available;
        let reply = granted_reply(ledger, draw, false);
        Decision::AfterWrite(Outcome::Transfer { own_grant, max, need, reply })
    }

    /// Returns whether a prefetching draw has to wait for others; schedules a wake-up if it does.
    fn must_wait_for_others(
        &mut self,
        now: Millis,
        pending: &Pending,
        draw: &Draw,
        commands: &mut Vec<Command>,
    ) -> bool {
        if draw.need > 0 || !draw.witnesses.is_empty() || self.is_write_due {
            return false;
        }
        let until = pending.arrived + PREFETCH_DELAY_MS;
        if now < until {
            self.wake_at(until, now, commands);
        }
        now < until
    }

    /// Grants and opens tokens for this daemon to transfer. Returns its cumulative granted
    /// and opened tokens.
    fn grant_to_owner(&self, ledger: &mut Ledger, tokens: Tokens) -> (Tokens, Tokens) {
        ledger.grant(self.me, &self.address, tokens);
        ledger.open(self.me, Tokens::MAX);
        (ledger.granted_to(self.me), ledger.opened_by(self.me))
    }

    /// Returns the result of a recent collection; if there is none, starts one unless one
    /// is running.
    pub(super) fn collection_for(
        &mut self,
        now: Millis,
        pending: &Pending,
        budget: &Name,
        holders: impl FnOnce() -> Vec<HolderRef>,
        commands: &mut Vec<Command>,
    ) -> Option<Collection> {
        match self.collections.for_request(now, pending.arrived, budget, holders) {
            Lookup::Finished(collection) => Some(collection),
            Lookup::Running => None,
            Lookup::Start(holders) => {
                self.counts.gathers += 1;
                commands.push(Command::Collect(budget.clone(), holders));
                None
            }
        }
    }
}

fn short_reply(collection: Collection) -> Reply {
    let retry_after_ms = if collection.more_expected { RETRY_SOON_MS } else { RETRY_LATER_MS };
    Reply::Short { retry_after_ms }
}
