//! What peers have sent to servers that has still to be read there.
//!
//! Each peer tells all that it has under way, so that news that are lost or come
//! late do no harm: the next ones say it all, and what is not told again is
//! forgotten.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Millis, Name, Tokens};

/// News that are older count no more: a prompt is mostly read in less, and a peer
/// that was killed tells nothing.
const REPORT_TTL_MS: Millis = 1_500;

/// Tokens that one daemon has sent to a server and that are still to be read there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadTokens {
    /// The server.
    pub server: Name,
    /// The start of it, as [`crate::server_list::ListedServer::started_ms`].
    pub started_ms: Millis,
    /// The tokens.
    pub tokens: Tokens,
}

/// All that one daemon has sent and that is still to be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadReport {
    /// Who has sent it.
    pub from: Incarnation,
    /// Counts the news of that start; older ones are passed over.
    pub number: u64,
    /// By server; servers with nothing to read are left out.
    pub unread: Vec<UnreadTokens>,
}

/// The last news of each peer.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerUnread {
    by_peer: HashMap<Incarnation, (Millis, UnreadReport)>,
}

impl PeerUnread {
    /// Takes in news; returns what they replace, or none when newer ones are known.
    pub(super) fn merge(&mut self, now: Millis, news: &UnreadReport) -> Option<Vec<UnreadTokens>> {
        let known = self.by_peer.get(&news.from).map(|(_, known)| known);
        if known.is_some_and(|known| known.number >= news.number) {
            return None;
        }
        let before = self.by_peer.insert(news.from, (now, news.clone()));
        Some(before.map(|(_, before)| before.unread).unwrap_or_default())
    }

    /// Forgets news that are too old; returns what they told.
    pub(super) fn expire(&mut self, now: Millis) -> Vec<UnreadTokens> {
        let is_old = |at: Millis| now > at + REPORT_TTL_MS;
        let old = self.by_peer.values_mut().filter(|(at, _)| is_old(*at));
        // The number stays, so that older news do not come back.
        old.flat_map(|(_, news)| std::mem::take(&mut news.unread)).collect()
    }
}
