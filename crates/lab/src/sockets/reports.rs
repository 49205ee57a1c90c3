//! The platform's receiver of status reports, which senders write about messages that they accepted and did not
//! deliver.

use martenlatch_clock::Millis;
use serde_json::Value;

use super::clients::message_number;
use super::event::SubmissionFailure;
use super::testbed::Testbed;
use crate::error::LabError;
use crate::event_log::EventKind;

/// A status report about a message.
struct StatusReport {
    message: u64,
    /// The message has not run, and its client may resubmit it.
    deferred: bool,
    /// The least time that its client waits before it resubmits the message.
    retry_after: Option<Millis>,
}

impl Testbed<'_> {
    /// Handles the reports in the body of a request, one on each line.
    pub fn receive_reports(&mut self, sender: u32, body: &[u8]) {
        let text = String::from_utf8_lossy(body);
        for line in text.lines() {
            match self.parse_report(line) {
                Ok(report) => self.apply_report(sender, &report),
                Err(error) => self.fail(error),
            }
        }
    }

    fn parse_report(&self, line: &str) -> Result<StatusReport, LabError> {
        let json: Value = serde_json::from_str(line).unwrap_or_default();
        let deferred = match json["status"].as_str() {
            Some("deferred") => true,
            Some("undeliverable") => false,
            _ => return Err(LabError::MalformedReport { line: line.into() }),
        };
        let message = json["id"]
            .as_str()
            .and_then(message_number)
            .filter(|message| self.messages.contains_key(message))
            .ok_or_else(|| LabError::UnknownReport { line: line.into() })?;
        Ok(StatusReport {
            message,
            deferred,
            retry_after: json["again_ms"].as_f64(),
        })
    }

    fn apply_report(&mut self, sender: u32, report: &StatusReport) {
        self.record(EventKind::StatusReport {
            sender,
            id: report.message,
            deferred: report.deferred,
            retry_after: report.retry_after,
        });
        if !self.finish_message(report.message) {
            return;
        }
        let Some(message) = self.messages.get(&report.message) else {
            return;
        };
        let origin = message.origin;
        if let Some(at) = message.may_have_run {
            self.clients.may_have_run(origin, at);
        }
        if report.deferred {
            let retry_after = report.retry_after;
            self.schedule_retry(origin, SubmissionFailure::Rejected { retry_after });
        }
    }
}
