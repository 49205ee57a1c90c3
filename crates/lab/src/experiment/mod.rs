//! Experiments: the world, the load, the failures and the variants of an experiment file, checked and with defaults
//! filled in. `proto/experiment.proto` describes the fields of the file. Times are in milliseconds here.

mod defaults;
mod failure_reader;
mod reader;
mod rules;
mod section;

use std::path::{Path, PathBuf};

use martenlatch_clock::Millis;
use martenlatch_settings::schema::experiment as schema;
use martenlatch_settings::text::FieldError;

use crate::error::LabError;
use crate::sampling::{Stream, rng_for, uniform};

pub use crate::sampling::Span;
pub use schema::class::Effect;
pub use schema::failure::What as FailureKind;
pub use schema::kind::Limit as RateLimitKind;

/// The name of an experiment whose file has no name.
const DEFAULT_NAME: &str = "experiment";

/// A checked experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The name of its file without the extension.
    pub name: String,
    /// The purpose of the experiment, in a sentence.
    pub about: String,
    /// How long clients submit messages.
    pub length: Millis,
    /// The first seed.
    pub seed: u64,
    /// Number of seeds with which each variant runs.
    pub repeats: u32,
    /// The partners, the senders and the network between them.
    pub world: World,
    /// The messages that clients submit.
    pub load: Load,
    /// The failures that occur during a run.
    pub failures: Vec<Failure>,
    /// The variants that are compared. The first one is the base of the comparison.
    pub variants: Vec<Variant>,
}

/// The partners, the senders and the network between them.
#[derive(Clone, Debug)]
pub struct World {
    /// Number of senders.
    pub senders: u32,
    /// Number of partners.
    pub partners: u32,
    /// Mean number of endpoints of a partner.
    pub mean_endpoints: f64,
    /// Exponent of the Zipf distribution of traffic over partners.
    pub zipf_exponent: f64,
    /// Messages a second over all senders at full load.
    pub full_rate: f64,
    /// One-way latency between two machines, in milliseconds.
    pub latency: Span,
    /// Partners close connections that have been idle for this long.
    pub idle_timeout: Millis,
    /// The most connections that an endpoint accepts.
    pub connections_per_endpoint: u32,
    /// Delay with which a change to the endpoint list reaches a sender, in milliseconds.
    pub list_lateness: Span,
    /// The kinds of partner.
    pub kinds: Vec<Kind>,
    /// The classes of message.
    pub classes: Vec<Class>,
}

/// A kind of partner.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its share of the partners, relative to the other kinds.
    pub share: f64,
    /// Shift of its partners in the ranking by traffic. Higher values mean more traffic.
    pub traffic_lean: f64,
    /// How its partners limit the rate of calls.
    pub rate_limit: RateLimitKind,
    /// Rate limit as a multiple of the partner's rate of calls at full load.
    pub headroom: Span,
    /// Lower bound of the rate limit, in calls a second.
    pub least_rate: Span,
    /// Length of the window of the rate limit.
    pub limit_window: Millis,
    /// Whether rejected calls count against the rate limit as well.
    pub rejections_count: bool,
    /// Share of the rejections that give a Retry-After.
    pub retry_after_share: f64,
    /// The Retry-After that a partner with limit `RATE` gives, in milliseconds.
    pub retry_after: Span,
    /// Service times as a multiple of those of the message class.
    pub service_time_factor: Span,
    /// The most calls that queue at an endpoint, for each of its cores.
    pub queue_per_core: Span,
    /// Share of the capacity that is available right after an outage.
    pub initial_share: f64,
    /// Time from the end of an outage until the whole capacity is available.
    pub warm_up: Millis,
    /// Share of the calls that fail.
    pub error_share: f64,
}

/// A class of message.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the messages, relative to the other classes.
    pub share: f64,
    /// Range of the mean work, in milliseconds.
    pub work: Span,
    /// Coefficient of variation of the work.
    pub work_variation: f64,
    /// Whether a message may be repeated.
    pub effect: Effect,
    /// How long partners remember an idempotency key, for the effect `KEYED`.
    pub idempotency_window: Millis,
    /// The latency objective.
    pub latency_objective: Millis,
    /// Time from the first submission of a message to its deadline.
    pub deadline: Millis,
    /// The least worth of a message that is delivered by its deadline, as a share of its full worth.
    pub late_weight_share: f64,
}

impl Class {
    /// Worth of a message that is delivered `latency` after its first submission: 1 within the latency objective, then
    /// half as much for each further objective but at least `late_weight_share`, and 0 after the deadline.
    pub fn worth(&self, latency: Millis) -> f64 {
        if latency > self.deadline {
            return 0.0;
        }
        let objectives_late =
            ((latency - self.latency_objective) / self.latency_objective).max(0.0);
        0.5f64.powf(objectives_late).max(self.late_weight_share)
    }
}

/// The messages that clients submit, and how clients retry them.
#[derive(Clone, Debug)]
pub struct Load {
    /// Load as a share of the full load.
    pub level: f64,
    /// Share of the messages that are submitted in clumps, which are bursts for one partner.
    pub clump_share: f64,
    /// Size of a clump, as the number of seconds in which its partner gets as many messages at its full rate.
    pub clump_seconds: Span,
    /// Relative amplitude of a slow periodic variation of the load.
    pub swing: f64,
    /// Period of that variation.
    pub swing_period: Millis,
    /// How many times a client retries a message.
    pub retries: u32,
    /// A client's backoff, in milliseconds.
    pub backoff: Span,
}

/// A failure during a run.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The kind of failure.
    pub kind: FailureKind,
    /// When it begins, from the start of the run.
    pub start: Millis,
    /// When it ends, from the start of the run.
    pub end: Millis,
    /// Its size: a factor or a time in milliseconds, depending on the kind.
    pub size: f64,
    /// The share of calls or answers that is affected, for kinds that affect only a part.
    pub share: f64,
    /// Time between two repetitions.
    pub repeat_interval: Millis,
    /// The affected partners, as ranks by traffic from 0.
    pub partner_ranks: Vec<u32>,
    /// If given, the busiest partners are affected in addition to `partner_ranks`: those that together have up to this
    /// share of the traffic, and at least one.
    pub traffic_share: Option<f64>,
    /// The affected sender.
    pub sender: u32,
    /// Whether a new endpoint takes the address of a retired one, in runs on sockets.
    pub reuse_address: bool,
}

/// One way to run the senders. Variants are compared with each other.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// The most attempts that a sender may have in flight.
    pub max_in_flight: Option<usize>,
    /// The most messages that a sender may hold.
    pub max_held: Option<usize>,
    /// The most attempts for a message.
    pub max_attempts: u32,
    /// Whether requests may be hedged.
    pub may_hedge: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// The sender's program in runs on sockets; `None` for the program next to the laboratory's.
    pub program: Option<PathBuf>,
    /// The settings file of the program.
    pub settings_file: Option<PathBuf>,
    /// Whether a sender that starts receives the gossip of the running ones.
    pub receives_gossip: bool,
    /// Age of that gossip, in simulated time.
    pub gossip_age: Millis,
}

/// The distribution of the work of a class's messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkDistribution {
    /// The mean, in milliseconds.
    pub mean: Millis,
    /// The coefficient of variation.
    pub variation: f64,
}

impl Experiment {
    /// The latest deadline that a message can have, in milliseconds from the start of a run.
    pub fn last_deadline(&self) -> Millis {
        let deadlines = self.world.classes.iter().map(|class| class.deadline);
        self.length + deadlines.fold(0.0, f64::max)
    }

    /// Reads an experiment's file.
    ///
    /// # Errors
    /// If the file cannot be read, or its text is invalid. The error in a text names the file, the line and the field.
    pub fn open(file: &Path) -> Result<Experiment, LabError> {
        let text = std::fs::read_to_string(file).map_err(LabError::file(file))?;
        let name = file
            .file_stem()
            .map_or(DEFAULT_NAME.into(), |stem| stem.to_string_lossy());
        let experiment = Experiment::read(&name, &file.display().to_string(), &text)?;
        Ok(experiment)
    }

    /// Reads an experiment's text. `file_name` names the file in errors.
    ///
    /// # Errors
    /// The first error of syntax or of bounds.
    pub fn read(name: &str, file_name: &str, text: &str) -> Result<Experiment, FieldError> {
        reader::read(name, file_name, text)
    }

    /// When a sender joins; `None` if it is started before the run begins.
    pub fn join_time(&self, sender: u32) -> Option<Millis> {
        self.failures
            .iter()
            .find(|failure| failure.kind == FailureKind::Join && failure.sender == sender)
            .map(|failure| failure.start)
    }

    /// The distribution of the work of a class's messages. Its mean is drawn once for each seed.
    pub fn work_distribution(&self, seed: u64, class: u32) -> WorkDistribution {
        let class_settings = &self.world.classes[class as usize];
        let mut rng = rng_for(seed, Stream::Work, u64::MAX, class.into());
        WorkDistribution {
            mean: uniform(&mut rng, class_settings.work),
            variation: class_settings.work_variation,
        }
    }
}
