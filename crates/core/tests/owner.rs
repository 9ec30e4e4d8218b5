//! Tests the owner of a budget shard with an in-memory store and in-memory holders.

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
fn an_owner_drawing_for_itself_is_refused_when_too_little_is_left() {
    let mut world = World::new(2, 100);
    assert!(world.reserve(0, 0, 60).is_some());
    // 40 tokens are left in total; the owner's own free tokens must not count twice.
    assert!(world.reserve(0, 0, 60).is_none());
    assert!(world.reserve(0, 0, 40).is_some());
}

#[test]
fn unspent_tokens_are_collected_before_a_refusal() {
    let mut world = World::new(4, 100);
    for holder in 1..4 {
        let reservation = world.reserve(0, holder, 20).expect("enough tokens are left");
        world.settle(holder, reservation, 0);
    }
    let reservation = world.reserve(0, 1, 100).expect("other holders have enough free tokens");
    world.settle(1, reservation, 100);
    assert!(world.reserve(0, 2, 1).is_none());
    assert_eq!(world.spent(), 100);
}

#[test]
fn tokens_move_between_holders_while_the_store_is_unavailable() {
    let mut world = World::new(3, 100);
    let reservation = world.reserve(0, 1, 80).expect("enough tokens are left");
    world.settle(1, reservation, 0);
    world.store_unavailable = true;
    let reservation = world.reserve(0, 2, 70).expect("another holder has enough free tokens");
    world.settle(2, reservation, 70);
    assert!(world.reserve(0, 2, 70).is_none());
}

#[test]
fn a_write_with_a_lost_reply_grants_once() {
    let mut world = World::new(2, 100);
    world.lose_next_reply = true;
    let reservation = world.reserve(0, 1, 60).expect("the write took effect");
    world.settle(1, reservation, 60);
    assert_eq!(world.stored_shard().budgets[&budget()].granted_to(Incarnation(1)), 60);
}

#[test]
fn two_owners_never_grant_more_than_the_budget() {
    let mut world = World::new(3, 100);
    let first = world.reserve(0, 1, 50).expect("enough tokens are left");
    let second = world.reserve(1, 2, 50).expect("enough tokens are left");
    world.settle(1, first, 50);
    world.settle(2, second, 50);
    assert!(world.reserve(0, 1, 1).is_none());
    assert!(world.reserve(1, 2, 1).is_none());
    assert_eq!(world.spent(), 100);
}

#[test]
fn a_repeated_top_up_counts_once() {
    let mut world = World::new(2, 100);
    for owner in [0, 1, 0] {
        world.top_up(owner, "t-1", 50);
    }
    assert_eq!(world.stored_shard().budgets[&budget()].total(), 50);
    assert!(world.reserve(1, 1, 150).is_some());
    assert!(world.reserve(0, 0, 1).is_none());
}

#[test]
fn a_retired_holder_is_charged_only_for_used_tokens() {
    let mut world = World::new(2, 100);
    let reservation = world.reserve(0, 1, 80).expect("enough tokens are left");
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
        let reservation = world.reserve(0, holder, 100).expect("enough tokens are left");
        world.settle(holder, reservation, 100);
    }
    let ledger = &world.stored_shard().budgets[&budget()];
    assert!(ledger.grants.len() <= MAX_GRANTS + 1, "{}", ledger.grants.len());
    assert_eq!(world.spent(), 100 * daemons as u64);
    let left = 100_000 - world.spent();
    assert!(world.reserve(0, daemons - 1, left).is_some(), "all remaining tokens can be collected");
}

#[test]
fn unopened_tokens_of_a_dead_holder_are_reclaimed() {
    let mut world = World::new(4, 1_000);
    let reservation = world.reserve(0, 1, 50).expect("enough tokens are left");
    world.settle(1, reservation, 50);
    let opened = world.stored_shard().budgets[&budget()].opened_by(Incarnation(1));
    world.dead[1] = true;
    world.reclaim(0, 1);
    let ledger = &world.stored_shard().budgets[&budget()];
    assert_eq!((ledger.retired, ledger.available()), (opened as i64, 1_000 - opened));
}

#[test]
fn tokens_opened_through_witnesses_are_not_reclaimed() {
    let mut world = World::new(4, 1_000);
    let reservation = world.reserve(0, 1, 50).expect("enough tokens are left");
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
fn a_live_holder_opens_nothing_more_after_a_reclaim() {
    let mut world = World::new(4, 1_000);
    let reservation = world.reserve(0, 1, 50).expect("enough tokens are left");
    world.settle(1, reservation, 50);
    world.reclaim(0, 1);
    assert!(!world.open(1, 10));
    assert!(world.reserve(0, 1, 200).is_none(), "a retired holder can draw no more");
}
