//! Tests of the gossip about partners, and of the wire format, which it shares with the membership protocol.

mod generators;
mod partner_knowledge;
mod properties;
mod wire;
