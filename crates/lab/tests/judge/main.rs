//! Tests of the judge on hand-written histories. For each rule, one history breaks it and a similar one just keeps it.

mod answers;
mod endpoints;
mod history;
mod repeats;
mod waits;
