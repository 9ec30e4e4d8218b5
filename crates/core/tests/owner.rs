//! The owner of a budget shard, against a store and holders in memory.

mod common;

use bankcove_core::Incarnation;
use bankcove_core::owner::{Command, Event, Reply, Request};
use bankcove_core::shard::MAX_GRANTS;
use common::{World, budget};

#[test]
fn a_draw_is_granted_only_after_its_write() {
    let mut world = World::new(2, 1_000);
    let draw = world.draw(1, 10);
    let commands = world.owner(0).handle(0, Event::Requested(1, Request::Draw(draw)));
    assert_eq!(commands, [Command::Load]);
    let shard = world.stored_shard();
    let commands = world.owner(0).handle(1, Event::Loaded(0, shard));
    let [Command::Write(0, next)] = &commands[..] else { panic!("{commands:?}") };
    assert!(next.budgets[&budget()].opened_by(Incarnation(1)) >= 10);
    let commands = world.owner(0).handle(2, Event::Written(1));
    assert!(matches!(commands[..], [Command::Reply(1, Reply::Granted { .. })]), "{commands:?}");
}

#[test]
fn an_owner_that_draws_for_itself_is_refused_when_nothing_is_left() {
    let mut world = World::new(2, 100);
    assert!(world.reserve(0, 0, 60).is_some());
    // 40 tokens are left in all; the owner's own free ones count only once.
    assert!(world.reserve(0, 0, 60).is_none());
    assert!(world.reserve(0, 0, 40).is_some());
}

#[test]
fn unspent_tokens_are_collected_before_a_refusal() {
    let mut world = World::new(4, 100);
    for holder in 1..4 {
        let reservation = world.reserve(0, holder, 20).expect("there is enough");
        world.settle(holder, reservation, 0);
    }
    let reservation = world.reserve(0, 1, 100).expect("all of it is free in some holder");
    world.settle(1, reservation, 100);
    assert!(world.reserve(0, 2, 1).is_none());
    assert_eq!(world.spent(), 100);
}

#[test]
fn tokens_move_between_holders_while_the_store_is_away() {
    let mut world = World::new(3, 100);
    let reservation = world.reserve(0, 1, 80).expect("there is enough");
    world.settle(1, reservation, 0);
    world.store_away = true;
    let reservation = world.reserve(0, 2, 70).expect("another holder has it");
    world.settle(2, reservation, 70);
    assert!(world.reserve(0, 2, 70).is_none());
}

#[test]
fn a_lost_answer_grants_once() {
    let mut world = World::new(2, 100);
    world.lose_next_answer = true;
    let reservation = world.reserve(0, 1, 60).expect("the write took effect");
    world.settle(1, reservation, 60);
    assert_eq!(world.stored_shard().budgets[&budget()].granted_to(Incarnation(1)), 60);
}

#[test]
fn two_owners_cost_conflicts_and_no_tokens() {
    let mut world = World::new(3, 100);
    let one = world.reserve(0, 1, 50).expect("there is enough");
    let two = world.reserve(1, 2, 50).expect("there is enough");
    world.settle(1, one, 50);
    world.settle(2, two, 50);
    assert!(world.reserve(0, 1, 1).is_none());
    assert!(world.reserve(1, 2, 1).is_none());
    assert_eq!(world.spent(), 100);
}

#[test]
fn a_top_up_counts_once_however_often_it_is_sent() {
    let mut world = World::new(2, 100);
    for owner in [0, 1, 0] {
        world.top_up(owner, "t-1", 50);
    }
    assert_eq!(world.stored_shard().budgets[&budget()].total(), 50);
    assert!(world.reserve(1, 1, 150).is_some());
    assert!(world.reserve(0, 0, 1).is_none());
}

#[test]
fn a_retired_holder_keeps_only_what_it_used() {
    let mut world = World::new(2, 100);
    let reservation = world.reserve(0, 1, 80).expect("there is enough");
    world.settle(1, reservation, 30);
    world.retire(0, 1);
    let ledger = &world.stored_shard().budgets[&budget()];
    assert_eq!((ledger.retired, ledger.available()), (30, 70));
    assert!(!ledger.grants.contains_key(&Incarnation(1)));
    assert!(world.reserve(0, 0, 70).is_some());
}

#[test]
fn a_stored_budget_does_not_grow_with_the_fleet() {
    let daemons = 3 * MAX_GRANTS;
    let mut world = World::new(daemons as u64, 100_000);
    for holder in 0..daemons {
        let reservation = world.reserve(0, holder, 100).expect("there is enough");
        world.settle(holder, reservation, 100);
    }
    let ledger = &world.stored_shard().budgets[&budget()];
    assert!(ledger.grants.len() <= MAX_GRANTS + 1, "{}", ledger.grants.len());
    assert_eq!(world.spent(), 100 * daemons as u64);
    let left = 100_000 - world.spent();
    assert!(world.reserve(0, daemons - 1, left).is_some(), "all that is left is in reach");
}

#[test]
fn what_a_dead_holder_never_opened_is_taken_back() {
    let mut world = World::new(4, 1_000);
    let reservation = world.reserve(0, 1, 50).expect("there is enough");
    world.settle(1, reservation, 50);
    let opened = world.stored_shard().budgets[&budget()].opened_by(Incarnation(1));
    world.dead[1] = true;
    world.reclaim(0, 1);
    let ledger = &world.stored_shard().budgets[&budget()];
    assert_eq!((ledger.retired, ledger.available()), (opened as i64, 1_000 - opened));
}

#[test]
fn what_its_witnesses_let_it_open_is_not_taken_back() {
    let mut world = World::new(4, 1_000);
    let reservation = world.reserve(0, 1, 50).expect("there is enough");
    world.settle(1, reservation, 50);
    let stored = world.stored_shard().budgets[&budget()].opened_by(Incarnation(1));
    assert!(world.open(1, 5));
    let opened = world.opened(1);
    assert!(opened >= stored + 5);
    world.dead[1] = true;
    world.reclaim(0, 1);
    let ledger = &world.stored_shard().budgets[&budget()];
    assert_eq!(ledger.retired, opened as i64);
}

#[test]
fn a_holder_that_only_seemed_dead_opens_nothing_more() {
    let mut world = World::new(4, 1_000);
    let reservation = world.reserve(0, 1, 50).expect("there is enough");
    world.settle(1, reservation, 50);
    world.reclaim(0, 1);
    assert!(!world.open(1, 10));
    assert!(world.reserve(0, 1, 200).is_none(), "a holder that was ended draws no more");
}
