//! The laboratory: our own model of partners and their failures, a judge of the rules that reads only what crossed,
//! and experiments that compare variants of the sender on the same seeds. It measures and never decides; nothing in
//! it is part of the sender.

pub mod clients;
pub mod draw;
pub mod experiment;
pub mod fact;
pub mod judge;
pub mod load;
pub mod members;
pub mod model;
pub mod outcome;
pub mod relay;
pub mod report;
pub mod roof;
pub mod run;
pub mod sim;
pub mod sockets;
pub mod tally;
pub mod timed;
pub mod turns;
