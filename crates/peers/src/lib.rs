//! The peers of a sender (the other senders of its group), and the gossip about partners that they exchange.
//!
//! - [`membership`]: the group membership protocol, which is based on SWIM.
//! - [`partner_knowledge`]: the gossip that peers send to a starting sender, merged and weighted by its age.
//! - [`latency_sketch`]: the histogram in which gossip carries latencies.
//! - [`wire`]: the encoding of membership datagrams and gossip on the network.
//! - [`simulated_network`]: a deterministic network of members, for tests and experiments.
//!
//! The crate does no I/O and reads no clock: its inputs are the time and received datagrams, its outputs are datagrams
//! to send and changes of the membership. The decision module (`martenlatch-policy`) decides how the gossip is used.

pub mod latency_sketch;
pub mod membership;
pub mod partner_knowledge;
pub mod simulated_network;
pub mod wire;
