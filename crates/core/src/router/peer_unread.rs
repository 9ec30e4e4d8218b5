//! Prompt tokens that peers have sent to servers and that are not read yet.
//!
//! Each report of a peer lists all such tokens, so lost or late reports do no harm:
//! the next one replaces them, and what is not reported again expires.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Millis, Name, Tokens};

/// Age at which a report expires: most prompts are read in less time, and a peer that was
/// killed sends no further reports.
const REPORT_TTL_MS: Millis = 1_500;

/// Prompt tokens that one daemon has sent to a server and that the server has not read yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadTokens {
    /// The server.
    pub server: Name,
    /// When this instance of it was started, as
    /// [`crate::server_list::ListedServer::started_ms`].
    pub started_ms: Millis,
    /// Number of tokens.
    pub tokens: Tokens,
}

/// All prompt tokens that one daemon has sent and that are not read yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadReport {
    /// The reporting daemon.
    pub from: Incarnation,
    /// Sequence number among the reports of that incarnation; older reports are ignored.
    pub number: u64,
    /// Tokens by server; servers without unread tokens are left out.
    pub unread: Vec<UnreadTokens>,
}

/// Last report of each peer, with the time of receipt.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerUnread {
    by_peer: HashMap<Incarnation, (Millis, UnreadReport)>,
}

impl PeerUnread {
    /// Merges a report. Returns the entries that it replaces, or `None` when it is not newer than
    /// the last one.
    pub(super) fn merge(
        &mut self,
        now: Millis,
        report: &UnreadReport,
    ) -> Option<Vec<UnreadTokens>> {
        let known = self.by_peer.get(&report.from).map(|(_, known)| known);
        if known.is_some_and(|known| known.number >= report.number) {
            return None;
        }
        let replaced = self.by_peer.insert(report.from, (now, report.clone()));
        Some(replaced.map(|(_, replaced)| replaced.unread).unwrap_or_default())
    }

    /// Empties expired reports and returns their entries.
    pub(super) fn take_expired(&mut self, now: Millis) -> Vec<UnreadTokens> {
        let is_old = |at: Millis| now > at + REPORT_TTL_MS;
        let old = self.by_peer.values_mut().filter(|(at, _)| is_old(*at));
        // The sequence number is kept, so that older reports are still ignored.
        old.flat_map(|(_, report)| std::mem::take(&mut report.unread)).collect()
    }
}
