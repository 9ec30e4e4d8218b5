//! Records the hints in response headers of servers, and merges those received from peers.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bankcove_core::crashes::ServerInstance;
use bankcove_core::hints::{Hint, HintFact, LeavingFact, ServerHints};
use bankcove_core::limits::{LimitChange, LimitFact, LimitHeader, RequestRate};
use bankcove_core::{Millis, Name};
use slog::Logger;

use crate::hints::Hints;
use crate::peer::PeerServiceClient;

/// Origin of a hint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// The server itself.
    Server,
    /// A peer.
    Peer,
}

impl Origin {
    fn name(self) -> &'static str {
        match self {
            Origin::Server => "server",
            Origin::Peer => "peer",
        }
    }
}

impl Hints {
    /// Records the hints in a response of this instance of a server to a request that was sent at
    /// `sent_at`. `log` adds the request's id.
    pub fn record_response(
        &self,
        log: &Logger,
        server: &ServerInstance,
        sent_at: Millis,
        hints: &ServerHints,
    ) {
        self.record_limit(server, sent_at, &hints.limit);
        self.record_brittle(server, sent_at, &hints.brittle);
        self.record_control_response(log, server, hints);
    }

    /// Records only whether the server is leaving or asks for rest: the response to a control call
    /// announces no limit.
    pub fn record_control_response(
        &self,
        log: &Logger,
        server: &ServerInstance,
        hints: &ServerHints,
    ) {
        match &hints.leaving {
            Hint::Absent => {}
            Hint::Given(()) => self.record_leaving(server),
            Hint::Unreadable(text) => self.log_unreadable(server, "leaving", text),
        }
        match &hints.rest {
            Hint::Absent => {}
            Hint::Given(rest_ms) => self.record_rest(log, server, *rest_ms),
            Hint::Unreadable(text) => self.log_unreadable(server, "rest", text),
        }
    }

    fn record_leaving(&self, server: &ServerInstance) {
        let now = self.fleet.base.clock.now();
        if let Some(fact) = self.change_closed(|router| router.record_leaving(now, server)) {
            self.apply_leaving(fact, Origin::Server);
        }
    }

    /// Records that a server asks this daemon for rest.
    pub fn record_rest(&self, log: &Logger, server: &ServerInstance, rest_ms: Millis) {
        let now = self.fleet.base.clock.now();
        if !self.change_closed(|router| router.record_rest(now, server, rest_ms)) {
            return;
        }
        self.fleet.base.metrics.count("server.asks_for_rest");
        slog::info!(log, "server asks for rest";
            "server" => %server.name, "started_ms" => server.started_ms, "rest_ms" => rest_ms);
    }

    fn record_brittle(&self, server: &ServerInstance, sent_at: Millis, hint: &Hint<RequestRate>) {
        let header = match hint {
            Hint::Absent => LimitHeader::Absent,
            Hint::Given(rate) => LimitHeader::Limit(*rate),
            Hint::Unreadable(text) => return self.log_unreadable(server, "brittle", text),
        };
        if let Some(fact) = self.slots.record_response(server, sent_at, &header) {
            self.queue_fact(HintFact::Brittle(fact));
        }
    }

    /// Tells the peer through which a response was received that the server asks it for rest: the
    /// server knows that host as the sender.
    pub fn forward_rest(&self, peer: &Name, server: &ServerInstance, rest: &Hint<Millis>) {
        let Hint::Given(rest_ms) = *rest else { return };
        let address = {
            let members = self.fleet.members.lock();
            members.peers().find(|known| known.name == *peer).map(|known| known.address.clone())
        };
        let Some(address) = address else { return };
        let (base, server) = (self.fleet.base.clone(), server.clone());
        tokio::spawn(async move {
            let timeout = Duration::from_millis(base.cfg.limits.peer_timeout_ms);
            let call = |client: PeerServiceClient, cx| async move {
                client.told_rest(cx, server, rest_ms).await
            };
            if base.peers.call(&address, timeout, call).await.is_none() {
                base.metrics.count("hint.not_told");
            }
        });
    }

    fn record_limit(&self, server: &ServerInstance, sent_at: Millis, header: &LimitHeader) {
        if let LimitHeader::Unreadable(text) = header {
            self.log_unreadable(server, "limit", text);
        }
        if *header == LimitHeader::Absent && !self.has_limits.load(Ordering::Relaxed) {
            return;
        }
        let now = self.fleet.base.clock.now();
        let change =
            self.change_limits(|limits| limits.record_response(now, server, sent_at, header));
        if let Some(change) = change {
            self.apply_limit_change(&change, Origin::Server);
        }
    }

    /// Merges facts received from a peer.
    pub fn merge_facts(&self, facts: &[HintFact]) {
        let (mut limits, mut leaving, mut brittle) = (Vec::new(), Vec::new(), Vec::new());
        for fact in facts {
            match fact {
                HintFact::Limit(fact) => limits.push(fact.clone()),
                HintFact::Leaving(fact) => leaving.push(fact.clone()),
                HintFact::Brittle(fact) => brittle.push(fact.clone()),
            }
        }
        for fact in self.slots.merge(&brittle) {
            self.queue_fact(HintFact::Brittle(fact));
        }
        if !limits.is_empty() {
            self.merge_limits(&limits);
        }
        if !leaving.is_empty() {
            self.merge_leaving(&leaving);
        }
    }

    /// Merges limits received from a peer.
    pub(super) fn merge_limits(&self, facts: &[LimitFact]) {
        let now = self.fleet.base.clock.now();
        for change in &self.change_limits(|limits| limits.merge(now, facts)) {
            self.apply_limit_change(change, Origin::Peer);
        }
    }

    fn merge_leaving(&self, facts: &[LeavingFact]) {
        let now = self.fleet.base.clock.now();
        for fact in self.change_closed(|router| router.merge_leaving(now, facts)) {
            self.apply_leaving(fact, Origin::Peer);
        }
    }

    /// Logs, counts and queues for peers that a server is leaving.
    fn apply_leaving(&self, fact: LeavingFact, origin: Origin) {
        self.fleet.base.metrics.count("server.leaves");
        slog::info!(self.fleet.base.log, "server leaves";
            "server" => %fact.server.name, "started_ms" => fact.server.started_ms,
            "age_ms" => fact.age_ms, "from" => origin.name());
        self.queue_fact(HintFact::Leaving(fact));
    }

    /// Applies a changed limit to the router, logs it and queues it for peers.
    fn apply_limit_change(&self, change: &LimitChange, origin: Origin) {
        let LimitChange { before, fact } = change;
        let now = self.fleet.base.clock.now();
        let (before, after) =
            (before.map(|rate| rate.per_second()), fact.limit.map(|rate| rate.per_second()));
        self.router.lock().set_rate_limit(now, &fact.server, after);
        let message = match (before, after) {
            (None, _) => "limit heard",
            (Some(_), Some(_)) => "limit changed",
            (Some(_), None) => "limit lifted",
        };
        self.fleet.base.metrics.count(if after.is_some() { "limit.named" } else { "limit.lifted" });
        slog::info!(self.fleet.base.log, "{}", message;
            "server" => %fact.server.name, "started_ms" => fact.server.started_ms,
            "before_per_s" => before, "per_s" => after, "age_ms" => fact.received_age_ms,
            "from" => origin.name());
        self.queue_fact(HintFact::Limit(fact.clone()));
    }

    /// Logs and counts a hint that could not be parsed, once for each server.
    fn log_unreadable(&self, server: &ServerInstance, hint: &'static str, text: &str) {
        let before = self.unreadable.lock().insert(server.clone(), text.to_owned());
        if before.is_none() {
            self.fleet.base.metrics.count("hint.unreadable");
            slog::warn!(self.fleet.base.log, "ignoring an unreadable server hint";
                "server" => %server.name, "started_ms" => server.started_ms,
                "hint" => hint, "said" => text);
        }
    }
}
