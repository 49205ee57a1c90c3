//! The `members` command: queries a running sender for the members of its group.
//!
//! The query and the response are authenticated with the group's shared secret. The query fails if the response is not
//! complete after a few seconds.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use martenlatch_peers::membership::{MemberState, MemberUpdate};
use martenlatch_peers::wire::{FrameError, Page, Secret};
use martenlatch_settings::program::PeerSettings;
use serde_json::json;

use crate::error::{CommandError, QueryError};

/// Timeout for the connection, for each read, and for the whole response.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum bytes per read.
const READ_SIZE: usize = 4096;

/// Prints the members that the sender knows, itself first.
///
/// # Errors
/// If the secret cannot be read, or the sender does not send a valid response in time.
pub fn show(peers: &PeerSettings, as_json: bool) -> Result<(), CommandError> {
    let secret = martenlatch_sender::read_shared_secret(&peers.secret_file)?;
    let members = query(peers, &secret).map_err(|source| CommandError::QueryMembers {
        address: peers.listen,
        source,
    })?;
    for (index, member) in members.iter().enumerate() {
        let is_itself = index == 0;
        if as_json {
            println!("{}", json_line(member, is_itself));
        } else {
            println!("{}", text_line(member, is_itself));
        }
    }
    Ok(())
}

fn query(peers: &PeerSettings, secret: &Secret) -> Result<Vec<MemberUpdate>, QueryError> {
    let mut stream = TcpStream::connect_timeout(&peers.listen, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    // The response repeats this number, so that the response to an earlier query is not mistaken for it.
    let query_id = u64::from(std::process::id());
    stream.write_all(&secret.seal_page(&Page::MembersRequest {
        request_id: query_id,
    }))?;
    let start = Instant::now();
    let mut received = Vec::new();
    let mut members = Vec::new();
    let mut next_page = 0;
    while start.elapsed() < TIMEOUT {
        match secret.open_page(&received) {
            Ok((
                Page::Members {
                    request_id,
                    index,
                    members: page,
                },
                length,
            )) if request_id == query_id && index == next_page => {
                received.drain(..length);
                members.extend(page);
                next_page += 1;
            }
            Ok((
                Page::End {
                    request_id,
                    page_count,
                },
                _,
            )) if request_id == query_id && page_count == next_page => {
                return Ok(members);
            }
            Ok(_) => return Err(QueryError::OutOfOrder),
            Err(FrameError::Incomplete) => read_more(&mut stream, &mut received)?,
            Err(error) => return Err(QueryError::Malformed(error)),
        }
    }
    Err(QueryError::TimedOut)
}

fn read_more(stream: &mut TcpStream, received: &mut Vec<u8>) -> Result<(), QueryError> {
    let mut buffer = [0; READ_SIZE];
    let count = stream.read(&mut buffer)?;
    if count == 0 {
        return Err(QueryError::Closed);
    }
    received.extend(&buffer[..count]);
    Ok(())
}

fn text_line(member: &MemberUpdate, is_itself: bool) -> String {
    let state = state_name(member);
    let itself_mark = if is_itself { " (itself)" } else { "" };
    format!(
        "{:<32} {state:<8} {:<24} {}{itself_mark}",
        member.name, member.address, member.incarnation
    )
}

fn json_line(member: &MemberUpdate, is_itself: bool) -> serde_json::Value {
    json!({
        "name": member.name,
        "state": state_name(member),
        "address": member.address.to_string(),
        "incarnation": member.incarnation,
        "self": is_itself,
    })
}

fn state_name(member: &MemberUpdate) -> &'static str {
    match member.state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}
