//! Counters of store calls by purpose. Every call costs money, refused ones included, and the
//! breakdown by purpose shows the cost of coordinating a fleet.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::Serialize;

use crate::objects::Kind;

/// Purpose of a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Reads and watches of the table.
    Table,
    /// Reads and watches of the list of backend servers.
    Servers,
    /// Reads and watches of the list of halls that take no new work.
    Halls,
    /// Reads of the host list.
    Hosts,
    /// Adding this host to the host list or removing it.
    Announce,
    /// Reads of a budget shard.
    BudgetsRead,
    /// Writes of a budget shard.
    BudgetsWritten,
    /// Reads and watches of the rollouts, and writes of their states and leases.
    Rollouts,
    /// All other calls.
    Other,
}

/// All purposes with their names in logs and metrics, in the order of the counters.
const PURPOSES: [(Purpose, &str); 9] = [
    (Purpose::Table, "table"),
    (Purpose::Servers, "servers"),
    (Purpose::Halls, "halls"),
    (Purpose::Hosts, "hosts"),
    (Purpose::Announce, "announce"),
    (Purpose::BudgetsRead, "budgets_read"),
    (Purpose::BudgetsWritten, "budgets_written"),
    (Purpose::Rollouts, "rollouts"),
    (Purpose::Other, "other"),
];

impl Purpose {
    /// Returns the purpose of a read of this kind.
    pub(crate) fn of_read(kind: Kind) -> Self {
        match kind {
            Kind::Table => Purpose::Table,
            Kind::Budgets => Purpose::BudgetsRead,
            Kind::RolloutLeases => Purpose::Rollouts,
            Kind::RequestLog(_) | Kind::Epochs | Kind::Blocked | Kind::StreamVersions => {
                Purpose::Other
            }
        }
    }

    /// Returns the purpose of a write of this kind.
    pub(crate) fn of_write(kind: Kind) -> Self {
        match kind {
            Kind::Table => Purpose::Table,
            Kind::Budgets => Purpose::BudgetsWritten,
            Kind::RolloutLeases => Purpose::Rollouts,
            Kind::RequestLog(_) | Kind::Epochs | Kind::Blocked | Kind::StreamVersions => {
                Purpose::Other
            }
        }
    }
}

/// Number of calls since the start, by purpose.
#[derive(Debug, Default)]
pub struct CallCounters {
    counts: [AtomicU64; PURPOSES.len()],
}

/// Number of calls of one purpose since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CallCount {
    /// Name of the purpose in logs and metrics.
    pub purpose: &'static str,
    /// Number of calls.
    pub calls: u64,
}

impl CallCounters {
    /// Counts one call.
    pub(crate) fn count(&self, purpose: Purpose) {
        let index = PURPOSES.iter().position(|(known, _)| *known == purpose);
        if let Some(count) = index.and_then(|index| self.counts.get(index)) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the counts, one entry per purpose.
    pub fn counts(&self) -> Vec<CallCount> {
        let counted = PURPOSES.iter().zip(&self.counts);
        let count = |((_, purpose), count): (&(Purpose, &'static str), &AtomicU64)| CallCount {
            purpose,
            calls: count.load(Ordering::Relaxed),
        };
        counted.map(count).collect()
    }
}
