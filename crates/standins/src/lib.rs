//! Stand-ins for the services that bankcove uses: the platform's object API and host list, a
//! model engine and a plain service. Each is an HTTP server with configurable faults
//! (`PUT /faults`) and a history of its calls (`GET /history`). They serve tests, the demo and
//! experiments.

pub mod engine;
pub mod faults;
pub mod serve;
pub mod service;
pub mod store;

pub use serve::RunningStandIn;
