//! The bench's wire on one side, the core's events and actions on the other. Translates, never decides.
#![forbid(unsafe_code)]

mod wire;

use silvercross_core::interface::*;
use silvercross_core::policy::Balancer;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use wire::Line;

struct Listed {
    name: Box<str>,
    entry: Entry,
}

struct Instance {
    balancer: Balancer,
    ids: HashMap<Box<str>, u32>,
    names: Vec<Box<str>>,
}

impl Instance {
    fn id(&mut self, name: &str) -> UpstreamId {
        if let Some(i) = self.ids.get(name) {
            return UpstreamId(*i);
        }
        let i = self.names.len() as u32;
        self.ids.insert(name.into(), i);
        self.names.push(name.into());
        UpstreamId(i)
    }
}

/// All that one adapter process holds.
#[derive(Default)]
pub struct Drill {
    instances: BTreeMap<u32, Instance>,
    lists: HashMap<u64, Vec<Listed>>,
    actions: Vec<Action>,
    entries: Vec<Entry>,
}

impl Drill {
    /// Serve batches until the input ends; the error names batch, line and what is wrong.
    pub fn run(&mut self, mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
        let (mut line, mut reply) = (String::new(), String::new());
        let mut number = 0u64;
        // Of the open batch: its turn and clock, and how many entries of which list are still to come.
        let mut open: Option<(u64, Micros)> = None;
        let mut awaiting: Option<(u64, u64)> = None;
        loop {
            line.clear();
            number += 1;
            let at = |what: String| match open {
                Some((turn, _)) => format!("batch {turn}, line {number}: {what}"),
                None => format!("between batches, line {number}: {what}"),
            };
            let read = input.read_line(&mut line).map_err(|e| at(format!("unreadable input: {e}")))?;
            if read == 0 {
                return match open {
                    Some(_) => Err(at("the input ends inside a batch".into())),
                    None => Ok(()),
                };
            }
            let part = Line::new(line.trim_end_matches('\n'));
            match (open, part.name) {
                (None, "") => {}
                (None, "BEGIN_BATCH") => {
                    let turn = part.whole("turn").map_err(at)?;
                    open = Some((turn, part.time("ts_s").map_err(at)?));
                    reply.clear();
                }
                (None, other) => return Err(at(format!("{other:?} outside a batch"))),
                (Some(_), "ENTRY") => {
                    let Some((list, left)) = awaiting else { return Err(at("ENTRY beyond its list".into())) };
                    let entry = read_entry(&part).map_err(at)?;
                    self.lists.entry(list).or_default().push(entry);
                    awaiting = (left > 1).then_some((list, left - 1));
                }
                (Some(_), _) if awaiting.is_some() => return Err(at("CENSUS lacks entries".into())),
                (Some((turn, _)), "GO") => {
                    reply.push_str(&format!("EOR turn={turn}\n"));
                    let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
                    sent.map_err(|e| at(format!("unwritable output: {e}")))?;
                    open = None;
                }
                (Some(_), "") => {}
                (Some(_), "CENSUS") => {
                    let (list, n) = (part.whole("ref").map_err(at)?, part.whole("elements").map_err(at)?);
                    self.lists.insert(list, Vec::new());
                    awaiting = (n > 0).then_some((list, n));
                }
                (Some((_, now)), _) => self.event(now, &part, &mut reply).map_err(at)?,
            }
        }
    }

    fn event(&mut self, now: Micros, part: &Line<'_>, reply: &mut String) -> Result<(), String> {
        let known = matches!(
            part.name,
            "NEW_INSTANCE"
                | "FLEET"
                | "REQUEST"
                | "TEARDOWN"
                | "STATUS_BACK"
                | "STARTED"
                | "DEADLINE_HIT"
                | "VERDICT"
                | "LAPSED"
                | "WHISPER"
        );
        if !known {
            return Err(format!("unknown event {:?}", part.name));
        }
        let who = small(part, "who")?;
        match part.name {
            "TEARDOWN" => {
                self.instances.remove(&who);
                return Ok(());
            }
            "NEW_INSTANCE" => {
                let text = part.text("info").ok_or("NEW_INSTANCE: info is missing")?;
                let balancer = Balancer::new(silvercross_settings::read(text)?, part.whole("prng")?, now);
                self.instances.insert(who, Instance { balancer, ids: HashMap::new(), names: Vec::new() });
                return Ok(());
            }
            _ => {}
        }
        let at = self.instances.get_mut(&who).ok_or_else(|| format!("{}: no instance {who}", part.name))?;
        let request = || Ok::<_, String>(RequestId(part.whole("ticket")?));
        let event = match part.name {
            "FLEET" => {
                let kind = match part.need("scope")? {
                    "patch" => ListKind::Patch,
                    "whole" => ListKind::Snapshot,
                    "stale_copy" => ListKind::StaleCopy,
                    "broken" => ListKind::Broken,
                    other => return Err(format!("FLEET: scope={other} is malformed")),
                };
                self.entries.clear();
                if kind != ListKind::Broken {
                    let list = part.whole("ref")?;
                    let listed = self.lists.get(&list).ok_or_else(|| format!("FLEET: no list {list}"))?;
                    for l in listed {
                        let upstream = at.id(&l.name);
                        self.entries.push(Entry { upstream, ..l.entry });
                    }
                }
                Event::List { kind, entries: &self.entries }
            }
            "REQUEST" => Event::Request(NewRequest {
                id: request()?,
                class: small(part, "category")?,
                tenant: part.whole_or("account", 0)? as u32,
                key: part.get("name_key").map(silvercross_settings::digest),
                budget: part.time("grace_s")?,
                cost_hint: part.time_if("cost_guess_s")?,
                client_retry: part.flag("repeat")?,
                write: part.flag("update")?,
            }),
            "VERDICT" => {
                part.need("upstream")?;
                Event::AttemptEnded(Ended {
                    request: request()?,
                    attempt: small(part, "attempt")?,
                    outcome: part.outcome("verdict")?,
                    elapsed: part.time("elapsed_s")?,
                    request_over: part.flag("no_more")?,
                })
            }
            "STARTED" => Event::StreamStarted { request: request()?, attempt: small(part, "attempt")? },
            "LAPSED" => Event::RequestGone { request: request()? },
            "DEADLINE_HIT" => Event::Timer { token: part.whole("token")? },
            "STATUS_BACK" => Event::ProbeEnded {
                upstream: at.id(part.need("upstream")?),
                outcome: part.outcome("verdict")?,
                elapsed: part.time("elapsed_s")?,
            },
            // A peer's message: this module has no word with its peers.
            _ => return Ok(()),
        };
        self.actions.clear();
        let (balancer, actions) = (&mut at.balancer, &mut self.actions);
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions))) {
            let text = panic.downcast_ref::<&str>().map(|s| s.to_string());
            let text = text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_default();
            reply.push_str(&format!("CRASH who={who} reason_text={}\n", text.replace('\n', " ")));
            return Ok(());
        }
        for action in &self.actions {
            wire::write(reply, who, action, &at.names);
        }
        Ok(())
    }
}

fn small(part: &Line<'_>, key: &str) -> Result<u32, String> {
    u32::try_from(part.whole(key)?).map_err(|_| format!("{}: {key} is too large", part.name))
}

fn read_entry(part: &Line<'_>) -> Result<Listed, String> {
    // Indices into short lists of the settings; the core keeps a record for each.
    let index = |key: &str| match part.whole_or(key, 0)? {
        n if n < 4096 => Ok(n as u32),
        n => Err(format!("ENTRY: {key}={n} is malformed")),
    };
    Ok(Listed {
        name: part.need("upstream")?.into(),
        entry: Entry {
            upstream: UpstreamId(0),
            lifecycle: part.lifecycle()?,
            last_start: part.time_if("last_start_s")?.filter(|t| *t != 0),
            zone: index("area")?,
            cell: part.whole_or("cohort", 0)? as u32,
            kind: index("machine")?,
            size: part.number_if("scale")?.unwrap_or(1.0),
            digest: silvercross_settings::digest(part.need("upstream")?),
        },
    })
}
