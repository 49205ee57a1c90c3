//! Operators' calls, and the reload of the configuration.

use martenlatch_clock::Millis;
use tracing::{info, warn};

use super::driver::Driver;
use crate::Config;
use crate::config::ConfigError;
use crate::cordons::CordonError;
use crate::operator::{self, OperatorCommand};

/// Why a call is refused. Its `Display` text is sent to the operator as the reason.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// A health check failed because the process accepts no more clients.
    #[error("ending: no more clients are taken")]
    ShuttingDown,
    /// A cordon could not be set or lifted.
    #[error(transparent)]
    Cordon(#[from] CordonError),
}

impl Driver {
    /// Reads an operator's call and answers it once it is complete.
    pub(super) fn answer_operator(&mut self, index: usize, now: Millis) {
        let Some(operators) = &mut self.operators else {
            return;
        };
        let Some(call) = operators.read_command(index) else {
            return;
        };
        let answer = match call {
            Ok(call) => operator::format_answer(self.perform_call(call)),
            Err(error) => operator::format_answer(Err(error)),
        };
        if let Some(operators) = &mut self.operators {
            operators.answer(index, &answer, now);
        }
    }

    /// Performs a call and returns the lines of its answer.
    fn perform_call(&mut self, call: OperatorCommand) -> Result<String, CallError> {
        match call {
            OperatorCommand::Health => self.health(),
            OperatorCommand::Counters => {
                let gauges = self.gauges();
                let text = self.store.class_metrics.format(&gauges);
                Ok(format!("figures\n{text}"))
            }
            OperatorCommand::Cordon(endpoint) => self.set_cordon(&endpoint, true),
            OperatorCommand::Uncordon(endpoint) => self.set_cordon(&endpoint, false),
        }
    }

    fn health(&self) -> Result<String, CallError> {
        if self.ingress.listener.is_none() || self.shutdown_started.is_some() {
            return Err(CallError::ShuttingDown);
        }
        Ok("serving\n".into())
    }

    /// Cordons an endpoint or lifts its cordon. The change is on disk and in the decision module's events before the
    /// call is answered.
    fn set_cordon(&mut self, endpoint: &str, cordoned: bool) -> Result<String, CallError> {
        let change = self.directory.set_cordon(endpoint, cordoned)?;
        let changed = change.is_some();
        if let Some(change) = change {
            self.apply_endpoint_change(change);
        }
        info!(endpoint, cordoned, changed, "cordon set");
        Ok(if cordoned { "out\n" } else { "in\n" }.into())
    }

    /// Applies the configuration that was read again after SIGHUP. Its `discovery` field takes effect at once, the rest
    /// at the next start. A configuration that cannot be used changes nothing.
    pub fn reload(&mut self, config: Result<Config, ConfigError>) {
        match config {
            Ok(config) => {
                let now = self.clock.now();
                info!(discovery = %config.discovery, "configuration read");
                if config.discovery != self.status_reporter.platform {
                    self.status_reporter.move_to(config.discovery);
                    self.directory.move_to(config.discovery, now);
                }
            }
            Err(error) => warn!(reason = %error, "configuration kept"),
        }
    }
}
