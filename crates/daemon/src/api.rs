//! bankcove's own interface for callers: chat completions and plain service calls.
//!
//! Owns a request's way from `admission` over `placement` to its answer (`pump`, `proxy`).
//! May call `budget`, `bill`, `crashes` and the router; called by HTTP alone. A platform's wire
//! of its own is served by `entry` instead.

pub mod admission;
pub mod answer;
pub mod backend;
pub mod chat;
pub mod placement;
pub mod proxy;
pub mod pump;
pub mod sse;
