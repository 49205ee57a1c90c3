//! The judge against histories written by hand: one that breaks each rule, and one beside it that only nearly does.

mod answers;
mod endpoints;
mod history;
mod repeats;
mod waits;
