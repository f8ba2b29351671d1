//! The fleet as a whole: servers, list and faults in one order of time, and the checker that watches them. Either driver
//! hands in what reaches a server and does what [`Event`]s say; the world knows no wire.
use crate::chance::{mix, shuffled, unit};
use crate::checker::Checker;
use crate::list::{self, Health, ListService, Listed, Outage};
use crate::plan::{self, Ask};
use crate::script::{ms, EffectSpec, GroupSpec, Script, Trouble};
use crate::server::{Effect, Happened, Job, Server};
use silvercross_core::interface::Micros;
use silvercross_settings::seconds;
use std::collections::{HashMap, VecDeque};

/// How a server answers an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With what was asked for.
    Served,
    /// With an error.
    Error,
    /// Unseen.
    Full,
}

/// Something the driver has to pass on.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A server answers an attempt.
    Answer {
        /// Which one.
        job: u64,
        /// How.
        answer: Answer,
    },
    /// A process died; its connections are reset, unless its machine is silent.
    Died {
        /// Which one.
        server: usize,
    },
    /// A server's machine is silent from now on, or no longer; then its connections are reset.
    Silent {
        /// Which one.
        server: usize,
        /// From now on.
        on: bool,
    },
    /// A server's process is there again.
    Started {
        /// Which one.
        server: usize,
    },
    /// The links of a site are cut, or stand again.
    Cut {
        /// Which one.
        site: usize,
        /// From now on.
        on: bool,
    },
    /// The list service says something.
    List(list::Out),
    /// A gateway dies, or is to start with nothing.
    Gateway {
        /// Which one.
        number: usize,
        /// It starts.
        up: bool,
    },
    /// A gateway drains.
    GatewayDrains {
        /// Which one.
        number: usize,
    },
    /// A sidecar dies, or is to start with nothing.
    Sidecar {
        /// Which one.
        number: usize,
        /// It starts.
        up: bool,
    },
}

#[derive(Clone, Copy, Debug)]
enum Change {
    Trouble {
        fault: usize,
        server: usize,
        effect: Option<Effect>,
    },
    Die {
        server: usize,
    },
    Start {
        server: usize,
    },
    Drain {
        server: usize,
    },
    Silent {
        server: usize,
        on: bool,
    },
    /// A lost process or machine is noticed, if it still is lost.
    Notice {
        server: usize,
    },
    Drained {
        server: usize,
    },
    Cut {
        site: usize,
        on: bool,
    },
    Sidecar {
        number: usize,
        up: bool,
    },
    Gateway {
        number: usize,
        up: bool,
    },
    GatewayDrains {
        number: usize,
    },
    LinkSlow {
        by: f64,
    },
    List(Outage),
    /// A server that has fallen may start anew.
    Restart {
        server: usize,
        death: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Held {
    server: usize,
    ask: usize,
}

/// What is where, and what becomes of it.
pub struct World {
    /// The script that is played.
    pub script: Script,
    /// The seed of all chance.
    pub seed: u64,
    /// Who asks what.
    pub asks: Vec<Ask>,
    /// The servers.
    pub servers: Vec<Server>,
    /// The list service.
    pub list: ListService,
    /// The rules' watch.
    pub checker: Checker,
    site_of: Vec<usize>,
    kind_of: Vec<usize>,
    /// Of the sidecars, then of the gateways' halves: outward, inward, for each.
    sidecar_site: Vec<usize>,
    /// Of all that is sent to: the servers, then the gateways' halves.
    target_site: Vec<usize>,
    gateways_down: Vec<u32>,
    /// Between sites all takes so many times as long.
    slow_link: f64,
    down: Vec<u32>,
    deaths: Vec<u64>,
    silent: Vec<u32>,
    cut: Vec<u32>,
    sidecars_down: Vec<u32>,
    changes: VecDeque<(Micros, Change)>,
    held: HashMap<u64, Held>,
    /// When the effect of a keyed ask happened, by group and ask.
    effects: HashMap<(u64, usize), Micros>,
    wakes: Vec<Option<Micros>>,
    happened: Vec<Happened>,
    told: Vec<list::Out>,
}

impl World {
    /// Everything warm and well at the time 0.
    pub fn new(script: Script, seed: u64) -> Self {
        let kinds = script.machine_kinds();
        let site_of: Vec<usize> =
            script.sites.iter().enumerate().flat_map(|(i, s)| std::iter::repeat_n(i, s.servers)).collect();
        let mut sidecar_site: Vec<usize> =
            script.sites.iter().enumerate().flat_map(|(i, s)| std::iter::repeat_n(i, s.sidecars)).collect();
        let n = site_of.len();
        let per_site = script.gateway.as_ref().map_or(0, |g| g.per_site);
        let halves: Vec<usize> = (0..script.gateways()).flat_map(|g| [g / per_site; 2]).collect();
        let target_site: Vec<usize> = site_of.iter().chain(&halves).copied().collect();
        let sidecars = sidecar_site.len();
        sidecar_site.extend(&halves);
        // Kinds in the script's proportions, spread over the fleet by the seed, the same for any load.
        let shares: f64 = kinds.iter().map(|k| k.share).sum();
        let mut kind_of = vec![0; n];
        for (place, server) in shuffled(seed, 2, n).into_iter().enumerate() {
            let mut left = (place as f64 + 0.5) / n as f64 * shares;
            let kind = kinds.iter().position(|k| {
                left -= k.share;
                left < 0.0
            });
            kind_of[server] = kind.unwrap_or(kinds.len() - 1);
        }
        let servers = kind_of.iter().map(|k| Server::new(kinds[*k].clone(), script.server.clone())).collect();
        let l = &script.list;
        let near = (0..script.gateways()).map(|g| n + 2 * g);
        let list = ListService::new((0..n).chain(near), ms(l.lag_ms), l.calls_per_s, ms(l.timeout_ms));
        let mut world = World {
            asks: plan::draw(&script, seed),
            checker: Checker::new(&script),
            servers,
            list,
            down: vec![0; n],
            deaths: vec![0; n],
            silent: vec![0; n],
            cut: vec![0; script.sites.len()],
            sidecars_down: vec![0; sidecars],
            gateways_down: vec![0; script.gateways()],
            slow_link: 1.0,
            target_site,
            site_of,
            kind_of,
            sidecar_site,
            changes: VecDeque::new(),
            held: HashMap::new(),
            effects: HashMap::new(),
            wakes: vec![None; n],
            happened: Vec::new(),
            told: Vec::new(),
            script,
            seed,
        };
        for i in 0..world.script.faults.len() {
            world.lay_out(i);
        }
        world
    }

    fn at(&mut self, at: Micros, change: Change) {
        let place = self.changes.partition_point(|c| c.0 <= at);
        self.changes.insert(place, (at, change));
    }

    /// Whom a fault hits, of `all` that are `at` some site.
    fn targets(&self, i: usize, sites: &[usize]) -> Vec<usize> {
        let f = &self.script.faults[i];
        if let Some(which) = &f.which {
            return which.clone();
        }
        let site = f.site.as_ref().and_then(|n| self.script.sites.iter().position(|s| s.name == *n));
        let order = shuffled(self.seed, 100 + i as u64, sites.len());
        let mut there: Vec<usize> =
            order.into_iter().filter(|s| site.is_none_or(|at| sites[*s] == at)).collect();
        let n = (there.len() as f64 * f.share).round() as usize;
        // A share that rounds to nobody is meant to hit someone all the same.
        there.truncate(if f.share > 0.0 { n.max(1) } else { 0 });
        there.sort_unstable();
        there
    }

    fn lay_out(&mut self, i: usize) {
        let f = self.script.faults[i].clone();
        let (from, to) = f.span();
        let strength = f.strength_or();
        let servers = self.targets(i, &self.site_of.clone());
        let lasting = |w: &mut World, server: usize, effect: Effect| {
            w.at(from, Change::Trouble { fault: i, server, effect: Some(effect) });
            w.at(to, Change::Trouble { fault: i, server, effect: None });
        };
        // On for the first half of each period; neighbours and pauses are not in step.
        let by_turns = |w: &mut World, server: usize, effect: Effect| {
            let Some(every) = f.every_s.map(seconds) else { return lasting(w, server, effect) };
            let mut on = from + (unit(w.seed ^ i as u64, server as u64) * every as f64) as Micros;
            while on < to {
                w.at(on, Change::Trouble { fault: i, server, effect: Some(effect) });
                w.at((on + every / 2).min(to), Change::Trouble { fault: i, server, effect: None });
                on += every;
            }
        };
        match f.kind {
            Trouble::Swallow => servers.iter().for_each(|s| lasting(self, *s, Effect::Swallow(strength))),
            Trouble::FastErrors => servers.iter().for_each(|s| lasting(self, *s, Effect::Errors(strength))),
            Trouble::Slow => servers.iter().for_each(|s| lasting(self, *s, Effect::Slower(strength))),
            Trouble::SharedSlow => {
                (0..self.servers.len()).for_each(|s| lasting(self, s, Effect::Slower(strength)))
            }
            Trouble::Pause => servers.iter().for_each(|s| by_turns(self, *s, Effect::Paused)),
            Trouble::Neighbour => servers.iter().for_each(|s| by_turns(self, *s, Effect::Taken(strength))),
            Trouble::Crash | Trouble::SiteLost => {
                for server in servers {
                    self.at(from, Change::Die { server });
                    self.at(to, Change::Start { server });
                }
            }
            Trouble::LateStart => {
                for server in servers {
                    self.at(0, Change::Die { server });
                    self.at(to, Change::Start { server });
                }
            }
            Trouble::Vanish => {
                for server in servers {
                    self.at(from, Change::Silent { server, on: true });
                    self.at(to, Change::Silent { server, on: false });
                }
            }
            Trouble::Drain => {
                for server in servers {
                    self.at(from, Change::Drain { server });
                    self.at(to, Change::Die { server });
                    self.at(to + 200_000, Change::Start { server });
                }
            }
            Trouble::Release => {
                let drain = seconds(f.every_s.unwrap_or(3.0));
                // Of a release, `share` is the size of a batch: all there take their turn.
                let site = f.site.as_ref().and_then(|n| self.script.sites.iter().position(|s| s.name == *n));
                let all: Vec<usize> = match &f.which {
                    Some(which) => which.clone(),
                    None => (0..self.servers.len())
                        .filter(|s| site.is_none_or(|at| self.site_of[*s] == at))
                        .collect(),
                };
                let batch = ((all.len() as f64 * f.share).round() as usize).max(1);
                let batches = all.len().div_ceil(batch).max(1) as Micros;
                for (k, servers) in all.chunks(batch).enumerate() {
                    let at = from + (to - from) * k as Micros / batches;
                    for server in servers {
                        let server = *server;
                        self.at(at, Change::Drain { server });
                        self.at(at + drain, Change::Die { server });
                        self.at(at + drain + 200_000, Change::Start { server });
                    }
                }
            }
            Trouble::LinkCut => {
                let site = f.site.as_ref().and_then(|n| self.script.sites.iter().position(|s| s.name == *n));
                let site = site.expect("checked with the script");
                self.at(from, Change::Cut { site, on: true });
                self.at(to, Change::Cut { site, on: false });
            }
            Trouble::SidecarsDie => {
                let n = self.sidecars_down.len();
                for number in self.targets(i, &self.sidecar_site[..n]) {
                    self.at(from, Change::Sidecar { number, up: false });
                    self.at(to, Change::Sidecar { number, up: true });
                }
            }
            Trouble::GatewaysDie | Trouble::GatewaysDrain => {
                let sites: Vec<usize> =
                    self.sidecar_site[self.sidecars_down.len()..].iter().step_by(2).copied().collect();
                for number in self.targets(i, &sites) {
                    let begins = match f.kind {
                        Trouble::GatewaysDie => Change::Gateway { number, up: false },
                        _ => Change::GatewayDrains { number },
                    };
                    self.at(from, begins);
                    self.at(to, Change::Gateway { number, up: true });
                }
            }
            Trouble::LinkSlow => {
                self.at(from, Change::LinkSlow { by: strength });
                self.at(to, Change::LinkSlow { by: 1.0 });
            }
            Trouble::ListDark | Trouble::ListMute => {
                let outage = if f.kind == Trouble::ListDark { Outage::Dark } else { Outage::Mute };
                self.at(from, Change::List(outage));
                self.at(to, Change::List(Outage::None));
            }
            // Drawn into the plan.
            Trouble::Surge | Trouble::HotCaller => {}
        }
    }

    /// The site of a server, or of a gateway's half.
    pub fn site(&self, server: usize) -> usize {
        self.target_site[server]
    }

    /// The kind of a server's machine.
    pub fn kind(&self, server: usize) -> usize {
        self.kind_of[server]
    }

    /// The cell of a server, counted within its site.
    pub fn cell(&self, server: usize) -> usize {
        let first = self.site_of.partition_point(|s| *s < self.site_of[server]);
        (server - first) / self.script.server.cell
    }

    /// The site of a sidecar.
    pub fn sidecar_site(&self, sidecar: usize) -> usize {
        self.sidecar_site[sidecar]
    }

    /// Whether a sidecar runs, or the gateway that a half belongs to.
    pub fn sidecar_up(&self, sidecar: usize) -> bool {
        match sidecar.checked_sub(self.sidecars_down.len()) {
            None => self.sidecars_down[sidecar] == 0,
            Some(half) => self.gateways_down[half / 2] == 0,
        }
    }

    /// Whether bytes pass between a sidecar and a server: the machine is not silent and no cut lies between.
    pub fn reaches(&self, sidecar: usize, server: usize) -> bool {
        self.reaches_from(self.sidecar_site[sidecar], server)
    }

    /// The same from all of a site.
    pub fn reaches_from(&self, from: usize, server: usize) -> bool {
        let to = self.target_site[server];
        self.silent.get(server).is_none_or(|s| *s == 0)
            && (from == to || (self.cut[from] == 0 && self.cut[to] == 0))
    }

    /// Whether a server's machine is silent to all.
    pub fn is_silent(&self, server: usize) -> bool {
        self.silent.get(server).is_some_and(|s| *s > 0)
    }

    /// How long a message takes one way; `dice` from 0 to 1 draws the jitter.
    pub fn delay(&self, sidecar: usize, server: usize, dice: f64) -> Micros {
        self.delay_from(self.sidecar_site[sidecar], server, dice)
    }

    /// The same from a site.
    pub fn delay_from(&self, site: usize, server: usize, dice: f64) -> Micros {
        let n = &self.script.network;
        let same = site == self.target_site[server];
        let base = if same { n.same_ms } else { n.cross_ms * self.slow_link };
        ms(base * (1.0 + n.jitter * dice))
    }

    /// Whether bytes pass between two sites.
    pub fn joined(&self, a: usize, b: usize) -> bool {
        a == b || (self.cut[a] == 0 && self.cut[b] == 0)
    }

    /// The group in which repeats of an ask are dropped, seen from a server.
    fn group(&self, class: usize, server: usize) -> u64 {
        match self.script.classes[class].group {
            GroupSpec::All => 0,
            GroupSpec::Site => 1 + self.site_of[server] as u64,
            GroupSpec::Cell => mix((self.site_of[server] as u64) << 32 | self.cell(server) as u64) | 1 << 63,
        }
    }

    /// An attempt has come whole to a server; `fresh`: on a new connection.
    pub fn arrive(
        &mut self,
        now: Micros,
        job: u64,
        ask: usize,
        server: usize,
        fresh: bool,
        out: &mut Vec<Event>,
    ) {
        let a = &self.asks[ask];
        let spec = &self.script.classes[a.class];
        let dropped = spec.effect == EffectSpec::Keyed
            && (self.effects.get(&(self.group(a.class, server), ask)))
                .is_some_and(|at| now - at <= ms(spec.window_ms));
        let extra = if fresh { ms(self.script.server.connection_ms) as f64 } else { 0.0 };
        // Luck goes with the ask and the server, so that another policy that sends the same there meets the same.
        let luck = mix(self.seed ^ mix(ask as u64) ^ (server as u64) << 40);
        let job = Job {
            id: job,
            key: a.key,
            work: a.work + extra,
            expected: a.expected,
            dropped,
            dice: (unit(luck, 1), unit(luck, 2)),
        };
        self.held.insert(job.id, Held { server, ask });
        let mut happened = std::mem::take(&mut self.happened);
        self.servers[server].offer(now, job, &mut happened);
        self.happened = happened;
        self.settle(now, server, out);
    }

    /// A sender has called an attempt off, or its connection is gone.
    pub fn cancel(&mut self, now: Micros, job: u64, out: &mut Vec<Event>) {
        let Some(held) = self.held.remove(&job) else { return };
        let mut happened = std::mem::take(&mut self.happened);
        self.servers[held.server].cancel(now, job, &mut happened);
        self.happened = happened;
        self.settle(now, held.server, out);
    }

    /// Draw the consequences of what a server did.
    fn settle(&mut self, now: Micros, server: usize, out: &mut Vec<Event>) {
        let mut happened = std::mem::take(&mut self.happened);
        for what in happened.drain(..) {
            match what {
                Happened::Ran(job) => {
                    let Some(held) = self.held.get(&job) else { continue };
                    let (ask, class) = (held.ask, self.asks[held.ask].class);
                    let mut dropped = false;
                    if self.script.classes[class].effect == EffectSpec::Keyed {
                        let (key, window) =
                            ((self.group(class, server), ask), ms(self.script.classes[class].window_ms));
                        dropped = self.effects.get(&key).is_some_and(|at| now - at <= window);
                        if !dropped {
                            self.effects.insert(key, now);
                        }
                    }
                    self.checker.ran(now, ask, class, dropped);
                }
                Happened::Done(job) => self.answer(job, Answer::Served, out),
                Happened::Error(job) => self.answer(job, Answer::Error, out),
                Happened::Full(job) => self.answer(job, Answer::Full, out),
                // Whoever held it learns by the reset.
                Happened::Broke(job) => drop(self.held.remove(&job)),
                Happened::Fell(cold) => {
                    self.checker.fell(now, server, cold);
                    self.deaths[server] += 1;
                    self.down[server] += 1;
                    out.push(Event::Died { server });
                    self.at(now + seconds(self.script.list.notice_s), Change::Notice { server });
                    if self.script.server.fallen_s > 0.0 {
                        let back = now + seconds(self.script.server.fallen_s);
                        self.at(back, Change::Restart { server, death: self.deaths[server] });
                    }
                }
            }
        }
        self.happened = happened;
        self.wakes[server] = self.servers[server].next();
    }

    fn answer(&mut self, job: u64, answer: Answer, out: &mut Vec<Event>) {
        if self.held.remove(&job).is_some() {
            out.push(Event::Answer { job, answer });
        }
    }

    /// Someone asks the list service; see [`ListService::ask`].
    pub fn ask_list(
        &mut self,
        now: Micros,
        asker: u64,
        since: Option<u64>,
        watch: bool,
        out: &mut Vec<Event>,
    ) {
        let mut told = std::mem::take(&mut self.told);
        self.list.ask(now, asker, since, watch, &mut told);
        out.extend(told.drain(..).map(Event::List));
        self.told = told;
    }

    /// When something will happen by itself.
    pub fn next(&self) -> Option<Micros> {
        let server = self.wakes.iter().flatten().min().copied();
        let change = self.changes.front().map(|c| c.0);
        server.into_iter().chain(change).chain(self.list.next()).min()
    }

    /// Let time pass.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<Event>) {
        while let Some((at, change)) = self.changes.front().copied().filter(|c| c.0 <= now) {
            self.changes.pop_front();
            self.change(at.max(now), change, out);
        }
        for server in 0..self.servers.len() {
            if self.wakes[server].is_some_and(|at| at <= now) {
                let mut happened = std::mem::take(&mut self.happened);
                self.servers[server].advance(now, &mut happened);
                self.happened = happened;
                self.settle(now, server, out);
            }
        }
        let mut told = std::mem::take(&mut self.told);
        self.list.advance(now, &mut told);
        out.extend(told.drain(..).map(Event::List));
        self.told = told;
    }

    fn announce(&mut self, now: Micros, server: usize, health: Health) -> Micros {
        let more = (unit(self.seed ^ 0x115, (now as u64) ^ mix(server as u64)) * 50_000.0) as Micros;
        let born = self.servers.get(server).and_then(|s| s.born);
        self.list.announce(now, more, Listed { server, health, born })
    }

    fn change(&mut self, now: Micros, change: Change, out: &mut Vec<Event>) {
        let mut happened = std::mem::take(&mut self.happened);
        match change {
            Change::Trouble { fault, server, effect } => {
                self.servers[server].trouble(now, fault, effect, &mut happened);
                self.happened = happened;
                return self.settle(now, server, out);
            }
            Change::Die { server } => {
                self.down[server] += 1;
                if self.servers[server].up {
                    self.servers[server].die(now, &mut happened);
                    self.happened = std::mem::take(&mut happened);
                    self.settle(now, server, out);
                    out.push(Event::Died { server });
                    let notice = seconds(self.script.list.notice_s);
                    self.at(now + notice, Change::Notice { server });
                    happened = std::mem::take(&mut self.happened);
                }
            }
            Change::Start { server } => {
                self.down[server] = self.down[server].saturating_sub(1);
                // One that fell over meanwhile is started by whoever restarts it.
                if self.down[server] == 0 || !self.servers[server].up {
                    self.start(now, server, out);
                }
            }
            Change::Restart { server, death } => {
                if self.deaths[server] == death && !self.servers[server].up {
                    self.down[server] = self.down[server].saturating_sub(1);
                    if self.down[server] == 0 {
                        self.start(now, server, out);
                    }
                }
            }
            Change::Drain { server } => {
                if self.servers[server].up {
                    self.servers[server].draining = true;
                    let visible = self.announce(now, server, Health::Draining);
                    self.at(visible, Change::Drained { server });
                }
            }
            Change::Drained { server } => {
                if self.servers[server].draining {
                    self.checker.drains(server, Some(now));
                }
            }
            Change::Silent { server, on } => {
                let n = &mut self.silent[server];
                *n = if on { *n + 1 } else { n.saturating_sub(1) };
                if on {
                    let notice = seconds(self.script.list.silent_notice_s);
                    self.at(now + notice, Change::Notice { server });
                } else if self.silent[server] == 0 && self.servers[server].up {
                    self.announce(now, server, Health::Ready);
                }
                out.push(Event::Silent { server, on: self.silent[server] > 0 });
            }
            Change::Notice { server } if server >= self.servers.len() => {
                if self.gateways_down[(server - self.servers.len()) / 2] > 0 {
                    self.announce(now, server, Health::Gone);
                }
            }
            Change::Gateway { number, up } => {
                let (n, near) = (&mut self.gateways_down[number], self.servers.len() + 2 * number);
                *n = if up { n.saturating_sub(1) } else { *n + 1 };
                let up = *n == 0;
                if up {
                    self.checker.drains(near, None);
                    self.announce(now, near, Health::Ready);
                } else {
                    let notice = seconds(self.script.list.notice_s);
                    self.at(now + notice, Change::Notice { server: near });
                }
                out.push(Event::Gateway { number, up });
            }
            Change::GatewayDrains { number } => {
                let server = self.servers.len() + 2 * number;
                let visible = self.announce(now, server, Health::Draining);
                self.checker.drains(server, Some(visible));
                out.push(Event::GatewayDrains { number });
            }
            Change::LinkSlow { by } => self.slow_link = by,
            Change::Notice { server } => {
                let lost = !self.servers[server].up || self.silent[server] > 0;
                if lost {
                    self.announce(now, server, Health::Gone);
                }
            }
            Change::Cut { site, on } => {
                let n = &mut self.cut[site];
                *n = if on { *n + 1 } else { n.saturating_sub(1) };
                out.push(Event::Cut { site, on: self.cut[site] > 0 });
            }
            Change::Sidecar { number, up } => {
                let n = &mut self.sidecars_down[number];
                let before = *n;
                *n = if up { n.saturating_sub(1) } else { *n + 1 };
                if (before == 0) != (*n == 0) {
                    out.push(Event::Sidecar { number, up });
                }
            }
            Change::List(outage) => {
                let mut told = std::mem::take(&mut self.told);
                self.list.fail(now, outage, &mut told);
                out.extend(told.drain(..).map(Event::List));
                self.told = told;
            }
        }
        self.happened = happened;
    }

    fn start(&mut self, now: Micros, server: usize, out: &mut Vec<Event>) {
        self.down[server] = 0;
        self.servers[server].start_anew(now);
        self.checker.drains(server, None);
        self.announce(now, server, Health::Ready);
        self.wakes[server] = None;
        out.push(Event::Started { server });
    }

    /// Whether a sidecar, or an inward half, is told of a server or gateway at all.
    pub fn tells(&self, sidecar: usize, server: usize) -> bool {
        let own = self.sidecar_site[sidecar] == self.target_site[server];
        let mistaken = self.script.gateway.as_ref().is_some_and(|g| g.mistaken);
        let gateway_to_half = server >= self.servers.len() && sidecar >= self.sidecars_down.len();
        (own || !self.script.own_site_only()) && (!gateway_to_half || mistaken)
    }

    /// The version of what a sidecar is handed at its start; a list that lacks something is of no version.
    pub fn known_seq(&self) -> u64 {
        if self.script.list.stale > 0.0 {
            0
        } else {
            self.list.seq()
        }
    }

    /// What a sidecar is handed at its start: the list of now, less what it has not heard of.
    pub fn known(&self, sidecar: usize) -> Vec<Listed> {
        let lacks =
            |l: &Listed| unit(self.seed ^ mix(sidecar as u64), l.server as u64) < self.script.list.stale;
        let mut all = self.list.whole();
        all.retain(|l| self.tells(sidecar, l.server));
        let known: Vec<Listed> = all.iter().filter(|l| !lacks(l)).copied().collect();
        if known.is_empty() {
            all
        } else {
            known
        }
    }
}
