//! Where all tokens of a budget are, by the daemons that answer and the store.

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

/// Looks for one at which nothing was counted twice: tokens that came to a daemon after
/// another one, which sent them, was asked.
const LOOKS: usize = 3;

/// What this daemon holds of a budget.
pub fn holding(budgets: &Budgets, budget: &Name) -> DaemonHolding {
    let holder = budgets.holder();
    holder.holding(&budgets.fleet.base.cfg.name, budgets.fleet.base.incarnation, budget)
}

/// The budget as the store has it, and where its tokens are.
///
/// # Errors
/// The store's.
pub async fn statement(
    budgets: &Arc<Budgets>,
    row: &Budget,
) -> bankcove_ports::Result<(Ledger, Statement)> {
    let mut look = look(budgets, row).await?;
    for _ in 1..LOOKS {
        if look.1.in_transit >= 0 {
            break;
        }
        look = self::look(budgets, row).await?;
    }
    Ok(look)
}

/// The store is read again after the daemons were asked, so that no token is missed on its way
/// to one.
async fn look(budgets: &Arc<Budgets>, row: &Budget) -> bankcove_ports::Result<(Ledger, Statement)> {
    let before = read(budgets, row).await?;
    let mut holders = ask_others(budgets, &row.name, &before).await;
    holders.push(holding(budgets, &row.name));
    let ledger = read(budgets, row).await?;
    let statement = Statement::new(&ledger, holders);
    Ok((ledger, statement))
}

async fn read(budgets: &Budgets, row: &Budget) -> bankcove_ports::Result<Ledger> {
    let shards = budgets.fleet.base.cfg.limits.budget_shards;
    let object = format!("shard-{:02}", shard_of_budget(&row.name, shards));
    let shard = budgets.store.read::<Shard>(Kind::Budgets, &object).await?;
    let mut ledger = shard.map(|read| read.value).unwrap_or_default().ledger(&row.name).clone();
    ledger.update_row(row.tokens, row.version);
    Ok(ledger)
}

/// Asks the peers, and those holders that the ledger names and this daemon has not heard of.
async fn ask_others(budgets: &Arc<Budgets>, budget: &Name, ledger: &Ledger) -> Vec<DaemonHolding> {
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.peer_timeout_ms);
    let mut addresses: BTreeSet<String> =
        budgets.fleet.members.lock().usable().map(|peer| peer.address.clone()).collect();
    addresses.extend(ledger.grants.values().map(|grant| grant.address.to_string()));
    addresses.remove(budgets.fleet.base.cfg.peer_address());
    let asked = addresses.iter().map(|address| {
        let budget = budget.clone();
        let ask = |client: PeerServiceClient, cx| async move { client.holding(cx, budget).await };
        budgets.fleet.base.peers.call(address, timeout, ask)
    });
    join_all(asked).await.into_iter().flatten().collect()
}
