//! Collections of unspent tokens: when one is due, and what it brought.

use std::collections::HashMap;

use crate::holder::Draw;
use crate::owner::message::HolderRef;
use crate::{Millis, Name, Tokens};

/// Shortest time between two collections for one budget, and one millisecond
/// more for each holder beyond as many. A refusal rests on a collection that is
/// no older, so it is told at once and costs each holder a bounded rate.
const GATHER_INTERVAL_MS: Millis = 100;

/// What a collection brought.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Gather {
    running: bool,
    started: Option<Millis>,
    interval: Millis,
    ended: bool,
    /// Tokens that are left of what it brought.
    pub(super) free: Tokens,
    /// Whether more may come: tokens reserved elsewhere, or silent holders.
    pub(super) more_may_come: bool,
}

impl Gather {
    /// Whether a request that came then may rely on it now.
    fn serves(&self, now: Millis, arrived: Millis) -> bool {
        let is_fresh = |started: Millis| started >= arrived || now < started + self.interval;
        self.ended && self.started.is_some_and(is_fresh)
    }
}

/// What there is for a request.
pub(super) enum Lookup {
    /// A collection that it may rely on.
    Ended(Gather),
    /// One that runs.
    Running,
    /// None: ask these holders.
    Start(Vec<HolderRef>),
}

/// The last collection of each budget.
#[derive(Debug, Default)]
pub(super) struct Gathers {
    by_budget: HashMap<Name, Gather>,
    never: bool,
}

impl Gathers {
    /// Collections that never bring anything: a baseline.
    pub(super) fn none() -> Self {
        Gathers { never: true, ..Gathers::default() }
    }

    /// The collection for a request that came at `arrived`.
    pub(super) fn for_request(
        &mut self,
        now: Millis,
        arrived: Millis,
        budget: &Name,
        holders: impl FnOnce() -> Vec<HolderRef>,
    ) -> Lookup {
        if self.never {
            return Lookup::Ended(Gather::default());
        }
        let gather = self.by_budget.entry(budget.clone()).or_default();
        if gather.running {
            return Lookup::Running;
        }
        if gather.serves(now, arrived) {
            return Lookup::Ended(*gather);
        }
        let holders = holders();
        let interval = GATHER_INTERVAL_MS.max(holders.len() as Millis);
        *gather = Gather { running: true, started: Some(now), interval, ..Gather::default() };
        Lookup::Start(holders)
    }

    /// A collection has ended.
    pub(super) fn ended(&mut self, budget: Name, free: Tokens, more_may_come: bool) {
        let gather = self.by_budget.entry(budget).or_default();
        *gather = Gather { running: false, ended: true, free, more_may_come, ..*gather };
    }

    /// Takes the need of a draw, or a share, from what a collection brought.
    pub(super) fn take(&mut self, draw: &Draw, need: Tokens) -> Tokens {
        let gather = self.by_budget.entry(draw.budget.clone()).or_default();
        let most = draw.terms.draw_amount(draw.want, gather.free).max(need);
        gather.free = gather.free.saturating_sub(most);
        most
    }

    /// What ended collections brought is not relied on any more.
    pub(super) fn forget_ended(&mut self) {
        self.by_budget.retain(|_, gather| gather.running);
    }
}
