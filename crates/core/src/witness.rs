//! What this daemon attests for others: how much of a sealed grant each holder
//! has opened.
//!
//! A holder may spend only what is opened of its grant. The store records what
//! was opened with a draw; in an outage the holder's witnesses record it
//! instead, and all of them have to agree. One of them, asked to close a holder,
//! says how much it opened and agrees to nothing further. What was never opened
//! can then be taken back, whether the holder is dead, frozen or cut off.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Name, Tokens};

/// A daemon that attests for a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// The daemon's start; a later start knows nothing.
    pub incarnation: Incarnation,
    /// Its peer port.
    pub address: Arc<str>,
}

#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Mark {
    opened: Tokens,
    closed: bool,
}

/// The marks that this daemon keeps for others.
#[derive(Debug, Clone, Default, Serialize)]
pub struct WitnessMarks {
    marks: HashMap<Incarnation, HashMap<Name, Mark>>,
}

impl WitnessMarks {
    /// Agrees that `holder` opens its grant up to the cumulative sum `opened`;
    /// false when the holder is closed.
    pub fn open(&mut self, holder: Incarnation, budget: &Name, opened: Tokens) -> bool {
        let mark = self.mark(holder, budget);
        if mark.closed {
            return false;
        }
        mark.opened = mark.opened.max(opened);
        true
    }

    /// Agrees to nothing further of `holder`; returns what it had opened here.
    pub fn close(&mut self, holder: Incarnation, budget: &Name) -> Tokens {
        let mark = self.mark(holder, budget);
        mark.closed = true;
        mark.opened
    }

    /// Marks that are kept.
    pub fn len(&self) -> usize {
        self.marks.values().map(HashMap::len).sum()
    }

    /// Whether no mark is kept.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    fn mark(&mut self, holder: Incarnation, budget: &Name) -> &mut Mark {
        self.marks.entry(holder).or_default().entry(budget.clone()).or_default()
    }
}
