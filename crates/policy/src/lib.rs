//! Decisions of an outbound HTTP gateway: dispatch, hedged requests, retries, pacing, backoff, circuit
//! breaking, slow start after an outage, in-flight limits and load shedding.
//!
//! If an idempotent message, or one with an idempotency key, has no response after its destination's p95
//! latency, one hedged request is sent, preferably to another endpoint, and the first success counts.
//!
//! The crate has no clock, network or threads. A sender calls [`Policy::turn`] with the events since the last
//! turn, in the order in which they happened, and carries out the returned actions in their order.
//!
//! # Event loop of a sender
//!
//! ```
//! use martenlatch_policy::Policy;
//! use martenlatch_policy::interface::*;
//!
//! let second = 1_000_000_000;
//! let settings = Settings {
//!     senders: 1,
//!     zone: ZoneId(0),
//!     zone_prices: vec![0.0],
//!     kinds: vec![DestinationKind { per_endpoint: false }],
//!     classes: vec![MessageClass {
//!         latency_objective: second,
//!         deadline: 8 * second,
//!         priority_weight: 1.0,
//!         late_weight_share: 0.1,
//!         idempotency: Idempotency::Idempotent,
//!         ordered: false,
//!     }],
//!     decay: Decay::Halving,
//!     weight_meaning: EndpointWeights::Ignored,
//!     max_in_flight: 4,
//!     max_open_messages: 100,
//!     max_attempts: 4,
//!     may_cancel: true,
//!     may_hedge: true,
//!     idle_timeout: 15_000_000_000,
//!     max_retry_after: None,
//!     recovery: RecoveryRamp {
//!         overload_factor: 2.0,
//!         overload_window: 2 * second,
//!         initial_share: 0.2,
//!         duration: 10 * second,
//!     },
//!     key_quiet_period: 0,
//!     connect_timeout: second,
//!     turn_interval: 5_000_000,
//!     cross_zone_price: 0.0,
//!     handshake_price: 0.0,
//! };
//! let mut policy = Policy::new(settings, 7)?;
//!
//! // One turn with all events so far: the endpoint list and a message.
//! let now = 1_000;
//! let entry = EndpointEntry {
//!     endpoint: EndpointId(0),
//!     zone: ZoneId(0),
//!     kind: KindId(0),
//!     destination: DestinationId(9),
//!     state: EndpointState::Active,
//!     weight: 1.0,
//! };
//! let message = Event::MessageAccepted {
//!     id: MessageId(0),
//!     destination: DestinationId(9),
//!     class: ClassId(0),
//!     deadline: now + 8 * second,
//!     key: None,
//! };
//! let mut actions = Vec::new();
//! policy.turn(now, &[Event::EndpointList(vec![entry]), message], &mut actions);
//!
//! // Carry out the actions in their order.
//! let mut sent = 0;
//! for action in &actions {
//!     match action {
//!         Action::Send { id, endpoint, timeout, .. } => {
//!             assert_eq!((*id, *endpoint), (MessageId(0), EndpointId(0)));
//!             assert!(*timeout <= 8 * second);
//!             sent += 1; // call the endpoint, and report the outcome with `Event::AttemptEnded`
//!         }
//!         Action::WakeAfter(_) => {} // start a timer, and run a turn with `Event::Wake` when it expires
//!         _ => {}
//!     }
//! }
//! assert_eq!(sent, 1);
//!
//! // Later the endpoint responds. The first success finishes the message.
//! let ended = Event::AttemptEnded {
//!     id: MessageId(0),
//!     attempt: 0,
//!     outcome: Outcome::Success,
//!     took: second / 4,
//!     finished: true,
//! };
//! actions.clear();
//! policy.turn(now + second / 4, &[ended], &mut actions);
//! assert!(!actions.iter().any(|a| matches!(a, Action::Send { .. })));
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! # Requirements on the caller
//!
//! * Each [`Action::Send`] ends in exactly one [`Event::AttemptEnded`]. The attempts of a message are
//!   numbered from 0 in the order of the sends. The first success finishes the message: set `finished` in its
//!   event.
//! * [`Action::Reject`] and [`Action::Fail`] are the final answer to the client. Attempts that are still in
//!   flight are reported as usual when they end, with `finished` set.
//! * After a restart, a sender first reports the endpoint list and then, with [`Event::MessageResumed`], the
//!   messages that it had accepted and not finished. At a graceful shutdown it reports the deadline with
//!   [`Event::ShutdownDeadline`].
//! * [`Action::WakeAfter`] asks for one later turn with [`interface::Event::Wake`], and replaces all earlier
//!   requests. A turn may also run at any other time.
//! * Events about unknown or finished messages, attempts or endpoints, and repeated outcomes, are ignored.
//!
//! [`Action::Send`]: interface::Action::Send
//! [`Event::AttemptEnded`]: interface::Event::AttemptEnded
//! [`Event::MessageResumed`]: interface::Event::MessageResumed
//! [`Event::ShutdownDeadline`]: interface::Event::ShutdownDeadline
//! [`Action::Reject`]: interface::Action::Reject
//! [`Action::Fail`]: interface::Action::Fail
//! [`Action::WakeAfter`]: interface::Action::WakeAfter
#![warn(missing_docs)]

mod collections;
pub mod interface;
mod policy;

pub use policy::Policy;
