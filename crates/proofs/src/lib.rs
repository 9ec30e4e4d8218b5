//! Test harness that runs a fleet of real processes, injects faults (killed and stopped processes,
//! cut links, faulty stand-ins) and checks the recorded histories for violated guarantees.

pub mod caller;
pub mod check;
pub mod endless;
pub mod fleet;
pub mod process;
pub mod relay;
pub mod scenario;
pub mod table;
