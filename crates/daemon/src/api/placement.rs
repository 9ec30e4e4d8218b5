//! Dispatch of an admitted attempt: chooses a server, and another one for as
//! long as it is proved that nothing ran.

use std::sync::Arc;

use bankcove_core::crashes::{Placement, Verdict};
use bankcove_core::lifecycle::{Admitted, Attempt, Dispatched, NotRun};
use bankcove_core::request_log::Entry;
use bankcove_core::router::{Choice, Homes, NoServer, RoutingRequest};
use bankcove_core::table::ServerKind;
use bankcove_core::{Fingerprint, Millis, Name, RequestHash};
use reqwest::Response;
use salvo::http::StatusCode;

use crate::api::Api;
use crate::api::answer::Problem;
use crate::api::backend::{self, DispatchError, Outgoing};
use crate::crashes::gate::RunApart;
use crate::hints::permit::Permit;
use crate::requests::open_request::OpenRequest;

/// When to come back when no server is usable.
const RETRY_NO_SERVER_MS: u64 = 1_000;

/// When to come back after an unknown outcome.
const RETRY_UNKNOWN_MS: u64 = 500;

/// An attempt that a server has begun to answer.
pub struct Placed {
    /// The attempt.
    pub attempt: Attempt<Dispatched>,
    /// The server.
    pub choice: Choice,
    /// The beginning of its answer.
    pub res: Response,
    /// Ends the server's count of open requests.
    pub open: OpenRequest,
    /// What was asked for.
    pub fingerprint: Fingerprint,
}

/// What a request needs of a server.
pub struct Need<'a> {
    /// The router's pool.
    pub pool: &'a str,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// What kind of server it is.
    pub kind: ServerKind,
    /// The request.
    pub request: RequestHash,
    /// Who asks.
    pub workspace: &'a Name,
    /// Regions that may serve it.
    pub homes: Homes<'a>,
    /// Whether a claim has to be given up when nothing ran.
    pub claimed: bool,
}

/// Chooses a server for a request and takes a permit for it.
///
/// # Errors
/// [`NoServer`] when none is to be had.
pub async fn choose(
    api: &Api,
    need: &Need<'_>,
    tried: &[Name],
    place: Option<Placement>,
) -> Result<Permit, NoServer> {
    // One that gave no permit is not chosen again for a while.
    loop {
        let choice = choose_at(api, need, tried, place)?;
        if let Ok(permit) = api.requests.hints.permit(&api.requests.base.log, choice, 0).await {
            return Ok(permit);
        }
    }
}

/// Chooses a server, at its place for a suspect.
fn choose_at(
    api: &Api,
    need: &Need,
    tried: &[Name],
    place: Option<Placement>,
) -> Result<Choice, NoServer> {
    let wanted = RoutingRequest {
        pool: need.pool,
        prefix: place.map_or(need.prefix, |place| place.key),
        prompt_tokens: 0,
        hour: api.requests.base.clock.utc_hour(),
        seed: rand::random(),
        tried,
        homes: need.homes,
    };
    let rank = place.map_or(0, |place| place.rank);
    api.requests.router.lock().choose_ranked(api.requests.base.clock.now(), &wanted, rank)
}

/// Why no server has begun to answer.
pub enum NotPlaced {
    /// The answer for the caller.
    Refused(Problem),
    /// The interrupt came first; the request may run at that server.
    Interrupted(Interrupted),
}

/// An attempt that was given up while a server had it.
pub struct Interrupted {
    /// The attempt.
    pub attempt: Attempt<Dispatched>,
    /// The server.
    pub choice: Choice,
    /// Ends the server's count of open requests.
    pub open: OpenRequest,
}

/// Dispatches an attempt, unless `interrupt` ends before a server has begun to
/// answer.
///
/// # Errors
/// [`NotPlaced`] tells why no server has begun to answer.
pub async fn place(
    api: &Arc<Api>,
    attempt: Attempt<Admitted>,
    need: &Need<'_>,
    outgoing: &Outgoing,
    interrupt: impl Future<Output = ()>,
) -> Result<Placed, NotPlaced> {
    tokio::pin!(interrupt);
    let fingerprint = outgoing.fingerprint(need.workspace);
    let passed = pass_crashes(api, attempt, need, fingerprint).await;
    let (mut attempt, mut apart) = passed.map_err(NotPlaced::Refused)?;
    let place = api.requests.crashes.place(|| fingerprint);
    let mut tried = Vec::new();
    let mut none = NoServer::NoneUsable;
    while tried.len() < api.requests.base.cfg.limits.max_tries {
        let permit = match choose(api, need, &tried, place).await {
            Ok(permit) => permit,
            Err(why) => {
                none = why;
                break;
            }
        };
        let choice = permit.choice().clone();
        if !may_use(api, &choice.server) {
            tried.push(choice.server);
            continue;
        }
        let mut open = OpenRequest::new(&api.requests, &choice, 0);
        let dispatched = attempt.dispatch();
        let dispatching = backend::dispatch(api, permit, outgoing.clone(), need.kind);
        let answer = tokio::select! {
            answer = dispatching => answer,
            () = &mut interrupt => {
                let interrupted = Interrupted { attempt: dispatched, choice, open };
                return Err(NotPlaced::Interrupted(interrupted));
            }
        };
        match answer {
            Ok(res) => {
                open.apart = apart.take();
                return Ok(Placed { attempt: dispatched, choice, res, open, fingerprint });
            }
            Err(DispatchError::NotSent(proof)) => {
                attempt = dispatched.revert_dispatch(proof);
                tried.push(choice.server);
            }
            Err(DispatchError::NothingRan { proof, leaving }) => {
                open.failed();
                if leaving {
                    let now = api.requests.base.clock.now();
                    api.requests.router.lock().record_leaving_refusal(
                        now,
                        &choice.server,
                        choice.started_ms,
                    );
                }
                attempt = dispatched.revert_dispatch(proof);
                tried.push(choice.server);
            }
            Err(DispatchError::Unknown) => {
                open.failed();
                api.requests.crashes.broke_off(&choice, fingerprint);
                return Err(NotPlaced::Refused(lost(api, dispatched, &choice)));
            }
        }
    }
    Err(NotPlaced::Refused(nowhere(api, attempt, need, none)))
}

/// Whether new work may go to this server now, given what this daemon can
/// know of drains.
fn may_use(api: &Api, server: &Name) -> bool {
    let now = api.requests.base.clock.now();
    if !api.requests.fleet.contact.is_isolated(now, api.requests.base.cfg.limits.isolation_ms) {
        return true;
    }
    let table = api.requests.table.load();
    let row = table.as_ref().and_then(|table| table.server(server));
    row.is_some_and(|row| row.checks_orders)
}

/// The request may have run: its whole reservation counts as spent.
fn lost(api: &Api, attempt: Attempt<Dispatched>, choice: &Choice) -> Problem {
    let _finished = attempt.finish(&mut api.requests.budgets.holder(), None);
    api.requests.base.metrics.count("request.unknown");
    let message = format!("server '{}' broke off before its answer began", choice.server);
    Problem::unknown("server_lost", message).retry_after(RETRY_UNKNOWN_MS)
}

fn nowhere(api: &Api, attempt: Attempt<Admitted>, need: &Need<'_>, why: NoServer) -> Problem {
    let not_run = give_back(api, attempt, need);
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let (metric, code, message, return_ms) =
        match api.requests.hints.in_turn(&Name::from(need.pool), why) {
            NoServer::OnlyLimited(at_limit) => (
                "refused.only_limited",
                "only_limited",
                "every backend server that is left is at the limit that it names",
                at_limit.first_ms,
            ),
            NoServer::OnlyResting(resting) => (
                "refused.only_resting",
                "only_resting",
                "every backend server that is left has asked for rest",
                resting.first_ms,
            ),
            _ => (
                "refused.no_server",
                "no_server",
                "no backend server takes the request now",
                RETRY_NO_SERVER_MS,
            ),
        };
    api.requests.base.metrics.count(metric);
    Problem::not_run(&not_run, status, code, message).retry_after(return_ms)
}

/// Gives back what was set aside and claimed for an attempt that runs nowhere.
fn give_back(api: &Api, attempt: Attempt<Admitted>, need: &Need<'_>) -> NotRun {
    let id = attempt.id;
    let not_run = attempt.not_run(&mut api.requests.budgets.holder());
    if need.claimed {
        api.billing.keep(Entry::Release { request: need.request, attempt: id });
    }
    not_run
}

/// Passes a request that is not known to crash its servers; waits while that is found out.
async fn pass_crashes(
    api: &Arc<Api>,
    attempt: Attempt<Admitted>,
    need: &Need<'_>,
    fingerprint: Fingerprint,
) -> Result<(Attempt<Admitted>, Option<RunApart>), Problem> {
    let verdict = api.requests.crashes.settled(Millis::MAX, || fingerprint).await;
    let apart = (verdict == Verdict::Isolated)
        .then(|| api.requests.crashes.run_apart(fingerprint))
        .flatten();
    if matches!(verdict, Verdict::Allowed | Verdict::Suspect) || apart.is_some() {
        return Ok((attempt, apart));
    }
    let not_run = give_back(api, attempt, need);
    api.requests.base.metrics.count("refused.crashes_servers");
    slog::info!(api.requests.base.log, "not sent for its crashes";
        "request" => %need.request, "fingerprint" => %fingerprint);
    Err(if verdict != Verdict::Blocked {
        let message = "backend servers that ran this request before broke off";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Problem::not_run(&not_run, status, "crashes_in_doubt", message)
            .retry_after(RETRY_NO_SERVER_MS)
    } else {
        let message = "the backend servers that ran this request before have crashed";
        Problem::not_run(&not_run, StatusCode::BAD_REQUEST, "crashes_servers", message)
    })
}
