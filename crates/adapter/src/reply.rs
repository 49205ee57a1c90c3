//! Writes an instance's actions as lines of the reply.

use martenlatch_policy::interface::{Action, EndpointId};

use crate::messages::Messages;

/// Writes an action of the instance with this number, and records the effect on the message.
pub fn write_action(
    instance: u64,
    action: &Action,
    messages: &mut Messages,
    endpoint_names: &[String],
    reply: &mut String,
) {
    match action {
        Action::Send { id, .. } => messages.attempt_sent(*id),
        Action::Reject { id, .. } | Action::Fail { id } => messages.finish(*id),
        Action::Cancel { .. } | Action::WakeAfter(_) | Action::CloseIdle(_) => {}
    }
    let endpoint_name = |id: &EndpointId| &endpoint_names[id.0 as usize];
    let line = match action {
        Action::Send {
            id,
            endpoint,
            timeout,
            ..
        } => {
            let message = messages.name(*id);
            let endpoint = endpoint_name(endpoint);
            format!("deliver {instance} {message} {timeout} {endpoint}")
        }
        Action::Cancel { id, attempt } => {
            format!("revoke {instance} {} {attempt}", messages.name(*id))
        }
        Action::Reject { id, retry_after } => {
            let retry_after = retry_after.unwrap_or(0);
            format!("reject {instance} {} {retry_after}", messages.name(*id))
        }
        Action::Fail { id } => format!("report_failure {instance} {}", messages.name(*id)),
        Action::WakeAfter(delay) => format!("sleep {instance} {delay} 0"),
        Action::CloseIdle(endpoint) => {
            format!("free_links {instance} {}", endpoint_name(endpoint))
        }
    };
    write_line(reply, &line);
}

/// Writes that an instance's decision module has panicked.
pub fn write_panic(instance: u64, panic: &(dyn std::any::Any + Send), reply: &mut String) {
    let text = panic_text(panic).replace('\n', " ");
    write_line(reply, &format!("give_in {instance} {text}"));
}

/// Writes the last line of a reply.
pub fn write_end(batch_number: &str, reply: &mut String) {
    write_line(reply, &format!("eor {batch_number}"));
}

fn write_line(reply: &mut String, line: &str) {
    reply.push_str(line);
    reply.push('\n');
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> &str {
    if let Some(text) = panic.downcast_ref::<&str>() {
        text
    } else if let Some(text) = panic.downcast_ref::<String>() {
        text
    } else {
        "panic without a text"
    }
}
