//! Bounds on the request bodies that a host holds.

use bankcove_core::Name;
use bankcove_core::held_bodies::{BodyOwner, HeldBodies, SMALL_BODY_BYTES};
use yare::parameterized;

const MAX_BYTES: u64 = 30 << 20;
const LARGE: u64 = 4 << 20;
const CHUNK: u64 = 16 << 10;

fn owner(workspace: &str, rank: u32) -> BodyOwner {
    BodyOwner { workspace: Some(Name::from(workspace)), rank }
}

/// Adds chunks of bodies that don't end until one has no room; returns the bytes added.
fn fill(held: &mut HeldBodies, owner: &BodyOwner) -> u64 {
    let mut added = 0;
    while held.check(owner, LARGE, CHUNK).is_ok() {
        held.add(owner, CHUNK);
        added += CHUNK;
    }
    added
}

/// Guards against bodies whose sum is not bounded, and against a bound that refuses at half load.
#[parameterized(urgent = { 0 }, usual = { 1 }, least_urgent = { 7 })]
fn bodies_of_one_workspace_fill_more_than_half_of_the_bound_and_not_all(rank: u32) {
    let mut held = HeldBodies::new(MAX_BYTES);
    let added = fill(&mut held, &owner("one", rank));
    assert!(added > MAX_BYTES / 2 && added < MAX_BYTES, "{added}");
    assert_eq!(held.held_bytes(), added);
}

/// Guards against large bodies that keep small requests, other workspaces and urgent requests out.
#[test]
fn others_have_room_beside_a_workspace_with_large_bodies() {
    let mut held = HeldBodies::new(MAX_BYTES);
    fill(&mut held, &owner("one", 1));
    assert!(held.check(&owner("one", 1), 0, SMALL_BODY_BYTES).is_ok());
    assert!(held.check(&owner("one", 0), LARGE, CHUNK).is_ok());
    assert!(held.check(&owner("other", 1), 0, LARGE).is_ok());
    for workspace in ["other", "third", "fourth", "fifth"] {
        fill(&mut held, &owner(workspace, 1));
    }
    assert!(held.held_bytes() < MAX_BYTES);
    assert!(held.check(&owner("sixth", 1), 0, SMALL_BODY_BYTES).is_ok());
}

/// Guards against a check that a body which fits alone can never pass.
#[test]
fn the_largest_body_has_room_when_nothing_is_held() {
    for (max_bytes, rank) in [(MAX_BYTES, 0), (MAX_BYTES, 9), (SMALL_BODY_BYTES, 0)] {
        let held = HeldBodies::new(max_bytes);
        let owner = owner("one", rank);
        let largest = held.largest_body(&owner);
        assert!(largest > max_bytes / 2, "{largest}");
        assert!(held.check(&owner, 0, largest).is_ok(), "{largest}");
        assert!(held.check(&owner, 0, max_bytes).is_err());
    }
}

/// Guards against room that is lost with each request.
#[test]
fn released_bodies_leave_their_room() {
    let mut held = HeldBodies::new(MAX_BYTES);
    let one = owner("one", 1);
    for now in 0..1_000 {
        let added = fill(&mut held, &one);
        held.release(&one, added, now);
    }
    assert_eq!(held.held_bytes(), 0);
    assert!(held.check(&one, 0, LARGE).is_ok());
}

/// Guards against a retry delay that is not true, and against callers that all return at once.
#[test]
fn refused_bodies_return_as_fast_as_others_are_released() {
    let mut held = HeldBodies::new(MAX_BYTES);
    let one = owner("one", 1);
    held.add(&one, 5 * LARGE);
    // Nothing was released: the longest delay.
    let longest = held.retry_after(LARGE, 10_000);
    let mut held = HeldBodies::new(MAX_BYTES);
    held.add(&one, 5 * LARGE);
    for at in 0..10 {
        held.release(&one, LARGE / 2, 10_000 + at * 100);
    }
    // Five bodies a second were released: one has room after 200 ms, the next after 400 ms.
    let delays = [(); 3].map(|()| held.retry_after(LARGE, 10_950));
    assert_eq!(delays, [200, 400, 600]);
    assert!(delays.iter().all(|delay| *delay < longest));
}
