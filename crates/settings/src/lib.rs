//! Readers of a sender's settings.
//!
//! - [`platform`]: the platform's settings, a JSON object.
//! - [`program`]: the sender's own settings file, in the protobuf text format.
//! - [`text`]: a reader for any file in the protobuf text format that is described by the schemas in `proto/`.
//!
//! The crate parses text that it is given and checks it; it opens no files.

pub mod platform;
pub mod program;
pub mod text;

/// The messages that are generated from the schemas in `proto/`, where they and their fields are documented.
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
