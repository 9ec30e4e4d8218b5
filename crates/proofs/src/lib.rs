//! The harness of the proofs: real processes, real kills and freezes, links
//! that can be cut, and checkers that read the histories of what happened.

pub mod caller;
pub mod check;
pub mod fleet;
pub mod process;
pub mod relay;
pub mod scenario;
pub mod table;
