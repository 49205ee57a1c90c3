//! Records and counts the ends of attempts and messages, and creates the events for the decision module.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::interface::{Event, MessageId, Outcome};
use martenlatch_wal::FinalStatus;
use tracing::debug;

use super::message_store::{MessageState, MessageStore, StoredMessage, UnsettledEnd};
use super::status_reports::StatusReporter;
use crate::counters::Counters;
use crate::egress::{AttemptResult, Evidence};

/// How long before the deadline a success must have been read to count as the delivery of its message. The client began
/// to measure the message's time slightly earlier than the sender, so this time also ends earlier for the client, and
/// the platform counts no success after its end.
pub(super) const LATE_SUCCESS_GUARD: Millis = 50.0;

/// Processes the result of an attempt that has ended; it was read before `read_by`. Returns the event for the decision
/// module if the message is still in the store.
pub(super) fn record_outcome(
    result: &AttemptResult,
    store: &mut MessageStore,
    status_reporter: &mut StatusReporter,
    read_by: Millis,
) -> Option<Event> {
    let number = result.id.0;
    count_outcome(&mut store.counters, result.outcome);
    let message = store.messages.get_mut(&number)?;
    debug!(
        number,
        attempt = result.attempt,
        destination = message.record.destination,
        outcome = ?result.outcome,
        took_ms = result.took as u64,
        "attempt ended"
    );
    message.attempts_in_flight = message.attempts_in_flight.saturating_sub(1);
    let is_certain = result.evidence == Evidence::Certain;
    if !is_certain {
        store.counters.uncertain_responses += 1;
    }
    if result.outcome.never_ran() {
        if !is_certain {
            message.unsettled_rejections.push(result.attempt);
        } else if mark_never_ran(message, result.attempt as usize) {
            store.wal.append_never_ran(number, result.attempt as usize);
        }
    }
    let succeeded = result.outcome == Outcome::Success;
    let in_time = read_by < message.record.deadline - LATE_SUCCESS_GUARD;
    if succeeded && !in_time {
        end_by_late_success(result.id, store, status_reporter);
    } else if !is_certain && (succeeded || result.message_finished) {
        end_unsettled(result, store);
    } else if (succeeded || result.message_finished)
        && prepare_to_close(message, result.outcome, status_reporter)
    {
        close_message(number, result.message_finished, store);
    } else {
        store.remove_if_finished(number);
    }
    Some(Event::AttemptEnded {
        id: result.id,
        attempt: result.attempt,
        outcome: result.outcome,
        took: nanos(result.took),
        finished: !store.is_open(number),
    })
}

fn count_outcome(counters: &mut Counters, outcome: Outcome) {
    let counter = match outcome {
        Outcome::Success => &mut counters.success,
        Outcome::Failure => &mut counters.failure,
        Outcome::Overloaded { .. } => &mut counters.overloaded,
        Outcome::TimedOut => &mut counters.timed_out,
        Outcome::Unreachable => &mut counters.unreachable,
        Outcome::ConnectionLost => &mut counters.connection_lost,
        Outcome::StaleConnection => &mut counters.stale_connection,
        Outcome::Cancelled => &mut counters.cancelled,
        Outcome::NotSent | Outcome::AttemptsExhausted => &mut counters.not_sent,
    };
    *counter += 1;
}

/// Marks an attempt as proven never to have run. Returns false if it was already marked or has no record.
pub(super) fn mark_never_ran(message: &mut StoredMessage, attempt: usize) -> bool {
    match message.record.attempts.get_mut(attempt) {
        Some(record) if !record.never_ran => {
            record.never_ran = true;
            true
        }
        _ => false,
    }
}

/// Returns whether an endpoint's answer can still close the message. A success also closes a message that was given up
/// in the same round, if its status report has not been sent yet: this withdraws the report.
fn prepare_to_close(
    message: &StoredMessage,
    outcome: Outcome,
    status_reporter: &mut StatusReporter,
) -> bool {
    match message.state {
        MessageState::Open | MessageState::Unsettled => true,
        MessageState::Reporting => {
            outcome == Outcome::Success && status_reporter.withdraw(message.record.number)
        }
        MessageState::Closed => false,
    }
}

/// Ends a message by a response that is not settled yet.
fn end_unsettled(result: &AttemptResult, store: &mut MessageStore) {
    let number = result.id.0;
    let Some(message) = store.messages.get_mut(&number) else {
        return;
    };
    message.unsettled_ends.push(UnsettledEnd {
        attempt: result.attempt,
        gone: result.message_finished,
    });
    match message.state {
        MessageState::Open => store.advance(number, MessageState::Unsettled),
        MessageState::Closed => store.remove_if_finished(number),
        MessageState::Unsettled | MessageState::Reporting => {}
    }
}

/// Gives up a message whose endpoint answered just before or after the deadline. The platform may not count this as a
/// delivery, so a status report is sent; if the platform has counted the delivery, the report changes nothing.
fn end_by_late_success(
    id: MessageId,
    store: &mut MessageStore,
    status_reporter: &mut StatusReporter,
) {
    store.counters.late_successes += 1;
    debug!(number = id.0, "success too late to count");
    give_up(id, FinalStatus::Undeliverable, store, status_reporter);
    store.remove_if_finished(id.0);
}

/// Closes a message after an endpoint's answer: it is delivered, or it is `gone` (status 410).
pub(super) fn close_message(number: u64, gone: bool, store: &mut MessageStore) {
    let mut class = None;
    if let Some(message) = store.messages.get_mut(&number) {
        // The message may have been given up in this round and its report withdrawn.
        message.record.final_status = None;
        class = Some(message.record.class.clone());
    }
    if gone {
        store.counters.gone += 1;
    }
    if let Some(class) = class {
        if gone {
            store.class_metrics.count_errored(&class);
        } else {
            store.class_metrics.count_answered(&class);
        }
    }
    store.advance(number, MessageState::Closed);
}

/// Gives up a message that is open or unsettled: it ends as undelivered, and its status report is queued.
pub(super) fn give_up(
    id: MessageId,
    status: FinalStatus,
    store: &mut MessageStore,
    status_reporter: &mut StatusReporter,
) {
    let number = id.0;
    let Some(message) = store.messages.get_mut(&number) else {
        return;
    };
    if !matches!(message.state, MessageState::Open | MessageState::Unsettled) {
        return;
    }
    message.record.final_status = Some(status);
    if std::mem::take(&mut message.unattempted) {
        store.counters.unattempted_ended += 1;
    }
    debug!(
        number,
        destination = message.record.destination,
        ?status,
        "message given up"
    );
    store.wal.append_final_status(number, status);
    status_reporter.enqueue(&message.record);
    store.advance(number, MessageState::Reporting);
}

/// Closes a message whose status report the platform has confirmed.
pub(super) fn confirm_report(number: u64, store: &mut MessageStore) {
    debug!(number, "status report confirmed");
    if let Some(message) = store.messages.get(&number)
        && !message.end_counted
    {
        let class = &message.record.class;
        match message.record.final_status {
            Some(FinalStatus::Deferred(_)) => store.class_metrics.count_deferred(class),
            _ => store.class_metrics.count_errored(class),
        }
    }
    store.advance(number, MessageState::Closed);
}

/// Compacts the write-ahead log if it has grown enough.
pub(super) fn compact_log(store: &mut MessageStore, now: Millis) {
    if !store.wal.needs_compaction(now) {
        return;
    }
    let unfinished = store
        .messages
        .values()
        .filter(|message| message.state != MessageState::Closed)
        .map(|message| &message.record);
    if !store.wal.compact(unfinished) {
        store.wal.start_compaction_backoff(now);
    }
}
