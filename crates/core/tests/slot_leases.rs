//! Slots of brittle servers: leases, waiting daemons, and the bound that follows rejections.

use bankcove_core::crashes::ServerInstance;
use bankcove_core::limits::RequestRate;
use bankcove_core::slot_leases::{
    Grant, LEASE_MS, Requested, SlotAnswer, SlotId, SlotIssuer, SlotRequest, SlotStats,
};
use bankcove_core::{Incarnation, Millis, Name};
use proptest::prelude::*;

fn server() -> ServerInstance {
    ServerInstance { name: Name::from("s"), started_ms: 1 }
}

fn borne(per_s: f64) -> RequestRate {
    RequestRate::new(per_s).expect("a rate")
}

/// Time until which requests wait.
const UNTIL: Millis = 100_000;

/// Requests a slot of a server with this many slots; returns whether it is leased at once.
fn is_leased(issuer: &mut SlotIssuer, now: Millis, from: u64, id: u64, slots: u32) -> bool {
    let request = request(from, id, slots, 0);
    let (requested, _) = issuer.request(now, &server(), borne(5.0), request, now);
    requested == Requested::Answered(SlotAnswer::Granted)
}

fn request(from: u64, id: u64, slots: u32, urgency: u32) -> SlotRequest {
    SlotRequest { from: Incarnation(from), id: SlotId(id), urgency, slots }
}

/// Requests the only slot of a server until `until`; returns whether the request waits for it.
fn is_waiting(
    issuer: &mut SlotIssuer,
    now: Millis,
    from: u64,
    urgency: u32,
    until: Millis,
) -> bool {
    let request = request(from, 1, 1, urgency);
    let (requested, _) = issuer.request(now, &server(), borne(5.0), request, until);
    requested == Requested::Waiting(until)
}

fn release(issuer: &mut SlotIssuer, now: Millis, from: u64, id: u64, rejected: bool) -> Vec<Grant> {
    issuer.release(now, &server(), Incarnation(from), SlotId(id), rejected)
}

fn stats(issuer: &SlotIssuer, now: Millis) -> SlotStats {
    issuer.stats(now).next().expect("the server is known").1
}

/// Guards against places that a dead host holds for ever.
#[test]
fn leases_of_a_dead_host_expire() {
    let mut issuer = SlotIssuer::default();
    assert!(is_leased(&mut issuer, 0, 1, 1, 1));
    assert!(!is_leased(&mut issuer, 10, 2, 1, 1));
    assert!(is_leased(&mut issuer, LEASE_MS, 2, 2, 1));
}

/// Guards against an issuer that issues the slots again which its predecessor has issued.
#[test]
fn an_issuer_that_takes_over_counts_renewed_leases() {
    let mut issuer = SlotIssuer::default();
    let ids = [SlotId(1), SlotId(2)];
    issuer.renew(0, &server(), borne(5.0), 2, Incarnation(1), &ids);
    assert!(!is_leased(&mut issuer, 10, 2, 1, 2));
    let waiting = request(2, 2, 2, 0);
    let (requested, _) = issuer.request(10, &server(), borne(5.0), waiting, UNTIL);
    assert_eq!(requested, Requested::Waiting(UNTIL));
    release(&mut issuer, 20, 1, 1, false);
    assert_eq!(stats(&issuer, 20).leased, 2, "the waiting request has got it");
}

#[test]
fn waiting_requests_get_free_slots_by_urgency_and_the_oldest_is_not_starved() {
    let mut issuer = SlotIssuer::default();
    assert!(is_leased(&mut issuer, 0, 1, 1, 1));
    assert!(is_waiting(&mut issuer, 1, 2, 9, UNTIL));
    let mut holder = (1, 1);
    let mut served = Vec::new();
    for turn in 0..8 {
        assert!(is_waiting(&mut issuer, 2 + turn, 10 + turn, 0, UNTIL));
        let grants = release(&mut issuer, 2 + turn, holder.0, holder.1, false);
        let [Grant { to, id }] = grants[..] else { panic!("one grant: {grants:?}") };
        holder = (to.0, id.0);
        served.push(to.0);
    }
    assert_eq!(served[0], 10, "the more urgent one is first");
    assert!(served.contains(&2), "{served:?}");
}

/// Guards against requests that wait for a slot which no release frees.
#[test]
fn a_waiting_request_gets_the_slot_of_an_expired_lease() {
    let mut issuer = SlotIssuer::default();
    assert!(is_leased(&mut issuer, 0, 1, 1, 1));
    assert!(is_waiting(&mut issuer, LEASE_MS - 10, 2, 5, UNTIL));
    assert!(issuer.grant_due(LEASE_MS - 1).is_empty());
    let granted = issuer.grant_due(LEASE_MS);
    assert_eq!(granted, [(server(), vec![Grant { to: Incarnation(2), id: SlotId(1) }])]);
}

/// Guards against slots that are granted to requests which no longer wait, and stay idle.
#[test]
fn a_request_that_no_longer_waits_is_granted_nothing() {
    let mut issuer = SlotIssuer::default();
    assert!(is_leased(&mut issuer, 0, 1, 1, 1));
    assert!(is_waiting(&mut issuer, 1, 2, 5, UNTIL));
    assert!(is_waiting(&mut issuer, 2, 3, 5, 300));
    let ended = issuer.end_wait(100, &server(), Grant { to: Incarnation(2), id: SlotId(1) });
    assert!(matches!(ended, SlotAnswer::Denied { .. }));
    assert!(release(&mut issuer, 300, 1, 1, false).is_empty());
    assert_eq!(stats(&issuer, 300).leased, 0);
}

/// Guards against requests that wait in vain until their time is over.
#[test]
fn a_request_that_can_expect_no_slot_in_time_is_denied_at_once() {
    let mut issuer = SlotIssuer::default();
    assert!(is_leased(&mut issuer, 0, 1, 1, 1));
    for from in 2..6 {
        assert!(is_waiting(&mut issuer, 1, from, 5, UNTIL));
    }
    assert!(!is_waiting(&mut issuer, 1, 6, 5, 101), "four wait before it, 50 ms each");
    assert!(is_waiting(&mut issuer, 1, 7, 0, 101), "it is the most urgent");
    assert_eq!(stats(&issuer, 1).waiting, 5);
}

/// Guards against servers that take less than they list and are asked for it again and again.
#[test]
fn the_bound_falls_to_what_the_server_takes() {
    const TAKEN: usize = 2;
    const LISTED: u32 = 32;
    const MAX_WAIT: Millis = 600;
    let mut issuer = SlotIssuer::default();
    let mut open: Vec<u64> = Vec::new();
    let mut rejections: Vec<Millis> = Vec::new();
    for now in 0..60_000 {
        if now % 50 == 0 {
            open.drain(..).for_each(|id| _ = release(&mut issuer, now, 1, id, false));
        }
        // Until 10 s the server takes as many as it lists.
        let taken = if now < 10_000 { LISTED as usize } else { TAKEN };
        let id = now + 1;
        // Requests that wait are given up before they use their slots, whose leases expire.
        let waiting = request(1, id, LISTED, 0);
        let (requested, _) = issuer.request(now, &server(), borne(5.0), waiting, now + MAX_WAIT);
        if requested != Requested::Answered(SlotAnswer::Granted) {
            continue;
        }
        if open.len() < taken {
            open.push(id);
        } else {
            rejections.push(now);
            release(&mut issuer, now, 1, id, true);
        }
    }
    let within =
        |from: &Millis| rejections.iter().filter(|at| (*from..from + 1_000).contains(*at)).count();
    let worst = rejections.iter().map(within).max().unwrap_or(0);
    assert!(worst <= 5, "{worst} rejections in a second");
    assert!(rejections.len() <= 30, "{} rejections in a minute", rejections.len());
    assert!(stats(&issuer, 60_000).limit >= TAKEN as u32 - 1);
}

/// Guards against a bound that is raised again and again at a server whose room changes.
#[test]
fn the_bound_is_raised_rarely_enough_for_what_the_server_bears() {
    const CHANGE_INTERVAL: Millis = 1_000;
    let mut issuer = SlotIssuer::default();
    let mut open: Vec<u64> = Vec::new();
    let mut rejections = 0;
    for now in 0..60_000 {
        if now % 50 == 0 {
            open.drain(..).for_each(|id| _ = release(&mut issuer, now, 1, id, false));
        }
        let taken = if now / CHANGE_INTERVAL % 2 == 0 { 8 } else { 2 };
        if !is_leased(&mut issuer, now, 1, now, 8) {
            continue;
        }
        if open.len() < taken {
            open.push(now);
        } else {
            rejections += 1;
            release(&mut issuer, now, 1, now, true);
        }
    }
    // A fifth of the five rejections that it bears in each second.
    assert!(rejections <= 60, "{rejections} rejections in a minute");
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Request { from: u64, waits: bool },
    Release { index: usize, is_rejected: bool, is_lost: bool },
    Pass { ms: Millis },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..6_u64, any::<bool>()).prop_map(|(from, waits)| Step::Request { from, waits }),
        (0..64_usize, prop::bool::weighted(0.1), prop::bool::weighted(0.1)).prop_map(
            |(index, is_rejected, is_lost)| Step::Release { index, is_rejected, is_lost }
        ),
        (0..400_u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

proptest! {
    /// Guards against more leases than slots, in any order of requests, releases and lost messages.
    #[test]
    fn no_more_slots_are_leased_than_listed(
        steps in prop::collection::vec(step(), 1..200), slots in 1..16_u32,
    ) {
        let mut issuer = SlotIssuer::default();
        let (mut now, mut id) = (0, 0);
        let mut held: Vec<(u64, u64)> = Vec::new();
        for step in steps {
            let grants = match step {
                Step::Request { from, waits } => {
                    id += 1;
                    let own = request(from, id, slots, 0);
                    let until = if waits { now + 600 } else { now };
                    let (requested, grants) =
                        issuer.request(now, &server(), borne(5.0), own, until);
                    if requested == Requested::Answered(SlotAnswer::Granted) {
                        held.push((from, id));
                    }
                    grants
                }
                Step::Release { index, is_rejected, is_lost } if !held.is_empty() => {
                    let (from, id) = held.swap_remove(index % held.len());
                    if is_lost { Vec::new() } else { release(&mut issuer, now, from, id, is_rejected) }
                }
                Step::Release { .. } => Vec::new(),
                Step::Pass { ms } => {
                    now += ms;
                    Vec::new()
                }
            };
            held.extend(grants.iter().map(|grant| (grant.to.0, grant.id.0)));
            if let Some((_, stats)) = issuer.stats(now).next() {
                prop_assert!(stats.leased <= slots as usize, "{stats:?}");
            }
        }
    }
}
