//! The parts of a statement add up to the budget's total, wherever its tokens are.

use std::sync::Arc;

use bankcove_core::holder::{DaemonHolding, Statement};
use bankcove_core::shard::{Grant, Ledger};
use bankcove_core::{Incarnation, Name, Tokens};

fn grant(granted: Tokens, returned: Tokens) -> Grant {
    Grant {
        granted,
        opened: granted,
        returned,
        address: Arc::from("127.0.0.1:1"),
        witnesses: Vec::new(),
        rate: 0,
        named_by: 0,
    }
}

fn ledger() -> Ledger {
    let mut ledger = Ledger { row_tokens: 1_000, ..Ledger::default() };
    ledger.grants.insert(Incarnation(1), grant(400, 50));
    ledger.grants.insert(Incarnation(2), grant(200, 0));
    ledger
}

fn holding(n: u64, spent: Tokens, reserved: Tokens, held: Tokens) -> DaemonHolding {
    let (budget, daemon) = (Name::from("b"), Name::from(format!("entry-{n}")));
    DaemonHolding { budget, daemon, incarnation: Incarnation(n), spent, reserved, held }
}

fn sum(statement: &Statement) -> i64 {
    let parts = statement.not_granted
        + statement.spent
        + statement.reserved
        + statement.held
        + statement.unanswered;
    parts as i64 + statement.ended + statement.in_transit
}

#[test]
fn spent_and_held_are_separate() {
    let statement = Statement::new(&ledger(), vec![holding(1, 30, 20, 300), holding(2, 0, 0, 200)]);
    assert_eq!((statement.spent, statement.reserved, statement.held), (30, 20, 500));
    assert_eq!(
        (statement.not_granted, statement.in_transit, statement.unaccounted()),
        (450, 0, 20)
    );
    assert_eq!(sum(&statement), 1_000);
}

#[test]
fn tokens_in_transit_are_neither_spent_nor_held() {
    // Half of the second daemon's tokens were sent to the first and have not arrived.
    let statement = Statement::new(&ledger(), vec![holding(1, 30, 20, 300), holding(2, 0, 0, 100)]);
    assert_eq!((statement.spent, statement.in_transit), (30, 100));
    assert_eq!(sum(&statement), 1_000);
}

#[test]
fn unanswered_and_ended_incarnations_are_separate() {
    let mut ledger = ledger();
    ledger.retired = 70;
    ledger.retired_holders.push(Incarnation(9));
    let holdings = vec![holding(1, 30, 20, 300)];
    let statement = Statement::new(&ledger, holdings);
    assert_eq!((statement.unanswered, statement.ended, statement.in_transit), (200, 70, 0));
    assert_eq!(sum(&statement), 1_000);
    // An incarnation that still answers while it ends is counted once.
    let holdings = vec![holding(1, 30, 20, 300), holding(9, 70, 0, 0)];
    let statement = Statement::new(&ledger, holdings);
    assert_eq!((statement.spent, statement.ended), (100, 0));
    assert_eq!(sum(&statement), 1_000);
}
