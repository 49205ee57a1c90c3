//! Performs operators' commands and reloads the configuration.

use std::net::SocketAddr;

use martenlatch_clock::Millis;
use tracing::{info, warn};

use super::driver::Driver;
use super::process_state::DiscoveryReload;
use crate::Config;
use crate::config::ConfigError;
use crate::cordons::CordonError;
use crate::operator::{self, OperatorCommand};

/// Two processes that read the configuration within this time have read the same.
const SAME_READING: Millis = 100.0;

/// Why a command is refused. The operator receives the `Display` text.
#[derive(Debug, thiserror::Error)]
enum CommandRefusal {
    /// The health command was sent to a process that accepts no more clients.
    #[error("ending: no more clients are taken")]
    ShuttingDown,
    /// An endpoint could not be cordoned or uncordoned.
    #[error(transparent)]
    Cordon(#[from] CordonError),
}

impl Driver {
    /// Reads an operator's command and answers it once it is complete.
    pub(super) fn answer_operator(&mut self, index: usize, now: Millis) {
        let Some(operators) = &mut self.operators else {
            return;
        };
        let Some(command) = operators.read_command(index) else {
            return;
        };
        let answer = match command {
            Ok(command) => operator::format_answer(self.perform_command(command)),
            Err(error) => operator::format_answer(Err(error)),
        };
        if let Some(operators) = &mut self.operators {
            operators.answer(index, &answer, now);
        }
    }

    /// Performs a command. Returns the lines of the answer to it.
    fn perform_command(&mut self, command: OperatorCommand) -> Result<String, CommandRefusal> {
        match command {
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

    fn health(&self) -> Result<String, CommandRefusal> {
        if self.ingress.listener.is_none() || self.shutdown_started.is_some() {
            return Err(CommandRefusal::ShuttingDown);
        }
        Ok("serving\n".into())
    }

    /// Cordons or uncordons an endpoint. The change is on disk and in the decision module's events before the command
    /// is answered.
    fn set_cordon(&mut self, endpoint: &str, cordoned: bool) -> Result<String, CommandRefusal> {
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
                self.discovery_reload = Some(DiscoveryReload {
                    at: now,
                    address: config.discovery,
                });
                self.discovery_in_file = Some(config.discovery);
                self.move_discovery(config.discovery, now);
            }
            Err(error) => warn!(reason = %error, "configuration kept"),
        }
    }

    /// Follows the address of discovery that a predecessor has read again, if this process has read its configuration
    /// before that.
    pub fn follow_discovery_reload(&mut self, config_read_at: Millis) {
        let Some(reload) = self.discovery_reload else {
            return;
        };
        if reload.at >= config_read_at - SAME_READING {
            self.discovery_in_file = Some(reload.address);
            self.move_discovery(reload.address, self.clock.now());
        }
    }

    /// Applies the configuration that was read without a signal, if its `discovery` field has changed.
    pub fn reload_if_changed(&mut self, config: Result<Config, ConfigError>) {
        let Ok(config) = config else {
            return;
        };
        if self.discovery_in_file != config.discovery_in_file {
            info!("discovery has moved; no signal arrived");
            self.reload(Ok(config));
        }
    }

    fn move_discovery(&mut self, address: SocketAddr, now: Millis) {
        if address != self.status_reporter.platform {
            self.status_reporter.move_to(address);
            self.directory.move_to(address, now);
        }
    }
}
