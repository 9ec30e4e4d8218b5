//! Witness records: how much of its sealed grant each holder has opened.
//!
//! A holder may spend only the opened part of its grant. The store records the
//! opened amount with a draw; during an outage of the store the holder's witnesses
//! record it instead, and all of them have to agree. A witness that is asked to
//! close a holder returns the amount that it opened, and rejects further openings.
//! The part that was never opened can then be reclaimed, whether the holder has
//! crashed, hangs or is cut off.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Name, Tokens};

/// A daemon that records the opened amount for a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// The daemon's incarnation; a later one does not have the records.
    pub incarnation: Incarnation,
    /// Address of its peer port.
    pub address: Arc<str>,
}

#[derive(Debug, Clone, Copy, Default, Serialize)]
struct WitnessRecord {
    opened: Tokens,
    closed: bool,
}

/// The records that this daemon keeps as a witness, by holder and budget.
#[derive(Debug, Clone, Default, Serialize)]
pub struct WitnessRecords {
    #[serde(rename = "marks")]
    records: HashMap<Incarnation, HashMap<Name, WitnessRecord>>,
}

impl WitnessRecords {
    /// Records that `holder` opens its grant up to the cumulative sum `opened`; returns false,
    /// and records nothing, if the holder is closed.
    pub fn open(&mut self, holder: Incarnation, budget: &Name, opened: Tokens) -> bool {
        let record = self.record(holder, budget);
        if record.closed {
            return false;
        }
        record.opened = record.opened.max(opened);
        true
    }

    /// Closes `holder` to further openings; returns the amount that it had opened here.
    pub fn close(&mut self, holder: Incarnation, budget: &Name) -> Tokens {
        let record = self.record(holder, budget);
        record.closed = true;
        record.opened
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.values().map(HashMap::len).sum()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn record(&mut self, holder: Incarnation, budget: &Name) -> &mut WitnessRecord {
        self.records.entry(holder).or_default().entry(budget.clone()).or_default()
    }
}
