//! Guards against a status that promises "not run" for a request that may have run, and against
//! 502 or 504 for one that has not.

use std::time::Duration;

use bankcove_core::hints::{Closed, ServerHints};
use bankcove_ports::wire::{NotRunReason, ResponseHead};
use salvo::http::StatusCode;
use yare::parameterized;

use crate::entry::backend::SendError;
use crate::entry::outcome::{Failure, NotExecuted, RunState, Unrun};
use crate::entry::refusal::Refusal;
use crate::entry::response::OwnHead;
use crate::hints::permit::PermitError;

/// Identifier of the request.
const ID: &str = "own";

/// Returns the head of an answer that names the request with this identifier.
fn head_naming(id: Option<&str>, unrun: Option<NotRunReason>) -> ResponseHead {
    let (id, hints) = (id.map(str::to_owned), ServerHints::default());
    ResponseHead { id, unrun, is_signed: false, is_encoded: false, hints }
}

fn head(unrun: Option<NotRunReason>) -> OwnHead {
    OwnHead::check(head_naming(Some(ID), unrun), ID).expect("it names the request")
}

/// Guards against a proof by the answer to another request.
#[parameterized(
    of_another = { Some("another") },
    of_none = { None },
)]
fn a_head_that_does_not_name_the_request_is_not_its_own(id: Option<&str>) {
    let foreign = OwnHead::check(head_naming(id, Some(NotRunReason::Full)), ID);
    assert_eq!(foreign.expect_err("it is foreign").id.as_deref(), id);
}

/// Evidence of how an attempt ended.
enum Ended {
    Failed(SendError),
    Answered(Option<NotRunReason>),
    Late,
}

use Ended::{Answered, Failed, Late};

impl Ended {
    fn proof(&self) -> Option<NotExecuted> {
        match self {
            Failed(e) => NotExecuted::from_error(e),
            Answered(unrun) => NotExecuted::from_head(&head(*unrun)),
            Late => None,
        }
    }
}

fn expired() -> Ended {
    Failed(SendError::Permit(PermitError::Expired))
}

fn closed() -> Ended {
    Failed(SendError::Permit(PermitError::Closed(Closed::Leaving)))
}

fn not_connected() -> Ended {
    Failed(SendError::NotConnected("refused".to_owned()))
}

fn broken() -> Ended {
    Failed(SendError::Broken("reset".to_owned()))
}

fn full() -> Ended {
    Answered(Some(NotRunReason::Full))
}

fn other_instance() -> Ended {
    Answered(Some(NotRunReason::OtherInstance))
}

/// Returns the state after these attempts, one after the other.
fn after(attempts: Vec<Ended>) -> RunState {
    attempts.iter().fold(RunState::Unrun(Unrun::received()), |state, ended| {
        let sent = state.send();
        match ended.proof() {
            Some(proof) => sent.not_executed(proof),
            None => RunState::InDoubt(sent.in_doubt()),
        }
    })
}

#[parameterized(
    none = { vec![] },
    permit_expired = { vec![expired()] },
    server_closed = { vec![closed()] },
    no_connection = { vec![not_connected()] },
    not_executed = { vec![full()] },
    other_instance_answered = { vec![other_instance()] },
    all_in_turn = { vec![full(), closed(), not_connected(), other_instance(), expired()] },
)]
fn a_request_whose_attempts_all_have_proof_is_refused_as_not_run(attempts: Vec<Ended>) {
    let refused = after(attempts).refuse(Refusal::NoServer);
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.code(), "no_server");
    assert!(refused.retry_after().is_some());
}

#[parameterized(
    not_executed = { vec![full()] },
    no_connection = { vec![not_connected()] },
)]
fn a_late_request_whose_attempts_all_have_proof_is_refused_as_not_run(attempts: Vec<Ended>) {
    let refused = after(attempts).refuse_late();
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.code(), "too_late");
}

#[parameterized(
    connection_broken = { vec![broken()] },
    not_answered_in_time = { vec![Late] },
    answer_without_proof = { vec![Answered(None)] },
    proof_before = { vec![full(), broken()] },
    proof_after = { vec![broken(), full()] },
    every_proof_after = { vec![Late, full(), closed(), not_connected(), other_instance(), expired()] },
    proof_around = { vec![not_connected(), Answered(None), other_instance()] },
)]
fn once_an_attempt_may_have_run_no_proof_revokes_it(attempts: Vec<Ended>) {
    let failed = after(attempts).refuse(Refusal::NoServer);
    assert_eq!((failed.status(), failed.code()), (StatusCode::BAD_GATEWAY, "answer_lost"));
    assert_eq!((failed.retry_after(), failed.refusal()), (None, None));
    let late = after(vec![broken(), full()]).refuse_late();
    assert_eq!((late.status(), late.code()), (StatusCode::GATEWAY_TIMEOUT, "timed_out"));
}

/// Each refusal that can follow an attempt keeps its status where nothing ran, and none of them
/// changes the status of a request that may have run.
#[parameterized(
    no_server = { Refusal::NoServer, 503 },
    none_listed = { Refusal::NoneListed, 503 },
    no_hall = { Refusal::NoHall, 503 },
    only_cold = { Refusal::OnlyCold(Duration::from_secs(1)), 503 },
    only_limited = { Refusal::OnlyLimited(Duration::from_secs(1)), 503 },
    only_resting = { Refusal::OnlyResting(Duration::from_secs(1)), 503 },
    crashes_in_doubt = { Refusal::CrashesInDoubt, 503 },
    crashes_servers = { Refusal::CrashesServers, 400 },
)]
fn a_refusal_after_attempts_depends_on_their_proof(refusal: Refusal, status: u16) {
    let not_run: Failure = after(vec![full(), not_connected()]).refuse(refusal.clone());
    assert_eq!((not_run.status().as_u16(), not_run.code()), (status, refusal.code()));
    assert_eq!(not_run.to_string(), refusal.to_string());
    assert_eq!(not_run.retry_after(), refusal.retry_after());
    let in_doubt = after(vec![broken(), full()]).refuse(refusal);
    assert_eq!(in_doubt.status(), StatusCode::BAD_GATEWAY);
}

#[test]
fn a_saturated_link_changes_no_outcome_of_a_request_that_may_have_run() {
    let to_link = |refusal: Refusal| refusal.on_saturated_link(true);
    let not_run = after(vec![full()]).refuse(Refusal::NoServer).map_refusal(to_link);
    assert_eq!(not_run.refusal(), Some(&Refusal::LinkFull));
    let in_doubt = after(vec![broken()]).refuse(Refusal::NoServer).map_refusal(to_link);
    assert_eq!(in_doubt.code(), "answer_lost");
}
