//! The sender: it accepts messages from clients and delivers each to an endpoint of its destination.
//!
//! One event loop on one thread runs everything. [`run`] starts the process, alone or as the successor of a process
//! that serves, and runs the message pipeline until a signal ends the process or a successor replaces it.

mod atomic_file;
mod class_metrics;
mod class_rules;
mod config;
mod cordons;
mod counters;
mod discovery;
mod egress;
mod error;
mod event_source;
mod jitter;
mod log_recovery;
mod operator;
mod peer_service;
mod peer_snapshot;
mod pipeline;
mod process_replacement;
mod safety;
mod serve;
mod startup;

pub use config::{Config, ConfigError};
pub use error::SenderError;
pub use operator::OperatorError;
pub use peer_service::{PeerServiceError, read_shared_secret};
pub use process_replacement::CandidateError;
pub use serve::run;
use startup::listen;
