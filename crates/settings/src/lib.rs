//! What a sender is told: the platform's settings as JSON ([`platform`]), and the program's own files as protobuf
//! text format ([`text`] reads any of them, [`program`] the sender's). It reads and checks, and must never decide,
//! open a socket or look at a clock.

pub mod platform;
pub mod program;
pub mod text;

/// Types made from the schemas in `proto/`.
#[allow(missing_docs)]
pub mod schema {
    /// `proto/settings.proto`.
    pub mod settings {
        include!(concat!(env!("OUT_DIR"), "/martenlatch.settings.rs"));
    }
    /// `proto/experiment.proto`.
    pub mod experiment {
        include!(concat!(env!("OUT_DIR"), "/martenlatch.experiment.rs"));
    }
}
