//! The model of the partners in a run: their rate limits, queues and slow start, and the faults that affect them.

mod endpoint;
pub mod environment;
pub mod fault_schedule;
pub mod partner;
pub mod rate_limit;
pub mod site;
