//! The laboratory: a model of partners and their faults, a judge that checks the rules using only the traffic between
//! the parties, and experiments that compare variants of the sender with the same seeds. It is not part of the sender.

pub mod baseline_relay;
pub mod clients;
pub mod delay_queue;
pub mod error;
pub mod event_log;
pub mod experiment;
pub mod judge;
pub mod load;
pub mod members;
pub mod metrics;
pub mod model;
pub mod network;
pub mod outcome;
pub mod report;
pub mod run;
pub mod sampling;
pub mod sim;
pub mod soak;
pub mod sockets;
pub mod throughput_ceiling;
pub mod turn_cost;
