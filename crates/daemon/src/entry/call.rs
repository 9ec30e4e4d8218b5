//! One request of a caller on its way.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bankcove_core::crashes::Verdict;
use bankcove_core::router::{Choice, Homes, NoServer, RoutingRequest};
use bankcove_core::{Fingerprint, Millis, Name, Tokens};
use bankcove_ports::wire::{Dispatch, Incoming, Prompt};
use bytes::Bytes;
use salvo::http::uri::PathAndQuery;
use salvo::http::{HeaderMap, Method};
use slog::Logger;
use xxhash_rust::xxh3::xxh3_64;

use crate::crashes::gate::RunApart;
use crate::entry::Entry;
use crate::entry::backends::Outgoing;
use crate::entry::link_use::LinkUse;
use crate::entry::plan::Plan;
use crate::entry::refusal::Refusal;
use crate::hints::permit::{NoPermit, Permit};

/// Fewer shared tokens are read anew rather than copied from another server: setting
/// up a copy takes some 4 ms, in which an engine reads 130 to 230 tokens.
const MIN_COPIED_TOKENS: Tokens = 256;

/// Servers with a limit that one request asks a permit for: each ask is a call of a peer.
const MOST_ASKS: usize = 3;

/// A request waits for a permit up to this part of its route's goal: a refusal that comes
/// later is of little use to its caller.
const WAIT_PART: Millis = 4;

/// One request of a caller on its way.
pub struct Call {
    /// The entry side that it came to.
    pub entry: Arc<Entry>,
    /// Its logger, with its id.
    pub log: Logger,
    /// What its headers say.
    pub incoming: Incoming,
    /// What the table says of it.
    pub plan: Plan,
    /// The method.
    pub method: Method,
    /// The host that the caller named, without a port.
    pub host: Name,
    /// Path and query as the caller wrote them.
    pub path: PathAndQuery,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it came.
    pub arrived: Millis,
    /// When the caller or the route has waited long enough.
    pub deadline: Millis,
    /// Servers that are not to be tried any more.
    pub tried: Vec<Name>,
    /// Tries that reached a server.
    pub sent: u32,
    /// Whether it may have run.
    pub ran: bool,
    /// What it sends over this host's link.
    pub link: LinkUse,
    /// See [`Call::fingerprint`].
    pub fingerprint: OnceLock<Fingerprint>,
    /// Its one further run, when it has the same crashes as another request.
    pub apart: Option<RunApart>,
}

impl Call {
    /// Milliseconds since it came.
    pub fn age_ms(&self) -> Millis {
        self.entry.requests.base.clock.now().saturating_sub(self.arrived)
    }

    /// Whether its caller waits no longer.
    pub fn is_late(&self) -> bool {
        self.entry.requests.base.clock.time_until(self.deadline).is_zero()
    }

    /// What it asks for, hashed when it is first needed: no request pays for it but those
    /// that fail, and all while some request is known to crash servers.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let workspace = self.plan.workspace.as_ref().map_or("", Name::as_str);
            Fingerprint::of(self.host.as_str(), self.path.as_str(), workspace, &self.body)
        })
    }

    /// Length of its prompt; 0 when it has none.
    pub fn prompt_tokens(&self) -> Tokens {
        self.incoming.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens)
    }

    /// Whether copying the memory of its shared parts is less than reading them.
    fn is_worth_copying(&self) -> bool {
        let shared = self.incoming.prompt.as_ref().map_or(0, Prompt::shared_tokens);
        shared >= MIN_COPIED_TOKENS
    }

    /// What is known of it as one that crashes its servers.
    pub fn verdict(&self) -> Verdict {
        self.entry.requests.crashes.verdict(|| self.fingerprint())
    }

    /// Passes a request that is not known to crash its servers; waits while that is found out.
    ///
    /// # Errors
    /// What the caller of another one is told.
    pub async fn pass_crashes(&mut self) -> Result<(), Refusal> {
        let requests = &self.entry.requests;
        let refusal = match requests.crashes.settled(self.deadline, || self.fingerprint()).await {
            Verdict::Allowed | Verdict::Suspect => return Ok(()),
            Verdict::Isolated if self.may_run_apart() => return Ok(()),
            Verdict::Isolated | Verdict::Undecided => Refusal::CrashesInDoubt,
            Verdict::Blocked => Refusal::CrashesServers,
        };
        slog::info!(self.log, "not sent for its crashes";
            "fingerprint" => %self.fingerprint(), "code" => refusal.code());
        // What has run once gets no status that says it has not.
        Err(if self.ran { Refusal::AnswerLost } else { refusal })
    }

    fn may_run_apart(&mut self) -> bool {
        if self.apart.is_none() {
            self.apart = self.entry.requests.crashes.run_apart(self.fingerprint());
        }
        self.apart.is_some()
    }

    /// Whether one more server may be tried: the route's tries, and the part
    /// of the fleet's repeats that this daemon may spend, are not used up.
    pub fn may_send(&self) -> bool {
        if self.sent == 0 {
            return true;
        }
        if self.sent >= self.plan.route.max_tries {
            return false;
        }
        // A suspect's repeats would crash a server each, and use up those of honest requests.
        if self.verdict() != Verdict::Allowed {
            return false;
        }
        let requests = &self.entry.requests;
        // Of a fleet that is not known yet no part of what all may repeat is this one's.
        let daemons = requests.fleet.size().unwrap_or(usize::MAX);
        let now = requests.base.clock.now();
        self.entry.retries.lock().try_retry(&self.plan.service, daemons, now)
    }

    /// Chooses a server among those that were not tried and takes a permit for it. One that
    /// gives none is passed by; when all are at their limits or rest, the request waits for the
    /// first that opens soon.
    ///
    /// # Errors
    /// [`NoServer`] when none is to be had.
    pub async fn next_server(&self) -> Result<Permit, NoServer> {
        let mut last = NoServer::NoneUsable;
        for _ in 0..MOST_ASKS {
            let choice = self.choose_or_wait().await?;
            let hints = &self.entry.requests.hints;
            match hints.permit(&self.log, choice, self.plan.rank()).await {
                Ok(permit) => return Ok(permit),
                Err(NoPermit::AtLimit(at_limit)) => last = NoServer::OnlyLimited(at_limit),
                // The router knows it by now.
                Err(NoPermit::Closed(_)) => {}
            }
        }
        Err(self.return_later(last))
    }

    /// Chooses a server; while all are at their limits or rest it waits for the first of them,
    /// when that is soon.
    async fn choose_or_wait(&self) -> Result<Choice, NoServer> {
        let clock = &self.entry.requests.base.clock;
        let until = self.deadline.min(self.arrived + self.plan.route.goal_ms / WAIT_PART);
        loop {
            let why = match self.choose() {
                Ok(choice) => return Ok(choice),
                Err(why) => why,
            };
            let first_ms = match why {
                NoServer::OnlyLimited(at_limit) => at_limit.first_ms,
                NoServer::OnlyResting(resting) => resting.first_ms,
                _ => return Err(why),
            };
            if clock.now() + first_ms > until {
                return Err(self.return_later(why));
            }
            tokio::time::sleep(Duration::from_millis(first_ms)).await;
        }
    }

    /// The refusal of a caller that comes back in its turn.
    fn return_later(&self, why: NoServer) -> NoServer {
        let requests = &self.entry.requests;
        let why = requests.hints.in_turn(&self.plan.service, why);
        let servers =
            requests.router.lock().throttled_servers(requests.base.clock.now(), &self.plan.service);
        slog::info!(self.log, "all servers at their limits or resting";
            "service" => %self.plan.service, "why" => ?why, "servers" => servers.join(", "));
        why
    }

    /// Chooses a server among those that were not tried.
    ///
    /// # Errors
    /// [`NoServer`] when none is to be had.
    fn choose(&self) -> Result<Choice, NoServer> {
        let seed = rand::random();
        let place = self.entry.requests.crashes.place(|| self.fingerprint());
        let wanted = RoutingRequest {
            pool: self.plan.service.as_str(),
            prefix: place.map_or_else(|| self.prefix(seed), |place| place.key),
            prompt_tokens: self.prompt_tokens(),
            hour: 0,
            seed,
            tried: &self.tried,
            homes: Homes { route: &self.plan.route.homes, workspace: &self.plan.workspace_homes },
        };
        let requests = &self.entry.requests;
        let rank = place.map_or(0, |place| place.rank);
        requests.router.lock().choose_ranked(requests.base.clock.now(), &wanted, rank)
    }

    /// What decides which server comes first.
    fn prefix(&self, seed: u64) -> u64 {
        self.incoming.prompt.as_ref().map_or(seed, affinity)
    }

    /// The request as it goes to this server. `resume_after` is the last event
    /// that the caller has.
    pub fn outgoing(&self, choice: &Choice, resume_after: Option<u64>) -> Outgoing {
        let left = self.entry.requests.base.clock.time_until(self.deadline);
        let dispatch = Dispatch {
            server: &choice.server,
            workspace: self.plan.workspace.as_ref(),
            copy_from: choice.copy_from.as_deref().filter(|_| self.is_worth_copying()),
            patience: left.max(Duration::from_millis(1)),
            urgency: None,
            resume_after,
        };
        Outgoing {
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.entry.wire.request_headers(&self.headers, &dispatch),
            body: self.body.clone(),
        }
    }
}

/// What brings requests with the same shared parts to the same server: the
/// last part that others may share, which stands before the request's own.
fn affinity(prompt: &Prompt) -> u64 {
    let shared = prompt.parts.len().saturating_sub(2);
    let part = prompt.parts.get(shared).map_or(0, |part| part.id);
    xxh3_64(&part.to_le_bytes())
}
