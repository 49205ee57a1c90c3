//! Records and counts the ends of attempts and messages, and creates the events for the decision module.

use martenlatch_clock::{Millis, nanos};
use martenlatch_policy::interface::{Event, MessageId, Outcome};
use martenlatch_wal::FinalStatus;
use tracing::{debug, info};

use super::conclusion::{Conclusion, conclude};
use super::message_store::{MessageState, MessageStore, StoredMessage};
use super::status_reports::StatusReporter;
use crate::counters::Counters;
use crate::egress::{AttemptResult, Evidence, MessageGone};

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
    note_evidence(result, store);
    let in_time = read_by < store.record(number)?.deadline - LATE_SUCCESS_GUARD;
    match conclude(result, in_time) {
        Conclusion::Undecided => {}
        Conclusion::Delivered => end_by_success(number, store, status_reporter),
        Conclusion::HeldUntilSettled => hold_until_settled(result, store),
        Conclusion::Gone => end_as_gone(number, store),
        Conclusion::Reported => end_by_report(result, store, status_reporter),
    }
    store.remove_if_finished(number);
    Some(Event::AttemptEnded {
        id: result.id,
        attempt: result.attempt,
        outcome: result.outcome,
        took: nanos(result.took),
        finished: !store.is_open(number),
    })
}

/// Records what a result proves about its attempt.
fn note_evidence(result: &AttemptResult, store: &mut MessageStore) {
    let number = result.id.0;
    let Some(message) = store.messages.get_mut(&number) else {
        return;
    };
    let is_certain = result.evidence == Evidence::Certain;
    if !is_certain {
        store.counters.uncertain_responses += 1;
    }
    if !result.outcome.never_ran() {
        return;
    }
    if !is_certain {
        message.unsettled_rejections.push(result.attempt);
    } else if mark_never_ran(message, result.attempt as usize) {
        store.wal.append_never_ran(number, result.attempt as usize);
    }
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

/// Ends a message by a success. This also closes a message that was given up in the same round, if its status report has
/// not been sent yet: the report is withdrawn.
fn end_by_success(number: u64, store: &mut MessageStore, status_reporter: &mut StatusReporter) {
    let Some(message) = store.messages.get(&number) else {
        return;
    };
    let can_be_closed = match message.state {
        MessageState::Open | MessageState::Unsettled => true,
        MessageState::Reporting => status_reporter.withdraw(number),
        MessageState::Closed => false,
    };
    if can_be_closed {
        close_delivered(number, store);
    }
}

/// Holds a message until it is known whether the success belongs to it.
fn hold_until_settled(result: &AttemptResult, store: &mut MessageStore) {
    let number = result.id.0;
    let Some(message) = store.messages.get_mut(&number) else {
        return;
    };
    message.unsettled_successes.push(result.attempt);
    if message.state == MessageState::Open {
        store.advance(number, MessageState::Unsettled);
    }
}

/// Closes a message that is over by an endpoint's word: nothing is owed.
fn end_as_gone(number: u64, store: &mut MessageStore) {
    let Some(message) = store.messages.get(&number) else {
        return;
    };
    if !matches!(message.state, MessageState::Open | MessageState::Unsettled) {
        return;
    }
    store.counters.gone += 1;
    store.class_metrics.count_errored(&message.record.class);
    store.advance(number, MessageState::Closed);
}

/// Ends a message that may be over, or whose endpoint answered just before or after the deadline, so that the platform may
/// not count this as a delivery. If the message was over or delivered before, the report changes nothing.
fn end_by_report(
    result: &AttemptResult,
    store: &mut MessageStore,
    status_reporter: &mut StatusReporter,
) {
    let number = result.id.0;
    if result.gone == MessageGone::Possibly {
        store.counters.possibly_gone += 1;
        info!(
            number,
            attempt = result.attempt,
            "message may be over, reported and not sent again"
        );
    } else {
        store.counters.late_successes += 1;
        debug!(number, "success too late to count");
    }
    give_up(
        result.id,
        FinalStatus::Undeliverable,
        store,
        status_reporter,
    );
}

/// Closes a message that an endpoint has answered with a success.
pub(super) fn close_delivered(number: u64, store: &mut MessageStore) {
    if let Some(message) = store.messages.get_mut(&number) {
        // The message may have been given up in this round and its report withdrawn.
        message.record.final_status = None;
        store.class_metrics.count_answered(&message.record.class);
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
