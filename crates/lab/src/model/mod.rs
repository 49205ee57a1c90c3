//! One model of partners and what goes wrong with them, for simulated time and for sockets alike: pure, seeded, in
//! its own time. It must never do I/O, look at a clock, or know who asks.

pub mod ground;
pub mod partner;
pub mod site;
pub mod weather;
