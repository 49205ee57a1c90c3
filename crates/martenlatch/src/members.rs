//! Owns the question whom a running sender holds for members. It must never wait for longer than a few seconds, or
//! believe an answer that is not keyed.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use martenlatch_peers::membership::{MemberUpdate, State};
use martenlatch_peers::wire::{Fault, Page};
use martenlatch_settings::program::Peers;
use serde_json::json;

const PATIENCE: Duration = Duration::from_secs(3);

fn ask(peers: &Peers) -> Result<Vec<MemberUpdate>, String> {
    let secret = martenlatch_sender::secret(&peers.secret_file)?;
    let failed = |e: std::io::Error| format!("{}: nobody answers: {e}", peers.listen);
    let mut stream = TcpStream::connect_timeout(&peers.listen, PATIENCE).map_err(failed)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(failed)?;
    // Any number will do that an earlier answer does not bear.
    let no = u64::from(std::process::id());
    stream
        .write_all(&secret.seal_page(&Page::Who { no }))
        .map_err(failed)?;
    let (mut bytes, mut all, mut next, start) = (Vec::new(), Vec::new(), 0, Instant::now());
    while start.elapsed() < PATIENCE {
        match secret.open_page(&bytes) {
            Ok((
                Page::Membership {
                    no: n,
                    page,
                    rumours,
                },
                used,
            )) if (n, page) == (no, next) => {
                bytes.drain(..used);
                all.extend(rumours);
                next += 1;
            }
            Ok((Page::End { no: n, pages }, _)) if (n, pages) == (no, next) => return Ok(all),
            Ok(_) => return Err(format!("{}: the answer is out of order", peers.listen)),
            Err(Fault::Short) => {
                let mut part = [0; 4096];
                let count = stream.read(&mut part).map_err(failed)?;
                if count == 0 {
                    return Err(format!(
                        "{}: closed; is its secret another one?",
                        peers.listen
                    ));
                }
                bytes.extend(&part[..count]);
            }
            Err(fault) => return Err(format!("{}: the answer is {fault}", peers.listen)),
        }
    }
    Err(format!("{}: no whole answer in time", peers.listen))
}

/// Prints the members as the sender sees them, itself first.
///
/// # Errors
/// Where nobody answers, or not in a way that can be believed.
pub fn show(peers: &Peers, as_json: bool) -> Result<(), String> {
    for (at, member) in ask(peers)?.iter().enumerate() {
        let state = match member.state {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        };
        if as_json {
            let (address, incarnation) = (member.address.to_string(), member.incarnation);
            println!(
                "{}",
                json!({"name": member.name, "state": state, "address": address, "incarnation": incarnation,
                    "self": at == 0})
            );
        } else {
            let own = if at == 0 { " (itself)" } else { "" };
            println!(
                "{:<32} {state:<8} {:<24} {}{own}",
                member.name, member.address, member.incarnation
            );
        }
    }
    Ok(())
}
