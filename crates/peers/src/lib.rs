//! The peers of a sender, which are the other senders, and what they know about partners.
//!
//! - [`membership`]: the group membership, by a protocol like SWIM.
//! - [`partner_knowledge`]: the gossip about partners that peers send to a newcomer, merged and weighed by its age.
//! - [`latency_sketch`]: the histogram in which latencies are gossiped.
//! - [`wire`]: the encoding of both on the network.
//! - [`simulated_network`]: a deterministic network of members, for tests and experiments.
//!
//! The crate does no I/O and reads no clock: time and received datagrams go in, datagrams to send and changes come out.
//! The decision module (`martenlatch-policy`) decides what is done with the gossip.

pub mod latency_sketch;
pub mod membership;
pub mod partner_knowledge;
pub mod simulated_network;
pub mod wire;
