//! What becomes of a draw while the store is there.

use crate::holder::Draw;
use crate::owner::draft::{Draft, grant_and_open, granted_reply, holders_of};
use crate::owner::gather::{Gather, Lookup};
use crate::owner::machine::{Decision, Outcome, Owner, Pending, RELOAD_AFTER_MS};
use crate::owner::message::{Command, HolderRef, Reply};
use crate::owner::{AHEAD_WAIT_MS, RETRY_LATER_MS, RETRY_SOON_MS};
use crate::shard::Ledger;
use crate::{Millis, Name, Tokens};

impl Owner {
    /// Grants a draw what the store has, else what other holders have free, else
    /// refuses it.
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
        ledger.adopt_row(draw.terms.tokens, draw.terms.version);
        if self.waits_for_others(now, pending, draw, commands) {
            return Decision::Wait;
        }
        let gives_back = ledger.take_back(draw.holder, draw.returned);
        if gives_back && draw.want == 0 {
            if !self.may_write(now, commands) {
                return Decision::Wait;
            }
            return Decision::AfterWrite(Outcome::Reply(granted_reply(ledger, draw, false)));
        }
        // What was opened but not told is told again, without a write.
        let opened = ledger.opened_by(draw.holder);
        let undelivered = opened.saturating_sub(draw.opened);
        let is_ahead = draw.need == 0;
        if undelivered >= draw.need && !(is_ahead && undelivered == 0) {
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
        if is_ahead && left == 0 {
            return Decision::Answer(Outcome::Reply(granted_reply(ledger, draw, false)));
        }
        if left >= need {
            return self.grant(now, draw, ledger, need, opened, commands);
        }
        self.collect(now, pending, draw, ledger, need, commands)
    }

    /// Grants what the store has left, or the holder sealed.
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
            // The owner takes the grant and sends the tokens on.
            let amount = draw.terms.draw_amount(draw.want, ledger.available()).max(need);
            let own = Some(self.grant_to_me(ledger, amount));
            let reply = granted_reply(ledger, draw, false);
            return Decision::AfterWrite(Outcome::Give { own, most: amount, need, reply });
        }
        if draw.witnesses.is_empty() && draw.holder == self.me {
            // Only the later start's own draw: one that was handed on may be
            // of the earlier start, and late. With witnesses, what an earlier
            // start never opened is taken back instead.
            ledger.end_earlier_starts(draw.holder, &draw.address);
        } else if let Some(earlier) = draw.replaced_start
            && draw.witnesses.is_empty()
        {
            ledger.end_earlier_start(earlier, draw.holder, &draw.address);
        }
        grant_and_open(ledger, draw, need, opened);
        Decision::AfterWrite(Outcome::Reply(granted_reply(ledger, draw, true)))
    }

    /// Gives what other holders have free, together with what the store has left.
    fn collect(
        &mut self,
        now: Millis,
        pending: &Pending,
        draw: &Draw,
        ledger: &mut Ledger,
        need: Tokens,
        commands: &mut Vec<Command>,
    ) -> Decision {
        if self.loaded_at < pending.arrived && now >= self.loaded_at + RELOAD_AFTER_MS {
            self.reload_wanted = true;
            return Decision::Wait;
        }
        let me = self.me;
        let holders = || holders_of(ledger, me);
        let Some(gather) = self.gathered(now, pending, &draw.budget, holders, commands) else {
            return Decision::Wait;
        };
        // The collection took what the holder had free: it is given back too.
        let need = need + draw.free;
        let available = ledger.available();
        if available + gather.free < need {
            return Decision::Answer(Outcome::Reply(short(gather)));
        }
        if available == 0 {
            let most = self.gathers.take(draw, need);
            let reply = granted_reply(ledger, draw, false);
            return Decision::Answer(Outcome::Give { own: None, most, need, reply });
        }
        if !self.may_write(now, commands) {
            return Decision::Wait;
        }
        // What the store has left goes by way of the owner, all in one piece.
        let own = Some(self.grant_to_me(ledger, available));
        let most = self.gathers.take(draw, need.saturating_sub(available)) + available;
        let reply = granted_reply(ledger, draw, false);
        Decision::AfterWrite(Outcome::Give { own, most, need, reply })
    }

    /// Whether a draw ahead is to wait for others; asks to be woken at its end.
    fn waits_for_others(
        &mut self,
        now: Millis,
        pending: &Pending,
        draw: &Draw,
        commands: &mut Vec<Command>,
    ) -> bool {
        if draw.need > 0 || !draw.witnesses.is_empty() || self.is_write_due {
            return false;
        }
        let until = pending.arrived + AHEAD_WAIT_MS;
        if now < until {
            self.wake_at(until, now, commands);
        }
        now < until
    }

    /// Grants this daemon tokens that it will send on: they are open at once.
    fn grant_to_me(&self, ledger: &mut Ledger, tokens: Tokens) -> (Tokens, Tokens) {
        ledger.grant(self.me, &self.address, tokens);
        ledger.open(self.me, Tokens::MAX);
        (ledger.granted_to(self.me), ledger.opened_by(self.me))
    }

    /// The collection that this request may rely on; starts one when needed.
    pub(super) fn gathered(
        &mut self,
        now: Millis,
        pending: &Pending,
        budget: &Name,
        holders: impl FnOnce() -> Vec<HolderRef>,
        commands: &mut Vec<Command>,
    ) -> Option<Gather> {
        match self.gathers.for_request(now, pending.arrived, budget, holders) {
            Lookup::Ended(gather) => Some(gather),
            Lookup::Running => None,
            Lookup::Start(holders) => {
                self.counts.gathers += 1;
                commands.push(Command::Gather(budget.clone(), holders));
                None
            }
        }
    }
}

fn short(gather: Gather) -> Reply {
    let retry_after_ms = if gather.more_may_come { RETRY_SOON_MS } else { RETRY_LATER_MS };
    Reply::Short { retry_after_ms }
}
