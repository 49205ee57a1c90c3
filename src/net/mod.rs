//! The network side of the sender. Each file owns one concern and says so in its first lines.

use crate::Config;

/// Binds the sender's address. Serving follows with the stages.
pub fn run(config: Config) -> Result<(), String> {
    let listener = std::net::TcpListener::bind(config.listen);
    let _listener = listener.map_err(|e| format!("listen: cannot bind {}: {e}", config.listen))?;
    loop {
        std::thread::park();
    }
}
