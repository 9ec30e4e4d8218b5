//! Issues permits to peers and to this daemon.

use bankcove_core::Millis;
use bankcove_core::limits::{Issued, IssuerPosition, LimitFact, PermitRequest};

use crate::hints::Hints;
use crate::peer::PermitAnswer;

impl PermitAnswer {
    /// Creates an answer without a permit; the next request may follow after `retry_ms`.
    pub fn denied(retry_ms: Millis) -> Self {
        let issued = Issued { permits: 0, retry_ms };
        PermitAnswer { issued, is_free: false, newer: None }
    }
}

impl Hints {
    /// Issues permits for a server. `fact` is the server's limit as known to the requesting daemon.
    pub fn issue(&self, fact: &LimitFact, request: PermitRequest) -> PermitAnswer {
        self.merge_limits(std::slice::from_ref(fact));
        let now = self.fleet.base.clock.now();
        let known = self.limits.lock().fact(now, &fact.server);
        let newer = known.clone().filter(|known| known.limit != fact.limit);
        let Some(limit) = known.and_then(|known| known.limit) else {
            let issued = Issued { permits: 0, retry_ms: 0 };
            return PermitAnswer { issued, is_free: true, newer };
        };
        // A daemon that does not know the other members would rank first for every server.
        let rank = self.issuers(&fact.server).iter().position(Option::is_none);
        let rank = rank.filter(|_| self.fleet.size().is_some()).unwrap_or(usize::MAX);
        let position = IssuerPosition { rank, since: self.membership_since() };
        let issued = self.issuer.lock().issue(now, &fact.server, limit, position, request);
        PermitAnswer { issued, is_free: false, newer }
    }
}
