//! The laboratory.
