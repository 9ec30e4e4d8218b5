//! A request that may be sent: it is not known to crash its servers, and what it costs at its most
//! is set aside.

use std::time::Duration;

use bankcove_core::Tokens;
use bankcove_core::holder::{RequestDemand, Reservation};
use bankcove_core::outage;
use bankcove_core::owner::RETRY_LATER_MS;
use bankcove_core::table::Budget;

use crate::budget::ration::ration;
use crate::budget::reserve;
use crate::entry::call::Call;
use crate::entry::charge::Charge;
use crate::entry::refusal::Refusal;
use crate::requests::RequestContext;

/// Longest wait for tokens of a budget: a draw takes two calls of the store at
/// some 4 ms, and a refusal that comes later than a quarter of a caller's goal
/// is of little use to it.
const BUDGET_WAIT: Duration = Duration::from_millis(150);

/// When to come back after tokens did not come in time: another daemon, which the
/// next try most likely comes to, may hold some now.
const RETRY_OUT_OF_REACH: Duration = Duration::from_millis(300);

/// A request that may be sent.
pub struct Admitted {
    /// The request.
    pub call: Call,
    /// What it costs.
    pub charge: Charge,
}

impl Admitted {
    /// Admits a request that was read; waits while its crashes are found out, and for tokens.
    ///
    /// # Errors
    /// What the caller is told instead.
    pub async fn admit(mut call: Call) -> Result<Self, Refusal> {
        call.pass_crashes().await?;
        let charge = charge(&call).await?;
        let now = call.entry.requests.base.clock.now();
        call.entry.retries.lock().record_request(&call.plan.service, now);
        Ok(Admitted { call, charge })
    }
}

/// Sets aside what the request costs at its most.
async fn charge(call: &Call) -> Result<Charge, Refusal> {
    let requests = &call.entry.requests;
    let (Some(prompt), Some(budget)) = (&call.incoming.prompt, &call.plan.budget) else {
        return Ok(Charge::new(requests, &call.log, None, 0, 0));
    };
    let per_event = call.plan.tokens_per_event;
    // The last event may hold fewer tokens than the limit leaves room for.
    let tokens = prompt.input_tokens + prompt.output_limit.next_multiple_of(per_event.max(1));
    let reservation = reserve(call, budget, tokens).await?;
    Ok(Charge::new(requests, &call.log, Some(reservation), prompt.input_tokens, per_event))
}

async fn reserve(call: &Call, budget: &Budget, tokens: Tokens) -> Result<Reservation, Refusal> {
    let requests = &call.entry.requests;
    let name = budget.name.to_string();
    let (ration_s, rank) = (call.entry.settings.ration_s, call.plan.rank());
    let demand = RequestDemand { tokens, rank, ration_s };
    let rationed = |ration: Tokens| {
        let retry_after = Duration::from_millis(RETRY_LATER_MS);
        Refusal::BudgetRationed { budget: budget.name.to_string(), tokens, ration, retry_after }
    };
    let ration = ration(&requests.budgets, budget, demand).await;
    if tokens > ration {
        return Err(rationed(ration));
    }
    let reserving = reserve::reserve(&requests.budgets, budget, demand);
    match tokio::time::timeout(BUDGET_WAIT, reserving).await {
        Ok(Ok(reservation)) => Ok(reservation),
        Ok(Err(refusal)) => {
            let retry_after = Duration::from_millis(refusal.retry_after_ms);
            Err(if let Some(ration) = refusal.ration {
                rationed(ration)
            } else if refusal.store_away {
                let retry_after = retry_in_outage(requests);
                Refusal::BudgetOutOfReach { budget: name, tokens, retry_after }
            } else {
                Refusal::BudgetShort { budget: name, tokens, retry_after }
            })
        }
        Err(_) => {
            let retry_after = RETRY_OUT_OF_REACH;
            Err(Refusal::BudgetOutOfReach { budget: name, tokens, retry_after })
        }
    }
}

/// When to come back after neither the store nor an owner had tokens.
fn retry_in_outage(requests: &RequestContext) -> Duration {
    let outage_ms = requests.fleet.contact.store_age(requests.base.clock.now());
    Duration::from_millis(outage::retry_after_outage(outage_ms, rand::random()))
}
