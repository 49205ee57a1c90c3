//! The model that a run plays against: partners with their limits, queues and slow start, and the faults that hit
//! them.

mod endpoint;
pub mod environment;
pub mod fault_schedule;
pub mod partner;
pub mod rate_limit;
pub mod site;
