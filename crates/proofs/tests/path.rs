//! The whole path over the real binaries, each process on its own.

use bankcove_core::{Name, RequestHash};
use bankcove_proofs::caller::{Ask, Caller, Told};
use bankcove_proofs::check;
use bankcove_proofs::fleet::{Fleet, Plan, segments};

#[tokio::test(flavor = "multi_thread")]
async fn a_request_goes_through_and_is_billed() {
    let fleet = Fleet::start(&Plan { services: 1, ..Plan::default() }).await;
    let caller = Caller::default();
    let daemon = &fleet.daemons[0].callers;
    let mut attempts = Vec::new();
    attempts.push(caller.ask(daemon, &Ask::new("streamed")).await);
    attempts.push(caller.ask(daemon, &Ask::new("whole").whole()).await);
    for attempt in &attempts {
        assert!(matches!(attempt.told, Told::Done { output_tokens: 8, .. }), "{attempt:?}");
    }
    assert_eq!(check::whole_answers(&attempts), Ok(2));
    let bills = check::bills(&segments(&fleet.writes().await));
    let request_of = |key: &str| RequestHash::of(&Name::from("dispatch"), key);
    assert_eq!(check::billed_once(&attempts, &bills, request_of), Ok(()));
    assert_eq!(bills.len(), 2);
}
