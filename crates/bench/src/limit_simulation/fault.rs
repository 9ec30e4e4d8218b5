//! Faults of the daemons in a simulated fleet.

use bankcove_core::Millis;

/// A fault of some daemons.
#[derive(Debug, Clone)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Affected daemons, by index.
    pub daemons: Vec<usize>,
    /// Start time.
    pub from: Millis,
    /// End time.
    pub until: Millis,
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// The daemons reach servers and each other, but no other daemon.
    Partition,
    /// The processes are suspended, and handle the pending events on resume.
    Suspended,
    /// The processes are down, and start without any state at the end.
    Restart,
    /// The daemons are not part of the fleet: they leave at the start and join at the end.
    Absent,
}

impl Fault {
    fn is_on(&self, daemon: usize, now: Millis) -> bool {
        self.from <= now && now < self.until && self.daemons.contains(&daemon)
    }
}

/// All faults of a run.
#[derive(Debug, Clone, Default)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Returns whether a fault of one of these kinds affects the daemon now.
    pub fn is_affected(&self, daemon: usize, kinds: &[FaultKind], now: Millis) -> bool {
        self.0.iter().any(|fault| kinds.contains(&fault.kind) && fault.is_on(daemon, now))
    }

    /// Returns whether any fault affects the daemon now or ended in the last `span` milliseconds.
    pub fn was_recently_affected(&self, daemon: usize, now: Millis, span: Millis) -> bool {
        self.0.iter().any(|fault| {
            fault.daemons.contains(&daemon) && fault.from <= now && now < fault.until + span
        })
    }

    /// Returns whether a message from one daemon reaches another. A suspended daemon receives it on
    /// resume.
    pub fn can_reach(&self, from: usize, to: usize, now: Millis) -> bool {
        let partitions = self.0.iter().filter(|fault| fault.kind == FaultKind::Partition);
        let separates = |fault: &Fault| fault.is_on(from, now) != fault.is_on(to, now);
        !partitions.into_iter().any(separates)
            && !self.is_affected(to, &[FaultKind::Restart, FaultKind::Absent], now)
    }

    /// Returns when the daemon resumes, if it is suspended.
    pub fn resumes_at(&self, daemon: usize, now: Millis) -> Option<Millis> {
        let suspensions = self.0.iter().filter(|fault| fault.kind == FaultKind::Suspended);
        suspensions.filter(|fault| fault.is_on(daemon, now)).map(|fault| fault.until).max()
    }
}
