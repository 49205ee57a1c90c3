//! Readers of a sender's settings.
//!
//! - [`platform`]: the platform's settings, a JSON object.
//! - [`program`]: the sender's own settings file, in the protobuf text format.
//! - [`text`]: a reader for files in the protobuf text format whose messages the schemas in `proto/` define.
//!
//! The crate parses and checks text that its callers pass; it opens no files.

pub mod platform;
pub mod program;
pub mod text;

/// The types that are generated from the schemas in `proto/`, where the messages and their fields are documented.
pub mod schema {
    /// The sender's own settings, `proto/settings.proto`.
    pub mod settings {
        include!(concat!(env!("OUT_DIR"), "/martenlatch.settings.rs"));
    }
    /// The laboratory's experiments, `proto/experiment.proto`.
    pub mod experiment {
        include!(concat!(env!("OUT_DIR"), "/martenlatch.experiment.rs"));
    }
}
