//! Statement of a budget: where all its tokens are, according to the daemons that answer and the
//! store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Name;
use bankcove_core::holder::{DaemonHolding, Statement};
use bankcove_core::shard::{Ledger, Shard, shard_of_budget};
use bankcove_core::table::Budget;
use bankcove_ports::Kind;
use futures::future::join_all;

use crate::budget::budgets::Budgets;
use crate::peer::PeerServiceClient;

/// Maximum number of attempts at a statement without double counting. Tokens are counted twice if
/// they are sent after the sender was asked, and received before the receiver was.
const MAX_ATTEMPTS: usize = 3;

/// Returns the tokens of a budget at this daemon.
pub fn holding(budgets: &Budgets, budget: &Name) -> DaemonHolding {
    let holder = budgets.holder();
    holder.holding(&budgets.fleet.base.cfg.name, budgets.fleet.base.incarnation, budget)
}

/// Returns the budget's ledger in the store and the statement of its tokens.
///
/// # Errors
/// Errors of the store.
pub async fn statement(
    budgets: &Arc<Budgets>,
    row: &Budget,
) -> bankcove_ports::Result<(Ledger, Statement)> {
    let mut attempt = attempt(budgets, row).await?;
    for _ in 1..MAX_ATTEMPTS {
        if attempt.1.in_transit >= 0 {
            break;
        }
        attempt = self::attempt(budgets, row).await?;
    }
    Ok(attempt)
}

/// Makes one attempt. The store is read again after the daemons were asked, so that tokens in
/// transit to a daemon are not missed.
async fn attempt(
    budgets: &Arc<Budgets>,
    row: &Budget,
) -> bankcove_ports::Result<(Ledger, Statement)> {
    let before = read(budgets, row).await?;
    let mut holders = ask_others(budgets, &row.name, &before).await;
    holders.push(holding(budgets, &row.name));
    let ledger = read(budgets, row).await?;
    let statement = Statement::new(&ledger, holders);
    Ok((ledger, statement))
}

/// Reads the ledger of a budget and applies its table row to it.
async fn read(budgets: &Budgets, row: &Budget) -> bankcove_ports::Result<Ledger> {
    let shards = budgets.fleet.base.cfg.limits.budget_shards;
    let object = format!("shard-{:02}", shard_of_budget(&row.name, shards));
    let shard = budgets.store.read::<Shard>(Kind::Budgets, &object).await?;
    let mut ledger = shard.map(|read| read.value).unwrap_or_default().ledger(&row.name).clone();
    ledger.update_row(row.tokens, row.version);
    Ok(ledger)
}

/// Asks the known peers and the holders in the ledger that are not known as peers.
async fn ask_others(budgets: &Arc<Budgets>, budget: &Name, ledger: &Ledger) -> Vec<DaemonHolding> {
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.peer_timeout_ms);
    let mut addresses: BTreeSet<String> =
        budgets.fleet.members.lock().usable().map(|peer| peer.address.clone()).collect();
    addresses.extend(ledger.grants.values().map(|grant| grant.address.to_string()));
    addresses.remove(budgets.fleet.base.cfg.peer_address());
    let calls = addresses.iter().map(|address| {
        let budget = budget.clone();
        let call = |client: PeerServiceClient, cx| async move { client.holding(cx, budget).await };
        budgets.fleet.base.peers.call(address, timeout, call)
    });
    join_all(calls).await.into_iter().flatten().collect()
}
