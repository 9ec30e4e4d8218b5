//! Admission of a request: it must not be known to crash its servers, and its maximum cost is
//! reserved in its budget.

use std::time::Duration;

use bankcove_core::Tokens;
use bankcove_core::holder::{RequestDemand, Reservation};
use bankcove_core::outage;
use bankcove_core::owner::RETRY_LATER_MS;
use bankcove_core::table::Budget;

use crate::budget::protection;
use crate::budget::ration::ration;
use crate::budget::reserve;
use crate::entry::call::Call;
use crate::entry::charge::Charge;
use crate::entry::refusal::Refusal;
use crate::peer::Refusal as TokenRefusal;
use crate::requests::RequestContext;

/// Longest wait for tokens of a budget. A draw takes two store calls of about 4 ms each, and a
/// refusal after more than a quarter of a caller's goal is of little use to the caller.
const BUDGET_TIMEOUT: Duration = Duration::from_millis(150);

/// Retry delay after tokens could not be obtained in time: the retry most likely reaches another
/// daemon, which may hold some.
const TIMEOUT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// A request that may be sent to a server.
pub struct AdmittedCall {
    /// The request.
    pub call: Call,
    /// Its charge to the budget.
    pub charge: Charge,
}

impl AdmittedCall {
    /// Admits a request. Waits while peers are asked for the version of a stream that it goes on
    /// with, while it is checked whether the request has crashed servers, and for tokens of its
    /// budget.
    ///
    /// # Errors
    /// The [`Refusal`] that the caller receives.
    pub async fn admit(mut call: Call) -> Result<Self, Refusal> {
        call.bind_to_origin().await?;
        call.check_crashes().await?;
        let charge = reserve_charge(&call).await?;
        let now = call.entry.requests.base.clock.now();
        call.entry.retries.lock().record_request(&call.plan.service, now);
        Ok(AdmittedCall { call, charge })
    }
}

/// Reserves the maximum cost of the request; without a prompt or a budget it costs nothing.
async fn reserve_charge(call: &Call) -> Result<Charge, Refusal> {
    let requests = &call.entry.requests;
    let (Some(prompt), Some(budget)) = (&call.request_head.prompt, &call.plan.budget) else {
        return Ok(Charge::new(requests, &call.log, None, 0, 0));
    };
    let tokens_per_event = call.plan.tokens_per_event.max(1);
    // Events are charged as full, and the last one may contain fewer tokens.
    let tokens = prompt.input_tokens + call.plan.max_events(prompt) * tokens_per_event;
    let reservation = reserve_tokens(call, budget, tokens).await?;
    Ok(Charge::new(requests, &call.log, Some(reservation), prompt.input_tokens, tokens_per_event))
}

/// Reserves `tokens` of the budget, unless the request exceeds its ration of the remaining tokens.
async fn reserve_tokens(
    call: &Call,
    budget: &Budget,
    tokens: Tokens,
) -> Result<Reservation, Refusal> {
    let requests = &call.entry.requests;
    let name = budget.name.to_string();
    let (ration_s, rank) = (call.entry.settings.ration_s, call.plan.rank());
    let demand = RequestDemand { tokens, rank, ration_s };
    let rationed = |ration: Tokens| {
        let retry_after = Duration::from_millis(RETRY_LATER_MS);
        Refusal::BudgetRationed { budget: budget.name.to_string(), tokens, ration, retry_after }
    };
    let refused = |refusal: TokenRefusal| {
        let retry_after = Duration::from_millis(refusal.retry_after_ms);
        if let Some(protected) = refusal.protected {
            Refusal::BudgetProtected { budget: name.clone(), tokens, protected, retry_after }
        } else if let Some(ration) = refusal.ration {
            rationed(ration)
        } else if refusal.store_away {
            let retry_after = outage_retry_delay(requests);
            Refusal::BudgetOutOfReach { budget: name.clone(), tokens, retry_after }
        } else {
            Refusal::BudgetShort { budget: name.clone(), tokens, retry_after }
        }
    };
    protection::admit(&requests.budgets, budget, demand).await.map_err(refused)?;
    let ration = ration(&requests.budgets, budget, demand).await;
    if tokens > ration {
        return Err(rationed(ration));
    }
    let reservation = reserve::reserve(&requests.budgets, budget, demand);
    match tokio::time::timeout(BUDGET_TIMEOUT, reservation).await {
        Ok(Ok(reservation)) => Ok(reservation),
        Ok(Err(refusal)) => Err(refused(refusal)),
        Err(_) => {
            let retry_after = TIMEOUT_RETRY_DELAY;
            Err(Refusal::BudgetOutOfReach { budget: name, tokens, retry_after })
        }
    }
}

/// Returns the retry delay after neither the store nor an owner has provided tokens.
fn outage_retry_delay(requests: &RequestContext) -> Duration {
    let store_age_ms = requests.fleet.connectivity.store_age(requests.base.clock.now());
    Duration::from_millis(outage::retry_after_outage(store_age_ms, rand::random()))
}
