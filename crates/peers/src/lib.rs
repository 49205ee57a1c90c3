//! Who else sends, and what they know of partners. [`member`] keeps a view of the other senders by a protocol like
//! SWIM, [`known`] merges what they tell and weighs it by its age, [`wire`] is the form of both on the network.
//!
//! Nothing in here opens a socket or looks at a clock: time and datagrams go in, datagrams and changes come out. What
//! is done with what is known stays the decision module's.

pub mod latency_sketch;
pub mod membership;
pub mod partner_knowledge;
pub mod simulated_network;
pub mod wire;
