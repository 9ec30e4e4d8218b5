//! The parts of a budget that operators are told add up to its total, wherever its tokens are.

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
    let there = statement.not_granted
        + statement.spent
        + statement.reserved
        + statement.held
        + statement.unanswered;
    there as i64 + statement.ended + statement.in_transit
}

#[test]
fn what_is_spent_and_held_stands_apart() {
    let statement = Statement::new(&ledger(), vec![holding(1, 30, 20, 300), holding(2, 0, 0, 200)]);
    assert_eq!((statement.spent, statement.reserved, statement.held), (30, 20, 500));
    assert_eq!(
        (statement.not_granted, statement.in_transit, statement.unaccounted()),
        (450, 0, 20)
    );
    assert_eq!(sum(&statement), 1_000);
}

#[test]
fn tokens_on_their_way_are_neither_spent_nor_held() {
    // Half of what the second has was sent to the first and has not come.
    let statement = Statement::new(&ledger(), vec![holding(1, 30, 20, 300), holding(2, 0, 0, 100)]);
    assert_eq!((statement.spent, statement.in_transit), (30, 100));
    assert_eq!(sum(&statement), 1_000);
}

#[test]
fn a_daemon_that_does_not_answer_and_one_that_has_ended_stand_apart() {
    let mut ledger = ledger();
    ledger.retired = 70;
    ledger.retired_holders.push(Incarnation(9));
    let told = vec![holding(1, 30, 20, 300)];
    let statement = Statement::new(&ledger, told);
    assert_eq!((statement.unanswered, statement.ended, statement.in_transit), (200, 70, 0));
    assert_eq!(sum(&statement), 1_000);
    // One that still answers while it ends counts once.
    let told = vec![holding(1, 30, 20, 300), holding(9, 70, 0, 0)];
    let statement = Statement::new(&ledger, told);
    assert_eq!((statement.spent, statement.ended), (100, 0));
    assert_eq!(sum(&statement), 1_000);
}
