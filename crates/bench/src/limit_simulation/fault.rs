//! What befalls the daemons of a simulated fleet.

use bankcove_core::Millis;

/// A trouble of some daemons.
#[derive(Debug, Clone)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// The daemons.
    pub daemons: Vec<usize>,
    /// When it begins.
    pub from: Millis,
    /// When it ends.
    pub until: Millis,
}

/// Kinds of trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// They reach servers and each other, but no other daemon.
    Partition,
    /// Their processes stand still, and go on with what came meanwhile.
    Suspended,
    /// Their processes end, and start anew without any state.
    Restart,
    /// They are no part of the fleet meanwhile: a join at the end, a leave at the beginning.
    Absent,
}

impl Fault {
    fn is_on(&self, daemon: usize, now: Millis) -> bool {
        self.from <= now && now < self.until && self.daemons.contains(&daemon)
    }
}

/// All troubles of a run.
#[derive(Debug, Clone, Default)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Whether the daemon has a trouble of these kinds now.
    pub fn is_affected(&self, daemon: usize, kinds: &[FaultKind], now: Millis) -> bool {
        self.0.iter().any(|fault| kinds.contains(&fault.kind) && fault.is_on(daemon, now))
    }

    /// Whether the daemon had a trouble that excuses it, in the last `span` milliseconds.
    pub fn was_recently_affected(&self, daemon: usize, now: Millis, span: Millis) -> bool {
        self.0.iter().any(|fault| {
            fault.daemons.contains(&daemon) && fault.from <= now && now < fault.until + span
        })
    }

    /// Whether one daemon reaches another.
    pub fn can_reach(&self, from: usize, to: usize, now: Millis) -> bool {
        let cuts = self.0.iter().filter(|fault| fault.kind == FaultKind::Partition);
        let parts = |fault: &Fault| fault.is_on(from, now) != fault.is_on(to, now);
        !cuts.into_iter().any(parts)
            && !self.is_affected(to, &[FaultKind::Restart, FaultKind::Absent], now)
    }

    /// When a frozen daemon goes on.
    pub fn resumes_at(&self, daemon: usize, now: Millis) -> Option<Millis> {
        let frozen = self.0.iter().filter(|fault| fault.kind == FaultKind::Suspended);
        frozen.filter(|fault| fault.is_on(daemon, now)).map(|fault| fault.until).max()
    }
}
