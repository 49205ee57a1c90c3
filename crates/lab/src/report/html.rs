//! The frame of a report's page.

use crate::outcome::Outcome;

const STYLE: &str = "body{font:14px sans-serif;\
    max-width:960px;margin:2em auto;padding:0 1em}table{border-collapse:collapse}td,th{padding:2px 10px;\
    text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}\
    .bad{color:#a00}";

/// Text as it may stand in a page.
pub fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// The page's beginning, with what was played and how.
pub(super) fn head(outcome: &Outcome) -> String {
    let name = escaped(&outcome.experiment);
    let about = escaped(&outcome.description);
    let form = match outcome.mode.as_str() {
        "sim" => "In simulated time",
        _ => "On sockets",
    };
    let cut_short = if outcome.incomplete {
        ", <b>cut short: not every run was played</b>"
    } else {
        ""
    };
    format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>{name}</title><style>{STYLE}</style>\
         <h1>{name}</h1><p>{about}</p><p>{form}, {:.0} s{cut_short}.</p>",
        outcome.length_s
    )
}
