//! Writes an instance's actions as lines of the reply.

use std::fmt::Write;

use martenlatch_policy::interface::{Action, EndpointId};

use crate::messages::Messages;

/// Writes one action of the instance with this number, and keeps track of what it does to its message.
pub fn write_action(
    instance: u64,
    action: &Action,
    messages: &mut Messages,
    endpoint_names: &[String],
    reply: &mut String,
) {
    let endpoint_name = |id: &EndpointId| &endpoint_names[id.0 as usize];
    match action {
        Action::Send {
            id,
            endpoint,
            timeout,
            ..
        } => {
            messages.attempt_sent(*id);
            let message = messages.name(*id);
            let endpoint = endpoint_name(endpoint);
            write_line(
                reply,
                format_args!("deliver {instance} {message} {timeout} {endpoint}"),
            );
        }
        Action::Cancel { id, attempt } => {
            let message = messages.name(*id);
            write_line(reply, format_args!("revoke {instance} {message} {attempt}"));
        }
        Action::Reject { id, retry_after } => {
            messages.finish(*id);
            let message = messages.name(*id);
            let retry_after = retry_after.unwrap_or(0);
            write_line(
                reply,
                format_args!("reject {instance} {message} {retry_after}"),
            );
        }
        Action::Fail { id } => {
            messages.finish(*id);
            let message = messages.name(*id);
            write_line(reply, format_args!("report_failure {instance} {message}"));
        }
        Action::WakeAfter(delay) => {
            write_line(reply, format_args!("sleep {instance} {delay} 0"));
        }
        Action::CloseIdle(endpoint) => {
            let endpoint = endpoint_name(endpoint);
            write_line(reply, format_args!("free_links {instance} {endpoint}"));
        }
    }
}

/// Writes that an instance's decision module has panicked.
pub fn write_panic(instance: u64, panic: &(dyn std::any::Any + Send), reply: &mut String) {
    let text = panic_text(panic).replace('\n', " ");
    write_line(reply, format_args!("give_in {instance} {text}"));
}

/// Writes the last line of a reply.
pub fn write_end(batch_number: &str, reply: &mut String) {
    write_line(reply, format_args!("eor {batch_number}"));
}

fn write_line(reply: &mut String, line: std::fmt::Arguments) {
    writeln!(reply, "{line}").expect("writing to a String does not fail");
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
