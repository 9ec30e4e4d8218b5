//! Issues permits to peers and to this daemon itself.

use bankcove_core::Millis;
use bankcove_core::limits::{Issued, IssuerPosition, LimitFact, PermitRequest};

use crate::hints::Hints;
use crate::peer::PermitAnswer;

impl PermitAnswer {
    /// No permit; when it is worth asking again.
    pub fn denied(retry_ms: Millis) -> Self {
        let issued = Issued { permits: 0, retry_ms };
        PermitAnswer { issued, is_free: false, newer: None }
    }
}

impl Hints {
    /// Issues permits for the server that the asker knows this of.
    pub fn issue(&self, fact: &LimitFact, wish: PermitRequest) -> PermitAnswer {
        self.merge_limits(std::slice::from_ref(fact));
        let now = self.fleet.base.clock.now();
        let known = self.book.lock().fact(now, &fact.server);
        let newer = known.clone().filter(|known| known.limit != fact.limit);
        let Some(limit) = known.and_then(|known| known.limit) else {
            let issued = Issued { permits: 0, retry_ms: 0 };
            return PermitAnswer { issued, is_free: true, newer };
        };
        // A daemon that takes itself for alone would rank first for every server.
        let rank = self.issuers(&fact.server).iter().position(Option::is_none);
        let rank = rank.filter(|_| self.fleet.size().is_some()).unwrap_or(usize::MAX);
        let place = IssuerPosition { rank, since: self.fleet_since() };
        let issued = self.issuer.lock().issue(now, &fact.server, limit, place, wish);
        PermitAnswer { issued, is_free: false, newer }
    }
}
