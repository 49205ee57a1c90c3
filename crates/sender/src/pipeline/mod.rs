//! The stages that a message passes in the sender, and the [`Driver`] that runs them, one round at a time.
//!
//! A message passes ingress (its client's connection), admission (accepted or rejected), the decision module (when to
//! attempt which endpoint), dispatch and egress (the attempts), and completion (its single end). Only the driver calls
//! the decision module, through types that are independent of any protocol.

mod actions;
mod admission;
mod attempt_owners;
mod builder;
mod capacity;
#[cfg(test)]
mod compatibility_tests;
mod completion;
mod conclusion;
#[cfg(test)]
mod crash_recovery_tests;
mod decision;
mod dispatch;
mod driver;
mod endpoint_updates;
mod ingress;
mod known_list;
mod message_store;
mod metrics;
mod operator_commands;
mod poll_history;
mod process_state;
mod send_gate;
mod settlement;
mod shutdown;
mod status_reports;
#[cfg(test)]
mod test_support;
#[cfg(test)]
mod tests;

pub use builder::StartMode;
pub use driver::Driver;
pub use process_state::{ProcessLoad, ProcessState};
