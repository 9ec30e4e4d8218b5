//! Small stand-ins of what stands around bankcove: the platform's object API
//! and host list, a model engine, a plain service. Each is an HTTP server with
//! a panel of faults (`PUT /faults`) and a history of what it did
//! (`GET /history`). For tests, for the demo and for trying things out.

pub mod engine;
pub mod faults;
pub mod serve;
pub mod service;
pub mod store;

pub use serve::RunningStandIn;
