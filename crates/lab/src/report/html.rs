//! The head of a report page, and the escaping of text in it.

use crate::outcome::Outcome;

const STYLE: &str = "body{font:14px sans-serif;\
    max-width:960px;margin:2em auto;padding:0 1em}table{border-collapse:collapse}td,th{padding:2px 10px;\
    text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}\
    .bad{color:#a00}";

/// Escapes text for use in HTML.
pub fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// The beginning of the page: the name and description of the experiment, and how it was run.
pub(super) fn head(outcome: &Outcome) -> String {
    let name = escaped(&outcome.experiment);
    let description = escaped(&outcome.description);
    let mode = match outcome.mode.as_str() {
        "sim" => "In simulated time",
        _ => "On sockets",
    };
    let incomplete_note = if outcome.incomplete {
        ", <b>cut short: not every run was played</b>"
    } else {
        ""
    };
    format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>{name}</title><style>{STYLE}</style>\
         <h1>{name}</h1><p>{description}</p><p>{mode}, {:.0} s{incomplete_note}.</p>",
        outcome.length_s
    )
}
