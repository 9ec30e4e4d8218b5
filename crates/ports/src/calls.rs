//! Calls of the store, counted by what they are for: each is paid for, refused ones
//! included, and only their purposes tell what a fleet costs to keep together.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use crate::objects::Kind;

/// What calls of the store are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// To read or watch the table.
    Table,
    /// To read or watch the list of backend servers.
    Servers,
    /// To read or watch the list of halls that take no new work.
    Halls,
    /// To read the list of hosts.
    Hosts,
    /// To put this host on that list, or take it off.
    Announce,
    /// To read a shard of budgets.
    BudgetsRead,
    /// To write one.
    BudgetsWritten,
    /// Anything else.
    Other,
}

/// Purposes in the order in which they are counted.
const PURPOSES: [(Purpose, &str); 8] = [
    (Purpose::Table, "table"),
    (Purpose::Servers, "servers"),
    (Purpose::Halls, "halls"),
    (Purpose::Hosts, "hosts"),
    (Purpose::Announce, "announce"),
    (Purpose::BudgetsRead, "budgets_read"),
    (Purpose::BudgetsWritten, "budgets_written"),
    (Purpose::Other, "other"),
];

impl Purpose {
    /// What a read of this kind is for.
    pub(crate) fn of_read(kind: Kind) -> Self {
        match kind {
            Kind::Table => Purpose::Table,
            Kind::Budgets => Purpose::BudgetsRead,
            Kind::RequestLog(_) | Kind::Epochs | Kind::Blocked => Purpose::Other,
        }
    }

    /// What a write of this kind is for.
    pub(crate) fn of_write(kind: Kind) -> Self {
        match kind {
            Kind::Table => Purpose::Table,
            Kind::Budgets => Purpose::BudgetsWritten,
            Kind::RequestLog(_) | Kind::Epochs | Kind::Blocked => Purpose::Other,
        }
    }
}

/// Calls since the start, by purpose.
#[derive(Debug, Default)]
pub struct CallCounters {
    counts: [AtomicU64; PURPOSES.len()],
}

/// Calls of one purpose since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CallCount {
    /// The purpose, as logs and metrics name it.
    pub purpose: &'static str,
    /// How many.
    pub calls: u64,
}

impl CallCounters {
    pub(crate) fn count(&self, purpose: Purpose) {
        let place = PURPOSES.iter().position(|(known, _)| *known == purpose);
        if let Some(count) = place.and_then(|place| self.counts.get(place)) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The counts, each purpose once.
    pub fn counts(&self) -> Vec<CallCount> {
        let counted = PURPOSES.iter().zip(&self.counts);
        let count = |((_, purpose), count): (&(Purpose, &'static str), &AtomicU64)| CallCount {
            purpose,
            calls: count.load(Ordering::Relaxed),
        };
        counted.map(count).collect()
    }
}
