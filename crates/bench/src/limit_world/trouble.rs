//! What befalls the daemons of a simulated fleet.

use bankcove_core::Millis;

/// A trouble of some daemons.
#[derive(Debug, Clone)]
pub struct Trouble {
    /// What happens.
    pub kind: Kind,
    /// The daemons.
    pub daemons: Vec<usize>,
    /// When it begins.
    pub from: Millis,
    /// When it ends.
    pub until: Millis,
}

/// Kinds of trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// They reach servers and each other, but no other daemon.
    Cut,
    /// Their processes stand still, and go on with what came meanwhile.
    Frozen,
    /// Their processes end, and start anew without any state.
    Restart,
    /// They are no part of the fleet meanwhile: a join at the end, a leave at the beginning.
    Gone,
}

impl Trouble {
    fn is_on(&self, daemon: usize, now: Millis) -> bool {
        self.from <= now && now < self.until && self.daemons.contains(&daemon)
    }
}

/// All troubles of a run.
#[derive(Debug, Clone, Default)]
pub struct Troubles(pub Vec<Trouble>);

impl Troubles {
    /// Whether the daemon has a trouble of these kinds now.
    pub fn has(&self, daemon: usize, kinds: &[Kind], now: Millis) -> bool {
        self.0.iter().any(|trouble| kinds.contains(&trouble.kind) && trouble.is_on(daemon, now))
    }

    /// Whether the daemon had a trouble that excuses it, in the last `span` milliseconds.
    pub fn is_excused(&self, daemon: usize, now: Millis, span: Millis) -> bool {
        self.0.iter().any(|trouble| {
            trouble.daemons.contains(&daemon) && trouble.from <= now && now < trouble.until + span
        })
    }

    /// Whether one daemon reaches another.
    pub fn reaches(&self, from: usize, to: usize, now: Millis) -> bool {
        let cuts = self.0.iter().filter(|trouble| trouble.kind == Kind::Cut);
        let parts = |trouble: &Trouble| trouble.is_on(from, now) != trouble.is_on(to, now);
        !cuts.into_iter().any(parts) && !self.has(to, &[Kind::Restart, Kind::Gone], now)
    }

    /// When a frozen daemon goes on.
    pub fn thaws_at(&self, daemon: usize, now: Millis) -> Option<Millis> {
        let frozen = self.0.iter().filter(|trouble| trouble.kind == Kind::Frozen);
        frozen.filter(|trouble| trouble.is_on(daemon, now)).map(|trouble| trouble.until).max()
    }
}
