//! Orders of the operators, and one daemon's replica of their list.
//!
//! The list is short, so each heartbeat carries all of it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::server_list::Unreadable;
use crate::{Millis, Name};

/// State of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// It was ordered, and no daemon has started it.
    #[default]
    Ordered,
    /// The new version gets a bounded fraction of the requests.
    Running,
    /// The new version gets all requests; the servers of the old one end.
    Done,
    /// The new version gets no requests; its servers end.
    RolledBack,
}

impl RolloutState {
    /// Returns whether the rollout has ended.
    pub fn is_final(self) -> bool {
        matches!(self, RolloutState::Done | RolloutState::RolledBack)
    }
}

/// Order to move a service onto servers of another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: Name,
    /// The new version.
    pub to_version: Name,
    /// Time from the order within which the rollout should end, in milliseconds.
    pub duration_ms: Millis,
    /// Its state.
    pub state: RolloutState,
    /// Version of its object in the store, for conditional writes.
    pub version: u64,
}

/// Identity of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RolloutKey {
    /// The service.
    pub service: Name,
    /// The new version.
    pub to_version: Name,
}

impl RolloutOrder {
    /// Returns the identity of the rollout.
    pub fn key(&self) -> RolloutKey {
        RolloutKey { service: self.service.clone(), to_version: self.to_version.clone() }
    }
}

/// An update of the list of orders from the platform.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RolloutChanges {
    /// Version of the platform's list after these changes.
    pub at: u64,
    /// Whether `put` is the full list.
    pub whole: bool,
    /// New and changed orders.
    pub put: Vec<RolloutOrder>,
    /// Services whose order was removed.
    pub gone: Vec<Name>,
    /// Entries that can't be parsed.
    pub unreadable: Vec<Unreadable>,
}

/// The list as daemons exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RolloutOrders {
    /// The platform's version at the last change; 0 before the list was read.
    pub at: u64,
    /// The orders by service.
    pub orders: BTreeMap<Name, RolloutOrder>,
}

/// One daemon's replica of the list.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RolloutList {
    orders: RolloutOrders,
}

impl RolloutList {
    /// Returns the list.
    pub fn orders(&self) -> &RolloutOrders {
        &self.orders
    }

    /// Returns the order for a service.
    pub fn order(&self, service: &Name) -> Option<&RolloutOrder> {
        self.orders.orders.get(service)
    }

    /// Returns the orders that have not ended.
    pub fn running(&self) -> impl Iterator<Item = &RolloutOrder> {
        self.orders.orders.values().filter(|order| !order.state.is_final())
    }

    /// Applies an update from the platform; returns whether any order has changed.
    pub fn apply(&mut self, changes: RolloutChanges) -> bool {
        let mut orders = if changes.whole { BTreeMap::new() } else { self.orders.orders.clone() };
        for service in &changes.gone {
            orders.remove(service);
        }
        orders.extend(changes.put.into_iter().map(|order| (order.service.clone(), order)));
        if orders == self.orders.orders && self.orders.at > 0 {
            return false;
        }
        self.adopt(RolloutOrders { at: changes.at, orders })
    }

    /// Adopts the list of a peer if it is newer; returns whether any order has changed.
    pub fn adopt(&mut self, orders: RolloutOrders) -> bool {
        if orders.at <= self.orders.at {
            return false;
        }
        let before = std::mem::replace(&mut self.orders, orders);
        before.orders != self.orders.orders
    }
}
