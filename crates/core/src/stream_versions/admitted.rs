//! Versions at which streams may begin. They are kept in the store, so that the version of a stream
//! can be concluded even after the loss of all daemons, as long as there is only one.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Name;

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
