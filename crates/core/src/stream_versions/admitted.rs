//! Versions at which streams may begin. They are kept in the store, so that the version of a stream
//! can be concluded even after the loss of all daemons, as long as there is only one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::table::{Service, Table};

/// Versions of each service at which streams may begin; `None` stands for all unknown versions.
///
/// No stream that can be resumed begins at a version before the store has it. A version is removed
/// when no stream of it can go on any more.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AdmittedVersions {
    services: BTreeMap<Name, BTreeSet<Option<Name>>>,
}

impl AdmittedVersions {
    /// Returns whether streams of the service may begin at this version.
    pub fn contains(&self, service: &Name, version: Option<&Name>) -> bool {
        let versions = self.services.get(service);
        versions.is_some_and(|versions| versions.contains(&version.cloned()))
    }

    /// Returns the version at which all streams of the service have begun; `None` if there are
    /// several, or if it is unknown.
    pub fn only(&self, service: &Name) -> Option<&Name> {
        let versions = self.services.get(service)?;
        let only = versions.first().filter(|_| versions.len() == 1)?;
        only.as_ref()
    }

    /// Returns whether streams of the service may have begun at another version than this.
    pub fn has_other(&self, service: &Name, version: &Name) -> bool {
        let versions = self.services.get(service);
        versions.is_some_and(|versions| versions.iter().any(|v| v.as_ref() != Some(version)))
    }

    /// Returns whether streams that can go on may have begun at another service than this: at one of the
    /// table that streams, as a route may have led there, or at one that the table no longer has.
    pub fn has_other_service(&self, service: &Name, table: &Table) -> bool {
        let mut rows = table.services.iter();
        let is_other_engine = |row: &Service| row.engine.is_some() && row.name != *service;
        let is_gone = |name: &Name| table.service(name).is_none();
        rows.any(is_other_engine) || self.services.keys().any(is_gone)
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Adds all versions of `other`.
    pub fn merge(&mut self, other: &AdmittedVersions) {
        for (service, versions) in &other.services {
            self.services.entry(service.clone()).or_default().extend(versions.iter().cloned());
        }
    }

    /// Adds a version.
    pub fn add(&mut self, service: &Name, version: Option<&Name>) {
        self.services.entry(service.clone()).or_default().insert(version.cloned());
    }

    /// Removes the versions for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Name, Option<&Name>) -> bool) {
        for (service, versions) in &mut self.services {
            versions.retain(|version| keep(service, version.as_ref()));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}

/// What one daemon knows of the admitted versions.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Admission {
    /// Versions that the store has had, until no stream of them can go on.
    known: AdmittedVersions,
    /// Those of them at which streams may begin here: listed without a gap since the store had them. One
    /// that is listed again may have been removed from the store meanwhile.
    confirmed: AdmittedVersions,
}

impl Admission {
    /// Records that the store has these versions.
    pub fn confirm(&mut self, versions: &AdmittedVersions) {
        self.known.merge(versions);
        self.confirmed.merge(versions);
    }

    /// Adds what a peer knows.
    pub fn merge(&mut self, peer: &Admission) {
        self.known.merge(&peer.known);
        self.confirmed.merge(&peer.confirmed);
    }

    /// Records the versions that are listed now.
    pub fn record_listed(&mut self, listed: &AdmittedVersions) {
        self.confirmed.retain(|service, version| listed.contains(service, version));
    }

    /// Returns whether streams of the service may begin at this version.
    pub fn may_begin(&self, service: &Name, version: Option<&Name>) -> bool {
        self.confirmed.contains(service, version)
    }

    /// Returns the versions at which streams may have begun that can go on.
    pub fn known(&self) -> &AdmittedVersions {
        &self.known
    }

    /// Returns the versions of `listed` at which no streams may begin yet.
    pub fn missing(&self, listed: &AdmittedVersions) -> AdmittedVersions {
        let mut missing = listed.clone();
        missing.retain(|service, version| !self.confirmed.contains(service, version));
        missing
    }

    /// Removes all versions but `kept`, as no stream of them can go on.
    pub fn keep_only(&mut self, kept: &AdmittedVersions) {
        for versions in [&mut self.known, &mut self.confirmed] {
            versions.retain(|service, version| kept.contains(service, version));
        }
    }
}
