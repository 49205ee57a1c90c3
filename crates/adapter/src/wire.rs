//! The wire: batches of event lines in, one reply of action lines out for each.

use martenlatch_policy::Policy;
use martenlatch_policy::interface::*;
use martenlatch_settings::platform::{self as settings, Boot};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Reads batches to the end of the input and answers each at once. The error is one plain line.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut adapter = Adapter::default();
    for (number, line) in input.lines().enumerate() {
        let line = line.map_err(|e| format!("line {}: not readable: {e}", number + 1))?;
        let reply = adapter.line(line.trim_end_matches('\r'));
        let reply = reply.map_err(|e| format!("line {}: {e}: {}", number + 1, shorten(&line)))?;
        if let Some(reply) = reply {
            let sent = output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush());
            sent.map_err(|e| format!("cannot write the reply: {e}"))?;
        }
    }
    if adapter.batch.is_some() {
        Err("the input ended inside a batch: expected end".into())
    } else {
        Ok(())
    }
}

fn shorten(line: &str) -> String {
    line.chars().take(120).collect()
}

/// The values of one line, in their order.
struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    fn next(&mut self, name: &str) -> Result<&'a str, String> {
        let rest = self.rest.ok_or_else(|| format!("expected {name}"))?;
        let (value, rest) = match rest.split_once(' ') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if value.is_empty() {
            Err(format!("expected {name}"))
        } else {
            Ok(value)
        }
    }
    fn opt(&mut self) -> Option<&'a str> {
        self.next("").ok().filter(|v| *v != "-")
    }
    fn num<T: std::str::FromStr>(&mut self, name: &str) -> Result<T, String> {
        self.next(name)?
            .parse()
            .map_err(|_| format!("expected a number for {name}"))
    }
    fn text(&mut self, name: &str) -> Result<&'a str, String> {
        self.rest.take().ok_or_else(|| format!("expected {name}"))
    }
}

/// One entry of a list, still in the names of the wire.
#[derive(Clone)]
struct Listed {
    receiver: String,
    zone: String,
    kind: String,
    owner: u64,
    stage: EndpointState,
    weight: f64,
}

#[derive(Default)]
struct Adapter {
    batch: Option<(Nanos, String)>,
    sheets: BTreeMap<u64, Vec<Listed>>,
    /// The list being read, and how many of its entries are still to come.
    open_sheet: Option<(u64, usize)>,
    senders: BTreeMap<u64, Sender>,
}

/// One instance: its policy, and the names behind its small integers.
struct Sender {
    policy: Policy,
    boot: Boot,
    events: Vec<Event>,
    receivers: Vec<String>,
    receiver_ids: HashMap<String, EndpointId>,
    messages: BTreeMap<u64, Held>,
    message_ids: HashMap<String, MessageId>,
    next_message: u64,
}

struct Held {
    name: String,
    finished: bool,
    out: u32,
}

impl Adapter {
    fn line(&mut self, line: &str) -> Result<Option<String>, String> {
        let mut fields = Fields { rest: Some(line) };
        if let Some((sheet, left)) = self.open_sheet {
            self.entry(sheet, &mut fields)?;
            self.open_sheet = (left > 1).then_some((sheet, left - 1));
            return Ok(None);
        }
        if self.batch.is_none() {
            if line.is_empty() {
                return Ok(None);
            }
            if fields.next("frame")? != "frame" {
                return Err("expected frame".into());
            }
            self.batch = Some((
                fields.num("the clock")?,
                fields.next("the batch's number")?.to_string(),
            ));
            return Ok(None);
        }
        match fields.next("an event or end")? {
            "end" => {
                return Ok(self
                    .batch
                    .take()
                    .map(|(now, number)| self.reply(now, &number)));
            }
            "inventory" => {
                let (sheet, count): (u64, usize) = (fields.num("Sheet")?, fields.num("Records")?);
                self.sheets.insert(sheet, Vec::new());
                self.open_sheet = (count > 0).then_some((sheet, count));
            }
            "open_instance" => {
                let (who, seed): (u64, u64) = (fields.num("Who")?, fields.num("Seed")?);
                self.senders
                    .insert(who, Sender::open(fields.text("BootInfo")?, seed)?);
            }
            "exit" => {
                self.senders.remove(&fields.num("Who")?);
            }
            "announce" => {
                let (who, sheet): (u64, &str) = (fields.num("Who")?, fields.next("Sheet")?);
                let mode = fields.next("Mode")?;
                let sender = self
                    .senders
                    .get_mut(&who)
                    .ok_or("no such instance was opened")?;
                // The old list holds.
                if mode == "failed" {
                    return Ok(None);
                }
                let sheet: u64 = sheet.parse().map_err(|_| "expected a number for Sheet")?;
                let listed = self
                    .sheets
                    .get(&sheet)
                    .ok_or("no inventory has this Sheet")?;
                let entries = listed
                    .iter()
                    .map(|l| sender.entry(l))
                    .collect::<Result<_, _>>()?;
                sender.events.push(match mode {
                    "delta" => Event::EndpointChanges(entries),
                    "full" | "cached" => Event::EndpointList(entries),
                    _ => return Err("expected delta, full, cached or failed for Mode".into()),
                });
            }
            name => {
                let who: u64 = fields.num("Who")?;
                let sender = self
                    .senders
                    .get_mut(&who)
                    .ok_or("no such instance was opened")?;
                sender.event(name, &mut fields)?;
            }
        }
        Ok(None)
    }

    fn entry(&mut self, sheet: u64, fields: &mut Fields) -> Result<(), String> {
        if fields.next("entry")? != "entry" {
            return Err("expected entry".into());
        }
        let listed = Listed {
            receiver: fields.next("Receiver")?.to_string(),
            zone: fields.next("RegionPart")?.to_string(),
            kind: fields.next("ClassOfHost")?.to_string(),
            owner: fields.num("OwnerNo")?,
            stage: match fields.next("StageState")? {
                "on" => EndpointState::Active,
                "fading" => EndpointState::Draining,
                "off" => EndpointState::Removed,
                _ => return Err("expected on, fading or off for StageState".into()),
            },
            weight: fields
                .opt()
                .map_or(Ok(1.0), str::parse)
                .map_err(|_| "expected a number for Heft")?,
        };
        self.sheets.entry(sheet).or_default().push(listed);
        Ok(())
    }

    fn reply(&mut self, now: Nanos, number: &str) -> String {
        let mut out = String::new();
        for (who, sender) in &mut self.senders {
            if !sender.events.is_empty() {
                sender.turn(now, *who, &mut out);
            }
        }
        let _ = writeln!(out, "eor {number}");
        out
    }
}

fn place<T>(names: &[String], name: &str, make: fn(usize) -> T, what: &str) -> Result<T, String> {
    let at = names.iter().position(|n| n == name);
    at.map(make)
        .ok_or_else(|| format!("the settings name no {what} {name:?}"))
}

fn outcome(reason: &str, note: Option<&str>) -> Result<Outcome, String> {
    Ok(match reason {
        "success" => Outcome::Success,
        "failure" => Outcome::Failure,
        "overloaded" => {
            let told: u64 = note
                .map_or(Ok(0), str::parse)
                .map_err(|_| "expected a number for WaitMs")?;
            Outcome::Overloaded {
                retry_after: told.saturating_mul(1_000_000),
            }
        }
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::ConnectionLost,
        "withdrawn" => Outcome::Cancelled,
        "void" => Outcome::NotSent,
        _ => return Err("expected an outcome for Reason".into()),
    })
}

fn bit(text: &str) -> Result<bool, String> {
    match text {
        "1" => Ok(true),
        "0" => Ok(false),
        _ => Err("expected 1 or 0 for Closed".into()),
    }
}

impl Sender {
    fn open(boot: &str, seed: u64) -> Result<Sender, String> {
        let boot = settings::read(boot)?;
        if boot.asked {
            return Err(
                "setting RegistryMode should be push: nothing here asks for the list".into(),
            );
        }
        let policy = Policy::new(boot.settings.clone(), seed).map_err(|e| e.to_string())?;
        Ok(Sender {
            policy,
            boot,
            events: Vec::new(),
            receivers: Vec::new(),
            receiver_ids: HashMap::new(),
            messages: BTreeMap::new(),
            message_ids: HashMap::new(),
            next_message: 0,
        })
    }

    fn entry(&mut self, listed: &Listed) -> Result<EndpointEntry, String> {
        Ok(EndpointEntry {
            endpoint: self.receiver(&listed.receiver),
            zone: place(&self.boot.zones, &listed.zone, ZoneId, "zone")?,
            kind: place(&self.boot.kinds, &listed.kind, KindId, "kind")?,
            destination: DestinationId(listed.owner),
            stage: listed.stage,
            weight: listed.weight,
        })
    }

    fn receiver(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.receiver_ids.get(name) {
            return *id;
        }
        let id = EndpointId(self.receivers.len() as u32);
        self.receivers.push(name.to_string());
        self.receiver_ids.insert(name.to_string(), id);
        id
    }

    fn event(&mut self, name: &str, fields: &mut Fields) -> Result<(), String> {
        match name {
            "new_request" => self.request(fields)?,
            "finished" => self.finished(fields)?,
            "reminder" => self.events.push(Event::Wake),
            "client_left" => {
                let known = self.message_ids.get(fields.next("Rid")?).copied();
                if let Some(id) = known {
                    self.events.push(Event::ClientLeft(id));
                    self.settle(id, true, 0);
                }
            }
            // Answers are whole here: the start of one says nothing yet.
            "headers" => {
                fields.next("Rid")?;
                fields.next("CostTime")?;
                fields.next("Receiver")?;
                fields.num::<u32>("Trial")?;
            }
            // The policy never probes, so this answers nothing; a malformed one is named all the same.
            "pong" => {
                fields.next("CostTime")?;
                outcome(fields.next("Reason")?, None)?;
                fields.next("Receiver")?;
            }
            // Senders of this project share nothing: what a peer says is not heard.
            "peer" => {}
            _ => return Err("expected an event".into()),
        }
        Ok(())
    }

    fn request(&mut self, fields: &mut Fields) -> Result<(), String> {
        let name = fields.next("Rid")?;
        fields.next("Predicted")?;
        let destination = DestinationId(fields.num("Destination")?);
        fields.next("Attrs")?;
        fields.next("Org")?;
        let class = place(&self.boot.classes, fields.next("Qos")?, ClassId, "class")?;
        let deadline = fields.num("Deadline")?;
        let id = MessageId(self.next_message);
        self.next_message += 1;
        self.message_ids.insert(name.to_string(), id);
        self.messages.insert(
            id.0,
            Held {
                name: name.to_string(),
                finished: false,
                out: 0,
            },
        );
        let key = fields.opt().map(key_id);
        self.events.push(Event::MessageAccepted {
            id,
            destination,
            class,
            deadline,
            key,
        });
        Ok(())
    }

    fn finished(&mut self, fields: &mut Fields) -> Result<(), String> {
        let known = self.message_ids.get(fields.next("Rid")?).copied();
        let attempt = fields.num("Trial")?;
        fields.next("Receiver")?;
        let reason = fields.next("Reason")?;
        let took = fields.num("CostTime")?;
        let finished = bit(fields.next("Closed")?)?;
        let outcome = outcome(reason, fields.opt())?;
        if let Some(id) = known {
            self.events.push(Event::AttemptEnded {
                id,
                attempt,
                outcome,
                took,
                finished,
            });
            self.settle(id, finished, 1);
        }
        Ok(())
    }

    /// Keeps count of what may still be named, so that names are dropped when nothing more can come.
    fn settle(&mut self, id: MessageId, finished: bool, ended: u32) {
        let Some(held) = self.messages.get_mut(&id.0) else {
            return;
        };
        held.finished |= finished;
        held.out = held.out.saturating_sub(ended);
    }

    fn forget(&mut self) {
        let ids = &mut self.message_ids;
        self.messages.retain(|_, held| {
            let keep = !held.finished || held.out > 0;
            if !keep {
                ids.remove(&held.name);
            }
            keep
        });
    }

    fn turn(&mut self, now: Nanos, who: u64, out: &mut String) {
        let mut actions = Vec::new();
        let events = std::mem::take(&mut self.events);
        let run = AssertUnwindSafe(|| self.policy.turn(now, &events, &mut actions));
        if let Err(panic) = catch_unwind(run) {
            let _ = writeln!(out, "give_in {who} {}", panic_text(&*panic));
            return;
        }
        for action in &actions {
            self.write(who, action, out);
        }
        self.forget();
    }

    fn write(&mut self, who: u64, action: &Action, out: &mut String) {
        let mut name = |id: &MessageId, ends: bool, sends: u32| {
            let held = self.messages.get_mut(&id.0);
            held.map_or(String::new(), |held| {
                held.finished |= ends;
                held.out += sends;
                held.name.clone()
            })
        };
        let receiver = |id: &EndpointId| &self.receivers[id.0 as usize];
        let _ = match action {
            Action::Send {
                id,
                endpoint,
                timeout,
                ..
            } => {
                writeln!(
                    out,
                    "deliver {who} {} {timeout} {}",
                    name(id, false, 1),
                    receiver(endpoint)
                )
            }
            Action::Cancel { id, attempt } => {
                writeln!(out, "revoke {who} {} {attempt}", name(id, false, 0))
            }
            Action::Reject { id, retry_after } => {
                writeln!(
                    out,
                    "reject {who} {} {}",
                    name(id, true, 0),
                    retry_after.unwrap_or(0)
                )
            }
            Action::Fail { id } => writeln!(out, "report_failure {who} {}", name(id, true, 0)),
            Action::WakeAfter(span) => writeln!(out, "sleep {who} {span} 0"),
            Action::CloseIdle(endpoint) => writeln!(out, "free_links {who} {}", receiver(endpoint)),
        };
    }
}

/// Keys are hashed: two that fall together would only wait for each other, which breaks nothing.
fn key_id(key: &str) -> KeyId {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    KeyId(hasher.finish())
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|s| s.to_string());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "panic without a text".into())
        .replace('\n', " ")
}
