//! Experiments: the world, the load, the failures and the variants that an experiment's file describes, checked and
//! with the defaults filled in. The fields are described in the schema of experiments; times are in milliseconds
//! here.

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

/// The name of an experiment whose file has none.
const NAMELESS: &str = "experiment";

/// A checked experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Its file's name without the ending.
    pub name: String,
    /// What it is meant to show.
    pub about: String,
    /// How long messages are submitted.
    pub length: Millis,
    /// The first seed.
    pub seed: u64,
    /// How many seeds every variant runs with.
    pub repeats: u32,
    /// Partners, senders and what is between them.
    pub world: World,
    /// What clients do.
    pub load: Load,
    /// What goes wrong.
    pub failures: Vec<Failure>,
    /// What is compared; the first is what the others are compared with.
    pub variants: Vec<Variant>,
}

/// Partners, senders and what is between them.
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
    /// Partners close connections that have been idle for so long.
    pub idle_timeout: Millis,
    /// Connections that an endpoint takes.
    pub connections_per_endpoint: u32,
    /// Lateness of the endpoint list, in milliseconds.
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
    /// How strongly it leans to the partners with the most traffic.
    pub traffic_lean: f64,
    /// The form of its rate limit.
    pub rate_limit: RateLimitKind,
    /// Its limit is so many times its rate at full load ...
    pub headroom: Span,
    /// ... and at least so many calls a second.
    pub least_rate: Span,
    /// Length of the window of its limit.
    pub limit_window: Millis,
    /// Rejected calls count against the limit too.
    pub rejections_count: bool,
    /// Share of the rejections that give a Retry-After.
    pub retry_after_share: f64,
    /// The Retry-After of a rate limit, in milliseconds.
    pub retry_after: Span,
    /// Its service times are so many times the class's.
    pub service_time_factor: Span,
    /// Calls that may queue at an endpoint, for each core.
    pub queue_per_core: Span,
    /// Share of its capacity that it has right after an outage.
    pub initial_share: f64,
    /// How long it takes to warm up.
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
    /// How long partners remember an idempotency key.
    pub idempotency_window: Millis,
    /// The latency objective.
    pub latency_objective: Millis,
    /// Time until a message is late for good.
    pub deadline: Millis,
    /// The least worth of a message that is delivered by its deadline.
    pub late_weight_share: f64,
}

impl Class {
    /// Worth of a message delivered so long after it was first submitted: one within the latency objective, then half
    /// as much with each further objective, at least the late worth, and nothing after the deadline.
    pub fn worth(&self, after: Millis) -> f64 {
        if after > self.deadline {
            return 0.0;
        }
        let objectives_late = ((after - self.latency_objective) / self.latency_objective).max(0.0);
        0.5f64.powf(objectives_late).max(self.late_weight_share)
    }
}

/// What clients do.
#[derive(Clone, Debug)]
pub struct Load {
    /// Share of the full load.
    pub level: f64,
    /// Share of the messages that come in clumps.
    pub clump_share: f64,
    /// A clump has the messages of so many seconds of its partner's full rate.
    pub clump_seconds: Span,
    /// Relative amplitude of a slow swing of the load.
    pub swing: f64,
    /// Period of that swing.
    pub swing_period: Millis,
    /// How often a client retries a message.
    pub retries: u32,
    /// A client's backoff, in milliseconds.
    pub backoff: Span,
}

/// One thing that goes wrong.
#[derive(Clone, Debug)]
pub struct Failure {
    /// What.
    pub kind: FailureKind,
    /// When it begins, from the start of the run.
    pub start: Millis,
    /// When it ends, from the start of the run.
    pub end: Millis,
    /// Its size: a factor or a time, depending on what it is.
    pub size: f64,
    /// The share that is hit.
    pub share: f64,
    /// Time between two repetitions.
    pub repeat_interval: Millis,
    /// The partners that are hit, by their rank by traffic.
    pub partner_ranks: Vec<u32>,
    /// The busiest partners with this share of the traffic are hit.
    pub traffic_share: Option<f64>,
    /// The sender that is hit.
    pub sender: u32,
    /// A replacement takes the address of the endpoint that it replaces.
    pub reuse_address: bool,
}

/// What is compared.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// Attempts that a sender may have in flight.
    pub max_in_flight: Option<usize>,
    /// Messages that a sender may hold.
    pub max_held: Option<usize>,
    /// Attempts that a message may have.
    pub max_attempts: u32,
    /// Whether requests may be hedged.
    pub may_hedge: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// The program that is run on sockets; none: the workspace's own.
    pub program: Option<PathBuf>,
    /// A settings file for that program.
    pub settings_file: Option<PathBuf>,
    /// A sender that starts receives the gossip of those that run.
    pub receives_gossip: bool,
    /// How old that gossip is, in simulated time.
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
    /// When the last message that can come has its deadline, in milliseconds from the start of a run.
    pub fn last_deadline(&self) -> Millis {
        let deadlines = self.world.classes.iter().map(|class| class.deadline);
        self.length + deadlines.fold(0.0, f64::max)
    }

    /// Reads an experiment's file.
    ///
    /// # Errors
    /// One line that names the file, and the line and the field where it is the text that is wrong.
    pub fn open(file: &Path) -> Result<Experiment, LabError> {
        let text = std::fs::read_to_string(file).map_err(LabError::file(file))?;
        let name = file
            .file_stem()
            .map_or(NAMELESS.into(), |stem| stem.to_string_lossy());
        let experiment = Experiment::read(&name, &file.display().to_string(), &text)?;
        Ok(experiment)
    }

    /// Reads an experiment's text; `file` names it in errors.
    ///
    /// # Errors
    /// The first fault of form or of bounds.
    pub fn read(name: &str, file: &str, text: &str) -> Result<Experiment, FieldError> {
        reader::read(name, file, text)
    }

    /// When a sender starts that is not there from the beginning.
    pub fn join_time(&self, sender: u32) -> Option<Millis> {
        self.failures
            .iter()
            .find(|failure| failure.kind == FailureKind::Join && failure.sender == sender)
            .map(|failure| failure.start)
    }

    /// The work of a class's messages; its mean is drawn once for a world.
    pub fn work_distribution(&self, seed: u64, class: u32) -> WorkDistribution {
        let drawn = &self.world.classes[class as usize];
        let mut rng = rng_for(seed, Stream::Work, u64::MAX, class.into());
        WorkDistribution {
            mean: uniform(&mut rng, drawn.work),
            variation: drawn.work_variation,
        }
    }
}
