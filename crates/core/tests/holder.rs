//! The holder of one daemon: sealed and open grants, transfers, holdings.

use bankcove_core::holder::Holder;
use bankcove_core::witness::{Witness, WitnessRecords};
use bankcove_core::{Incarnation, Name};

fn budget() -> Name {
    Name::from("main")
}

fn witness(n: u64) -> Witness {
    Witness { incarnation: Incarnation(n), address: "127.0.0.1:1".into() }
}

/// Returns a holder with a fully sealed grant of `tokens` and one recorded witness.
fn sealed_holder(tokens: u64) -> Holder {
    let mut holder = Holder::new(Incarnation(1));
    holder.record_granted(&budget(), tokens);
    holder.set_recorded_witnesses(&budget(), &[witness(2)]);
    holder
}

#[test]
fn sealed_tokens_cannot_be_reserved() {
    let mut holder = sealed_holder(100);
    assert!(holder.reserve(&budget(), 1, 0).is_err());
    let opening = holder.next_opening(&budget(), 10, 0).expect("there is a witness");
    assert!(holder.confirm_opening(&budget(), &opening));
    assert!(holder.reserve(&budget(), 11, 0).is_err());
    assert!(holder.reserve(&budget(), 10, 0).is_ok());
}

#[test]
fn opening_is_rejected_without_agreement_of_a_new_witness() {
    let mut holder = sealed_holder(100);
    let opening = holder.next_opening(&budget(), 10, 0).expect("there is a witness");
    // A draw names another witness before the first one's agreement arrives.
    holder.propose_witnesses(&budget(), &[witness(3)]);
    assert!(!holder.confirm_opening(&budget(), &opening));
    assert!(holder.reserve(&budget(), 1, 0).is_err());
    let opening = holder.next_opening(&budget(), 10, 0).expect("there are witnesses");
    assert_eq!(opening.witnesses, [witness(2), witness(3)]);
}

#[test]
fn retried_transfer_is_debited_once() {
    let (mut from, mut to) = (Holder::new(Incarnation(1)), Holder::new(Incarnation(2)));
    from.record_granted(&budget(), 100);
    from.record_opened(&budget(), 100);
    let lost = from.transfer(&budget(), Incarnation(2), 0, 60);
    let again = from.transfer(&budget(), Incarnation(2), 0, 60);
    assert_eq!((lost, again, from.free(&budget())), (60, 60, 40));
    to.record_received(&budget(), Incarnation(1), again);
    to.record_received(&budget(), Incarnation(1), lost);
    assert_eq!(to.free(&budget()), 60);
}

#[test]
fn spending_is_capped_at_the_reservation() {
    let mut holder = Holder::new(Incarnation(1));
    holder.record_granted(&budget(), 100);
    holder.record_opened(&budget(), 100);
    let reservation = holder.reserve(&budget(), 30, 0).expect("there is enough");
    holder.settle(reservation, 1_000);
    assert_eq!((holder.accounts()[&budget()].spent, holder.free(&budget())), (30, 70));
}

#[test]
fn closing_affects_one_holder_and_budget_only() {
    let mut records = WitnessRecords::default();
    assert!(records.open(Incarnation(1), &budget(), 40));
    assert_eq!(records.close(Incarnation(1), &budget()), 40);
    assert!(!records.open(Incarnation(1), &budget(), 50));
    assert!(records.open(Incarnation(1), &Name::from("other"), 50));
    assert!(records.open(Incarnation(2), &budget(), 50));
}

/// Guards against a reservation that grows by tokens which are not free.
#[test]
fn a_reservation_grows_by_free_tokens_alone() {
    let mut holder = Holder::new(Incarnation(1));
    holder.record_granted(&budget(), 100);
    holder.record_opened(&budget(), 100);
    let mut reservation = holder.reserve(&budget(), 90, 1_000).expect("there is enough");
    assert!(holder.extend(&mut reservation, 10));
    assert!(!holder.extend(&mut reservation, 1));
    assert_eq!(reservation.tokens(), 100);
    holder.settle(reservation, 95);
    let held = holder.holdings();
    assert_eq!((held.spent, held.reserved, held.free), (95, 0, 5));
}

#[test]
fn holdings_account_for_every_token() {
    let (lender, me) = (Incarnation(2), Incarnation(1));
    let mut holder = Holder::new(me);
    let (main, other) = (budget(), Name::from("other"));
    holder.record_granted(&main, 100);
    holder.record_opened(&main, 90);
    holder.record_received(&other, lender, 50);
    let running = holder.reserve(&main, 30, 1_000).expect("there is enough");
    let ended = holder.reserve(&main, 20, 3_000).expect("there is enough");
    let _running_too = holder.reserve(&other, 7, 5_000).expect("there is enough");
    holder.settle(ended, 15);
    holder.transfer(&other, lender, 0, 3);
    let held = holder.holdings();
    assert_eq!((held.granted, held.received, held.returned, held.sent), (100, 50, 0, 3));
    assert_eq!((held.spent, held.reserved, held.free, held.sealed), (15, 37, 85, 10));
    let credits = held.granted + held.received;
    let debits = held.returned + held.sent + held.spent;
    assert_eq!(credits, debits + held.reserved + held.free + held.sealed);
    // The running attempts began at 1 s and at 5 s.
    assert_eq!((held.running.count, held.running.mean_age(9_000)), (2, 6_000));
    let largest: Vec<String> = holder.largest_holdings(1).iter().map(ToString::to_string).collect();
    assert_eq!(largest, ["main 55+30"]);
    holder.settle(running, 30);
    assert_eq!(holder.holdings().running.mean_age(9_000), 4_000);
}
