//! What the limits on memory, disk space and descriptors allow: connections, buffers, and the size of the log.

use martenlatch_http::buffer_pool::BUFFER_SIZE;
use martenlatch_policy::interface::Settings;

use super::status_reports::MAX_REPORT_CONNECTIONS;
use crate::Config;
use crate::operator;

/// Each connection has an input and an output buffer.
const BUFFERS_PER_CONNECTION: usize = 2;
/// Buffers for the connections of the watch and of the status reports.
pub(super) const CONTROL_BUFFERS: usize = (1 + MAX_REPORT_CONNECTIONS) * BUFFERS_PER_CONNECTION;
/// The share of the memory limit for buffers, as a divisor.
const BUFFER_MEMORY_DIVISOR: u64 = 2;
/// The share of the memory limit that the log may need, as a divisor. Its open messages are held in memory, a start reads
/// the whole file, and a compaction writes it anew.
const LOG_MEMORY_DIVISOR: u64 = 4;
/// The share of the descriptors for clients, as a divisor. The rest is for endpoints, discovery and files.
const CLIENT_DESCRIPTORS_DIVISOR: usize = 2;
/// Each client uses two buffers, and a third is left for endpoints.
const BUFFERS_CLAIMED_PER_CLIENT: usize = 3;
/// The share of the descriptors for endpoints, as a divisor.
const ENDPOINT_DESCRIPTORS_DIVISOR: usize = 3;

/// The numbers of connections and buffers that the limits on descriptors and memory allow.
pub(super) struct ConnectionCapacity {
    /// The largest number of clients.
    pub(super) max_clients: usize,
    /// The number of buffers for connections to endpoints.
    pub(super) endpoint_buffers: usize,
    /// The largest number of connections to endpoints.
    pub(super) max_endpoint_connections: usize,
}

impl ConnectionCapacity {
    /// Computes the capacity. Clients and endpoints have separate buffers, so that slow clients cannot starve
    /// endpoints.
    pub(super) fn new(config: &Config, settings: &Settings) -> ConnectionCapacity {
        let operator_connections = match config.operator {
            Some(_) => operator::MAX_OPERATOR_CONNECTIONS + 1,
            None => 0,
        };
        let buffers = (config.memory_limit / BUFFER_MEMORY_DIVISOR / BUFFER_SIZE as u64) as usize;
        let buffers = buffers.saturating_sub(BUFFERS_PER_CONNECTION * operator_connections);
        let buffered_clients = buffers / BUFFERS_CLAIMED_PER_CLIENT;
        let max_clients = (config.descriptor_limit / CLIENT_DESCRIPTORS_DIVISOR)
            .saturating_sub(operator_connections)
            .min(buffered_clients)
            .max(1);
        let client_buffers = BUFFERS_PER_CONNECTION * max_clients.min(buffered_clients);
        ConnectionCapacity {
            max_clients,
            endpoint_buffers: (buffers - client_buffers)
                .saturating_sub(CONTROL_BUFFERS)
                .max(1),
            max_endpoint_connections: (config.descriptor_limit / ENDPOINT_DESCRIPTORS_DIVISOR)
                .max(settings.max_in_flight),
        }
    }
}

/// The size to which the limits on disk space and memory restrict the log, in bytes.
pub(super) fn log_limit(config: &Config) -> u64 {
    config
        .disk_limit
        .min(config.memory_limit / LOG_MEMORY_DIVISOR)
}
