//! Data structures of the decision state. They have no knowledge of messages, endpoints or thresholds.

mod adaptive_interval;
mod call_counts;
mod connection_use;
mod fifo_queues;
mod latency_window;
mod lost_connections;
mod moving_average;
mod outcome_history;
mod page;
mod random;
mod send_window;
mod start_times;
#[cfg(test)]
mod tests;
mod wakeup_timer;

pub(crate) use adaptive_interval::AdaptiveInterval;
pub(crate) use call_counts::CallCounts;
pub(crate) use connection_use::ConnectionUse;
pub(crate) use fifo_queues::FifoQueues;
pub(crate) use latency_window::LatencyWindow;
pub(crate) use lost_connections::LostConnections;
pub(crate) use moving_average::{SmoothedLatency, SuccessRate};
pub(crate) use outcome_history::OutcomeHistory;
pub(crate) use page::read_page;
pub(crate) use random::Random;
pub(crate) use send_window::SendWindow;
pub(crate) use start_times::StartTimes;
pub(crate) use wakeup_timer::WakeupTimer;
