//! State of one request of a caller while it is served.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bankcove_core::crashes::{ServerInstance, Verdict};
use bankcove_core::paths::ServerGroup;
use bankcove_core::places::{PlaceRank, PlaceRequest};
use bankcove_core::rollout::Versions;
use bankcove_core::router::{Choice, Homes, NoServer, Passed, RoutingRequest};
use bankcove_core::stream_versions::{Binding, MAX_LIFE_MS, StreamKey};
use bankcove_core::{Fingerprint, Millis, Name, Tokens};
use bankcove_ports::wire::{Dispatch, Prompt, RequestHead};
use salvo::http::uri::PathAndQuery;
use salvo::http::{HeaderMap, Method};
use slog::Logger;
use xxhash_rust::xxh3::xxh3_64;

use crate::crashes::Identity;
use crate::crashes::isolation::IsolatedRun;
use crate::entry::Entry;
use crate::entry::backend::BackendRequest;
use crate::entry::link_reservation::LinkReservation;
use crate::entry::places::Applicant;
use crate::entry::plan::Plan;
use crate::entry::refusal::Refusal;
use crate::entry::sends::Sends;
use crate::hints::permit::{NoPermit, Permit, Purpose};
use crate::paths::Route;
use crate::paths::tunnels::NoTunnel;
use crate::requests::held_bodies::HeldBody;
use crate::requests::stream_versions::{NotKnown, StreamId, UntoldStream};

/// Minimum number of shared prompt tokens that are copied from another server's cache. Setting up
/// a copy takes about 4 ms, in which an engine reads 130 to 230 tokens.
const MIN_COPIED_TOKENS: Tokens = 256;

/// Maximum number of servers for which one request asks for a permit; each may need a call to a
/// peer.
const MAX_PERMIT_REQUESTS: usize = 3;

/// Multiple of the route's deadline, or of the caller's patience if it is longer, for which a stream
/// can go on over several attempts.
const STREAM_LIFE_FACTOR: Millis = 2;

/// Divisor of the route's goal for the longest wait for a permit: a refusal after more than a
/// quarter of the goal is of little use to the caller.
const GOAL_WAIT_DIVISOR: Millis = 4;

/// Maximum number of servers that one request asks for a slot. Those that have none to expect in time are
/// most likely not alone.
const MAX_SLOT_REQUESTS: u32 = 3;

/// Request of a caller while it is served.
pub struct Call {
    /// Entry proxy that has received it.
    pub entry: Arc<Entry>,
    /// Logger that adds the request's id.
    pub log: Logger,
    /// Parsed headers.
    pub request_head: RequestHead,
    /// Rows of the table that apply to it.
    pub plan: Plan,
    /// Method.
    pub method: Method,
    /// Host of the `Host` header, without the port.
    pub host: Name,
    /// Path and query as the caller wrote them.
    pub path: PathAndQuery,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: HeldBody,
    /// Time at which it was received.
    pub arrived_at: Millis,
    /// Time from which the route's goal counts: its arrival, or the break of a stream that resumes.
    pub goal_since: Millis,
    /// Deadline of the caller or of the route, whichever is earlier.
    pub deadline: Millis,
    /// Servers that must not be tried again.
    pub tried_servers: Vec<Name>,
    /// Its sends so far.
    pub sends: Sends,
    /// Number of attempts that reached a server.
    pub attempts_sent: u32,
    /// Reservation of its traffic on this host's link.
    pub link: LinkReservation,
    /// Versions at which its stream may go on.
    pub binding: Binding,
    /// See [`Call::fingerprint`].
    pub fingerprint: OnceLock<Fingerprint>,
    /// Fingerprints of the prompt parts that other requests may share.
    pub parts: OnceLock<Vec<Fingerprint>>,
    /// Its isolated run, when another request has the same crashes.
    pub isolated_run: Option<IsolatedRun>,
}

impl Call {
    /// Returns the time since it was received, in milliseconds.
    pub fn age_ms(&self) -> Millis {
        self.entry.requests.base.clock.now().saturating_sub(self.arrived_at)
    }

    /// Returns whether its deadline has passed.
    pub fn is_late(&self) -> bool {
        self.entry.requests.base.clock.time_until(self.deadline).is_zero()
    }

    /// Returns the hash of the request's content. It is computed on first use: at the latest when the
    /// body is released.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let workspace = self.plan.workspace.as_ref().map_or("", Name::as_str);
            let (host, path) = (self.host.as_str(), self.path.as_str());
            Fingerprint::of_segments(host, path, workspace, &self.body.segments())
        })
    }

    /// Releases the body of a request that a server may have run, unless a further attempt may send it.
    /// What is still being written stays.
    pub fn release_unneeded_body(&self) {
        if !self.plan.is_retryable() || self.attempts_sent >= self.plan.route.max_tries {
            // It is needed for failures that are found later.
            self.fingerprint();
            self.body.release();
        }
    }

    /// Returns whether the route allows no attempt after the next one that reaches a server.
    fn is_last_attempt(&self) -> bool {
        self.attempts_sent + 1 >= self.plan.route.max_tries
    }

    /// Returns the ids of the prompt parts that other requests may share, for a log line; `None`
    /// without any.
    pub fn parts_text(&self) -> Option<String> {
        let parts = self.request_head.prompt.as_ref()?.shared_parts();
        let ids: Vec<String> = parts.iter().map(|part| format!("{:x}", part.id)).collect();
        (!ids.is_empty()).then(|| ids.join(","))
    }

    /// Returns the request as crashes are attributed. It is computed as [`Call::fingerprint`] is.
    pub fn identity(&self) -> Identity<'_> {
        let pool = &self.plan.service;
        let shared = || {
            let parts = self.request_head.prompt.as_ref().map_or(&[][..], Prompt::shared_parts);
            parts.iter().map(|part| Fingerprint::of_part(pool, part.id)).collect()
        };
        Identity { request: self.fingerprint(), parts: self.parts.get_or_init(shared) }
    }

    /// Returns the length of its prompt in tokens; 0 without a prompt.
    pub fn prompt_tokens(&self) -> Tokens {
        self.request_head.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens)
    }

    /// Returns whether copying the cache of its shared prompt parts is faster than reading them.
    fn is_worth_copying(&self) -> bool {
        self.shared_tokens() >= MIN_COPIED_TOKENS
    }

    /// Returns the length of the prompt parts that other requests may share.
    fn shared_tokens(&self) -> Tokens {
        self.request_head.prompt.as_ref().map_or(0, Prompt::shared_tokens)
    }

    /// Returns the verdict on whether the request crashes servers, as known to this daemon.
    pub fn verdict(&self) -> Verdict {
        self.entry.requests.crashes.verdict(|| self.identity())
    }

    /// Checks that the request is not known to crash servers. Waits while daemons check whether
    /// servers that ran it have crashed.
    ///
    /// # Errors
    /// The [`Refusal`] that the caller receives, unless the request may have run.
    pub async fn check_crashes(&mut self) -> Result<(), Refusal> {
        let crashes = Arc::clone(&self.entry.requests.crashes);
        let refusal = match crashes.await_verdict(self.deadline, || self.identity()).await {
            Verdict::Allowed | Verdict::Suspect => return Ok(()),
            Verdict::Isolated if self.claim_isolated_run() => return Ok(()),
            Verdict::Isolated | Verdict::Undecided => Refusal::CrashesInDoubt,
            Verdict::Blocked => Refusal::CrashesServers,
        };
        slog::info!(self.log, "not sent for its crashes";
            "fingerprint" => %self.fingerprint(), "code" => refusal.code(),
            "blocked_part" => crashes.blocked_part(self.identity().parts)
                .map(|part| part.to_string()));
        Err(refusal)
    }

    /// Returns whether the request must not be sent now, because it may crash its server.
    pub fn is_held_back(&self) -> bool {
        matches!(self.verdict(), Verdict::Blocked | Verdict::Undecided)
    }

    /// Returns whether the request may use its isolated run, and claims it if it is free.
    fn claim_isolated_run(&mut self) -> bool {
        if self.isolated_run.is_none() {
            self.isolated_run = self.entry.requests.crashes.begin_isolated_run(self.fingerprint());
        }
        self.isolated_run.is_some()
    }

    /// Returns whether one more attempt may be sent. After the first, the attempt must be within
    /// the route's `max_tries` and this daemon's retry budget, in which it is counted.
    pub fn try_claim_attempt(&self) -> bool {
        if self.attempts_sent == 0 {
            return true;
        }
        if self.attempts_sent >= self.plan.route.max_tries || self.body.is_released() {
            return false;
        }
        // Each retry of a suspect could crash a server, and would use up the retries of harmless
        // requests.
        if self.verdict() != Verdict::Allowed {
            return false;
        }
        let requests = &self.entry.requests;
        // While the fleet size is unknown, this daemon has no share of the fleet's retries.
        let daemons = requests.fleet.size().unwrap_or(usize::MAX);
        let now = requests.base.clock.now();
        self.entry.retries.lock().try_retry(&self.plan.service, daemons, now)
    }

    /// Chooses a server that was not tried yet and acquires a permit for it. A server without a
    /// permit is skipped. If all servers are at their limits or resting, the request waits for
    /// the first one that becomes available soon.
    ///
    /// # Errors
    /// [`NoServer`] when no server is available.
    pub async fn acquire_server(&self) -> Result<Permit, NoServer> {
        let mut last_reason = NoServer::NoneUsable;
        let mut slot_denials = 0;
        let mut permit_requests = 0;
        while permit_requests < MAX_PERMIT_REQUESTS {
            let choice = self.choose_or_wait().await?;
            let hints = &self.entry.requests.hints;
            let rank = self.plan.urgency().rank;
            let (purpose, patience_ms) = (Purpose::NewWork, self.patience_ms());
            match hints.acquire_permit(&self.log, choice, purpose, rank, patience_ms).await {
                Ok(permit) => return Ok(permit),
                Err(NoPermit::AtLimit(at_limit)) => last_reason = NoServer::OnlyLimited(at_limit),
                // The router knows by now that this server is closed.
                Err(NoPermit::Closed(_)) => {}
                Err(NoPermit::Full(_)) => {
                    slot_denials += 1;
                    if slot_denials >= MAX_SLOT_REQUESTS {
                        return Err(self.refuse_as_full());
                    }
                    continue;
                }
            }
            permit_requests += 1;
        }
        Err(self.refuse_with_delay(last_reason))
    }

    /// Returns the time until the route's goal or the deadline, in milliseconds: an answer that begins later
    /// is of little use to the caller.
    fn patience_ms(&self) -> Millis {
        let until = self.deadline.min(self.goal_since.saturating_add(self.plan.route.goal_ms));
        until.saturating_sub(self.entry.requests.base.clock.now())
    }

    /// Chooses a server. While all are at their limits or resting, waits for the first one that
    /// becomes available, if that is soon enough.
    async fn choose_or_wait(&self) -> Result<Choice, NoServer> {
        let clock = &self.entry.requests.base.clock;
        let until =
            self.deadline.min(self.arrived_at + self.plan.route.goal_ms / GOAL_WAIT_DIVISOR);
        loop {
            let choose = |freed: Option<&ServerInstance>| self.choose(freed);
            let chosen = self.entry.places.choose_in_turn(&self.applicant(), choose).await;
            let why = match chosen {
                Ok(choice) => return Ok(choice),
                Err(why) => why,
            };
            let first_ms = match why {
                NoServer::OnlyLimited(at_limit) => at_limit.first_ms,
                NoServer::OnlyResting(resting) => resting.first_ms,
                _ => return Err(why),
            };
            if clock.now() + first_ms > until {
                return Err(self.refuse_with_delay(why));
            }
            tokio::time::sleep(Duration::from_millis(first_ms)).await;
        }
    }

    /// Logs that nothing is sent because the link delays news of the servers; returns the refusal.
    pub fn refuse_for_link(&self) -> Refusal {
        let requests = &self.entry.requests;
        requests.base.metrics.count("link.not_sent");
        slog::info!(self.log, "not sent: the link is saturated and news of the servers is late";
            "news_age_ms" => requests.fleet.connectivity.news_age(requests.base.clock.now()),
            "age_ms" => self.age_ms());
        Refusal::LinkFull
    }

    /// Logs a refusal and adds a retry delay to it, so that callers return one after the other.
    fn refuse_with_delay(&self, why: NoServer) -> NoServer {
        let requests = &self.entry.requests;
        let why = requests.hints.schedule_retry(&self.plan.service, why);
        let servers =
            requests.router.lock().throttled_servers(requests.base.clock.now(), &self.plan.service);
        slog::info!(self.log, "all servers at their limits or resting";
            "service" => %self.plan.service, "why" => ?why, "servers" => servers.join(", "));
        why
    }

    /// Returns the request as the queue for places orders it. Its goal counts again when a stream
    /// resumes, which it did not miss so far.
    fn applicant(&self) -> Applicant<'_> {
        let plan = &self.plan;
        let request = PlaceRequest {
            rank: PlaceRank { workspace: plan.workspace_rank, route: plan.rank() },
            workspace: plan.workspace.clone(),
            since: self.goal_since,
            goal_ms: plan.route.goal_ms,
            deadline: self.deadline,
            version: self.binding.version().cloned(),
        };
        Applicant { log: &self.log, service: &plan.service, request }
    }

    /// Returns the reason for which a request that was rejected as full gets no server.
    pub fn refuse_as_full(&self) -> NoServer {
        self.entry.places.refuse(&self.applicant())
    }

    /// Returns the refusal of a request that has not run and gets no server.
    pub fn refusal(&self, why: NoServer) -> Refusal {
        if let Err(refusal) = self.check_version_served() {
            return refusal;
        }
        match why {
            // It has left the queue because its deadline has passed, or because of a shutdown.
            NoServer::OnlyFull(_) if self.is_late() => Refusal::TooLate,
            NoServer::OnlyFull(_) if self.entry.requests.stopping.is_cancelled() => {
                Refusal::Stopping
            }
            why => {
                let paths = &self.entry.requests.paths;
                Refusal::no_server(why, || paths.retry_delay(&self.plan.service))
            }
        }
    }

    /// Returns whether the caller takes up a stream that another of its attempts has begun.
    fn takes_up_stream(&self) -> bool {
        let head = &self.request_head;
        self.plan.route.streams && (head.resume_after.is_some() || head.resumes.is_some())
    }

    /// Returns the identity of its stream: that of the attempt that began it.
    fn stream_id(&self) -> StreamId {
        let head = &self.request_head;
        let began = if self.takes_up_stream() { head.resumes.as_ref() } else { Some(&head.id) };
        let (service, workspace) = (&self.plan.service, self.plan.workspace.as_ref());
        let patience = head.timeout.map_or(0, |timeout| timeout.as_millis() as Millis);
        let life_ms = self.plan.route.deadline_ms.max(patience) * STREAM_LIFE_FACTOR;
        StreamId {
            key: began.map(|id| StreamKey::of(service, workspace, id)),
            service: service.clone(),
            life_ms: life_ms.min(MAX_LIFE_MS),
        }
    }

    /// Binds a stream that the caller takes up to the version that began it.
    ///
    /// # Errors
    /// The [`Refusal`] that the caller receives if no daemon in reach knows the version, or if no
    /// server of it is left.
    pub async fn bind_to_origin(&mut self) -> Result<(), Refusal> {
        if !self.takes_up_stream() {
            return Ok(());
        }
        let requests = &self.entry.requests;
        let head = &self.request_head;
        match requests.stream_versions.find(&self.stream_id()).await {
            Ok(known) => {
                slog::info!(self.log, "version of the stream found";
                    "resumes" => head.resumes.as_ref(), "version" => %known.version,
                    "by" => known.by.text(), "peer" => known.by.peer(), "known_ms" => known.age_ms,
                    "age_ms" => self.age_ms());
                self.binding = Binding::Bound(known.version);
                self.check_version_served()
            }
            Err(why) => {
                slog::info!(self.log, "version of the stream not found";
                    "resumes" => head.resumes.as_ref(), "why" => ?why, "age_ms" => self.age_ms());
                let may_be_known = why == NotKnown::Unanswered;
                Err(Refusal::VersionUnknown { may_be_known })
            }
        }
    }

    /// Checks that servers of the version of its stream are left.
    fn check_version_served(&self) -> Result<(), Refusal> {
        let requests = &self.entry.requests;
        let Binding::Bound(version) = &self.binding else { return Ok(()) };
        let now = requests.base.clock.now();
        let service = self.plan.service.as_str();
        if requests.router.lock().has_version(now, service, version) {
            return Ok(());
        }
        Err(Refusal::VersionGone(version.to_string()))
    }

    /// Binds the stream to the version of the server whose first event is about to be forwarded, and
    /// records it for other daemons if the stream can be resumed. The result is to be kept while the
    /// stream is open.
    pub async fn bind(&mut self, choice: &Choice) -> Option<UntoldStream> {
        if self.binding == Binding::Unbound {
            self.binding = Binding::to(choice.version.as_ref());
        }
        if let (true, Binding::Bound(version)) = (self.plan.route.resumable, &self.binding) {
            let streams = &self.entry.requests.stream_versions;
            return streams.record(&self.log, &self.stream_id(), version).await;
        }
        None
    }

    /// Chooses a server that was not tried yet. A server at which a request has just been `freed`
    /// counts as usable even if it has rejected one as full.
    ///
    /// # Errors
    /// [`NoServer`] when no server is available.
    fn choose(&self, freed: Option<&ServerInstance>) -> Result<Choice, NoServer> {
        let seed = rand::random();
        let placement = self.entry.requests.crashes.placement(|| self.fingerprint());
        let requests = &self.entry.requests;
        let rank = placement.map_or(0, |placement| placement.rank);
        let request = RoutingRequest {
            pool: self.plan.service.as_str(),
            prefix: placement.map_or_else(|| self.affinity_or(seed), |placement| placement.key),
            prompt_tokens: self.prompt_tokens(),
            shared_tokens: self.shared_tokens(),
            hour: 0,
            seed,
            tried: &self.tried_servers,
            homes: Homes { route: &self.plan.route.homes, workspace: &self.plan.workspace_homes },
            versions: Versions::Any,
        };
        let choose = |versions: Versions<'_>| {
            let request = RoutingRequest { versions, ..request };
            let now = requests.base.clock.now();
            requests.router.lock().choose_with_freed(now, &request, rank, freed)
        };
        let choice = match &self.binding {
            // Its version was chosen when it began, so it is no attempt that a rollout counts.
            Binding::Bound(version) => choose(Versions::OfStream(version)),
            Binding::Unknown => Err(NoServer::NoneUsable),
            Binding::Unbound => self.choose_version(choose),
        }?;
        if let Some(passed) = &choice.passed {
            self.log_passed(&choice, passed);
        }
        Ok(choice)
    }

    /// Chooses by `choose` a server of a version that may begin a request. Streams that can be resumed
    /// begin only at admitted versions, and at a new version only if there is no other.
    fn choose_version(
        &self,
        choose: impl Fn(Versions) -> Result<Choice, NoServer>,
    ) -> Result<Choice, NoServer> {
        let requests = &self.entry.requests;
        let is_first = self.tried_servers.is_empty();
        let (streams, service) = (&requests.stream_versions, &self.plan.service);
        let is_resumable = self.plan.route.streams && self.plan.route.resumable;
        let may_begin = |choice: Choice| {
            if !is_resumable || streams.is_admitted(service, choice.version.as_ref()) {
                return Ok(choice);
            }
            requests.base.metrics.count("stream.version_not_admitted");
            slog::info!(self.log, "no stream begins at the server: its version is not admitted";
                "server" => %choice.server, "version" => choice.version_text());
            Err(NoServer::NoneUsable)
        };
        requests.rollouts.choose(service, is_first, |versions| {
            if versions != Versions::Any || !is_resumable {
                return choose(versions).and_then(may_begin);
            }
            let held_back = streams.versions_held_back(service);
            if held_back.is_empty() {
                return choose(versions).and_then(may_begin);
            }
            let settled = choose(Versions::ExceptAll(&held_back));
            settled.or_else(|_| choose(versions)).and_then(may_begin)
        })
    }

    /// Logs and counts a server that was passed over for a sooner one. The unread tokens are this
    /// daemon's and its peers' of the last 1.5 s; the speed is an average over some ten streams.
    fn log_passed(&self, choice: &Choice, passed: &Passed) {
        self.entry.requests.base.metrics.count("server.passed_over");
        slog::info!(self.log, "server passed over for a sooner one";
            "server" => %passed.server, "chosen" => %choice.server,
            "speed_percent" => passed.speed_percent, "unread_tokens" => passed.unread_tokens,
            "oldest_wait_ms" => passed.oldest_wait_ms,
            "slowness_percent" => passed.slowness_percent);
    }

    /// Returns the hash that selects the preferred server: `seed` for a request without a prompt.
    fn affinity_or(&self, seed: u64) -> u64 {
        self.request_head.prompt.as_ref().map_or(seed, affinity)
    }

    /// Returns how the request is to reach the chosen server; waits for a peer if this host has no
    /// path to it.
    ///
    /// # Errors
    /// [`NoTunnel`] when it can't reach the server. Nothing was sent.
    pub async fn route(&self, choice: &Choice) -> Result<Route, NoTunnel> {
        let group = ServerGroup { pool: self.plan.service.clone(), hall: choice.hall.clone() };
        let paths = &self.entry.requests.paths;
        paths.route(&self.log, &group, &choice.instance(), &self.request_head.id).await
    }

    /// Returns the request to send to this server. `resume_after` is the last event that the
    /// caller has received.
    pub fn backend_request(&self, choice: &Choice, resume_after: Option<u64>) -> BackendRequest {
        let time_left = self.entry.requests.base.clock.time_until(self.deadline);
        let dispatch = Dispatch {
            server: &choice.server,
            workspace: self.plan.workspace.as_ref(),
            copy_from: choice.copy_from.as_deref().filter(|_| self.is_worth_copying()),
            time_left: time_left.max(Duration::from_millis(1)),
            urgency: self.plan.urgency().for_servers,
            resume_after,
        };
        let is_last = self.is_last_attempt();
        if is_last {
            // It is needed for failures that are found later.
            self.fingerprint();
        }
        BackendRequest {
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.entry.wire.request_headers(&self.headers, &dispatch),
            body: self.body.to_send(is_last),
        }
    }
}

/// Returns the hash that routes requests with the same shared prompt parts to the same server: the
/// last shareable part, which precedes the request's own.
fn affinity(prompt: &Prompt) -> u64 {
    let shared = prompt.parts.len().saturating_sub(2);
    let part = prompt.parts.get(shared).map_or(0, |part| part.id);
    xxh3_64(&part.to_le_bytes())
}
