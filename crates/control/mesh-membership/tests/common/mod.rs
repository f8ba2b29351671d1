//! A world in simulated time: machines, links with delay, datagrams that get lost, cuts, kills and freezes.
#![allow(dead_code)]
pub mod starts;

use silvercross_mesh_membership::*;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// What a letter or datagram costs besides its content.
const HEADER: u64 = 40;

pub type Body = u64;

enum Event {
    Tick,
    Dial { to: Node, id: u64 },
    Up { peer: Node, conn: u64 },
    Down { peer: Node, conn: u64 },
    MembershipMessage { from: Node, conn: u64, message: MembershipMessage<Body> },
    Datagram { from: Node, datagram: Datagram },
    Tried { about: Node, ok: bool },
    Confirm { request_id: u64, revisions: Vec<(String, Revision)> },
    Unconfirmed { request_id: u64 },
}

pub struct Machine {
    pub zone: usize,
    pub is_control: bool,
    pub on: bool,
    pub membership: Option<Membership<Body>>,
    frozen_until: Micros,
    tick_at: Micros,
    starts: u64,
    pub started: Micros,
    /// What a majority had acknowledged when it started.
    must: BTreeMap<String, Revision>,
    pub freshness: Freshness,
}

struct Conn {
    id: u64,
    lost: bool,
    arrival: BTreeMap<Node, Micros>,
}

#[derive(Clone, Copy, Default, Debug)]
pub struct Traffic {
    pub messages: u64,
    pub datagrams: u64,
    pub bytes: u64,
    pub crossing: u64,
    pub crossing_bytes: u64,
    pub news: u64,
    pub news_crossing: u64,
}

pub struct World {
    pub now: Micros,
    pub machines: BTreeMap<Node, Machine>,
    pub cuts: BTreeSet<(Node, Node)>,
    /// Datagrams lost, of 1,000.
    pub loss: u64,
    pub zone_delay: Micros,
    pub traffic: Traffic,
    /// Who found whom gone, or said so of itself.
    pub gone: Vec<(Micros, Node, Node)>,
    pub trace: bool,
    /// What a majority of the core machines has acknowledged.
    pub acked: BTreeMap<String, Revision>,
    /// How long a read that a majority confirms takes.
    pub read_delay: Micros,
    /// Reads begun, and those of them that no majority confirmed.
    pub reads: (u64, u64),
    /// Starts that ended current with something acknowledged before, and by the bound.
    pub judged: (u64, u64),
    /// Nodes are broken so, and what the judge finds is kept.
    pub mutation: Option<Mutation>,
    pub found: Vec<String>,
    events: BTreeMap<(Micros, u64), (Node, Event)>,
    conns: BTreeMap<(Node, Node), Conn>,
    dials: BTreeMap<(Node, Node), u64>,
    count: u64,
    draws: u64,
}

#[cfg(feature = "mutants")]
fn set_mutation(membership: &mut Membership<Body>, mutation: Option<Mutation>) {
    mutation.into_iter().for_each(|mutation| membership.set_mutation(mutation));
}

#[cfg(not(feature = "mutants"))]
fn set_mutation(_: &mut Membership<Body>, mutation: Option<Mutation>) {
    assert_eq!(mutation, None, "without the feature nothing can be broken");
}

fn pair(a: Node, b: Node) -> (Node, Node) {
    (a.min(b), a.max(b))
}

pub fn control_node(zone: usize) -> Node {
    Node(1 + zone as u32)
}

pub fn sidecar(index: usize) -> Node {
    Node(100 + index as u32)
}

impl World {
    /// A core machine in each of three zones, and sides spread over them; all start within `span`.
    pub fn new(sides: usize, seed: u64, span: Micros) -> World {
        let mut world = World {
            now: 1_000 * S,
            machines: BTreeMap::new(),
            cuts: BTreeSet::new(),
            loss: 5,
            zone_delay: MS,
            traffic: Traffic::default(),
            gone: Vec::new(),
            trace: false,
            acked: BTreeMap::new(),
            read_delay: 2 * MS,
            reads: (0, 0),
            judged: (0, 0),
            mutation: None,
            found: Vec::new(),
            events: BTreeMap::new(),
            conns: BTreeMap::new(),
            dials: BTreeMap::new(),
            count: 0,
            draws: seed.wrapping_mul(2).wrapping_add(1),
        };
        let control_nodes = (0..3).map(|zone| (control_node(zone), zone, true));
        let machines: Vec<_> = control_nodes.chain((0..sides).map(|i| (sidecar(i), i % 3, false))).collect();
        machines.iter().for_each(|(node, zone, is_control)| world.add(*node, *zone, *is_control));
        let begin = world.now;
        let mut starts: Vec<(Micros, Node)> = machines
            .iter()
            .map(|(node, ..)| (begin + world.below(span.max(1) as u64) as Micros, *node))
            .collect();
        starts.sort();
        for (at, node) in starts {
            world.run_to(at);
            world.start(node, 1);
        }
        world.run_to(begin + span);
        world
    }

    pub fn add(&mut self, node: Node, zone: usize, is_control: bool) {
        let machine = Machine {
            zone,
            is_control,
            on: true,
            membership: None,
            frozen_until: 0,
            tick_at: Micros::MAX,
            starts: 0,
            started: 0,
            must: BTreeMap::new(),
            freshness: Freshness::Waiting,
        };
        self.machines.insert(node, machine);
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.draws =
            self.draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.draws >> 33) % bound.max(1)
    }

    pub fn membership(&self, node: Node) -> &Membership<Body> {
        self.machines[&node].membership.as_ref().expect("it runs")
    }

    /// All nodes, and those that start later, are broken so.
    pub fn break_all(&mut self, mutation: Option<Mutation>) {
        self.mutation = mutation;
        let running = self.machines.values_mut().filter_map(|machine| machine.membership.as_mut());
        running.for_each(|membership| set_mutation(membership, mutation));
    }

    pub fn living(&self) -> Vec<Node> {
        self.machines
            .iter()
            .filter(|(_, machine)| machine.membership.is_some())
            .map(|(node, _)| *node)
            .collect()
    }

    pub fn start(&mut self, node: Node, incarnation: u64) {
        self.start_with(node, incarnation, (0..3).map(control_node).collect());
    }

    pub fn start_with(&mut self, node: Node, incarnation: u64, seeds: Vec<Node>) {
        let now = self.now;
        let seed = self.below(u64::MAX);
        let machine = self.machines.get_mut(&node).expect("known");
        machine.on = true;
        machine.starts += 1;
        machine.frozen_until = 0;
        machine.tick_at = Micros::MAX;
        let start = MembershipConfig {
            local_node: node,
            zone: ["a", "b", "c"][machine.zone].to_string(),
            is_control: machine.is_control,
            seeds,
            incarnation,
            random_seed: seed,
        };
        let mut membership = Membership::new(now, start, u64::from(node.0) * 1_000 + machine.starts);
        set_mutation(&mut membership, self.mutation);
        (machine.started, machine.freshness) = (now, membership.freshness());
        machine.must.clone_from(&self.acked);
        machine.membership = Some(membership);
        self.carry(node);
    }

    /// Ends the process; with `power`, nobody is told.
    pub fn kill(&mut self, node: Node, power: bool) {
        let machine = self.machines.get_mut(&node).expect("known");
        machine.membership = None;
        machine.on = !power;
        self.events.retain(|_, (at, _)| *at != node);
        self.dials.retain(|(from, _), _| *from != node);
        let pairs: Vec<_> = self.conns.keys().filter(|(a, b)| *a == node || *b == node).copied().collect();
        for key in pairs {
            let conn = self.conns.remove(&key).expect("listed");
            let peer = if key.0 == node { key.1 } else { key.0 };
            if !power && !self.cuts.contains(&(node, peer)) {
                let at = self.now + self.delay(node, peer);
                self.push(at, peer, Event::Down { peer: node, conn: conn.id });
            }
        }
    }

    pub fn freeze(&mut self, node: Node, span: Micros) {
        let until = self.now + span;
        self.machines.get_mut(&node).expect("known").frozen_until = until;
    }

    pub fn cut(&mut self, from: Node, to: Node) {
        self.cuts.insert((from, to));
    }

    pub fn cut_off(&mut self, node: Node, others: &[Node]) {
        for other in others.iter().filter(|other| **other != node) {
            self.cut(node, *other);
            self.cut(*other, node);
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        let lost: Vec<_> = self.conns.iter().filter(|(_, conn)| conn.lost).map(|(key, _)| *key).collect();
        for key in lost {
            let conn = self.conns.remove(&key).expect("listed");
            let at = self.now + self.delay(key.0, key.1);
            self.push(at, key.0, Event::Down { peer: key.1, conn: conn.id });
            self.push(at, key.1, Event::Down { peer: key.0, conn: conn.id });
        }
    }

    fn delay(&self, a: Node, b: Node) -> Micros {
        let same = self.machines[&a].zone == self.machines[&b].zone;
        if same {
            200
        } else {
            self.zone_delay
        }
    }

    fn push(&mut self, at: Micros, node: Node, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), (node, event));
    }

    pub fn run(&mut self, span: Micros) {
        self.run_to(self.now + span);
    }

    pub fn run_to(&mut self, end: Micros) {
        while let Some(first) = self.events.first_entry() {
            if first.key().0 > end {
                break;
            }
            let (key, (node, event)) = first.remove_entry();
            self.now = self.now.max(key.0);
            self.handle(node, event);
        }
        self.now = end;
    }

    fn handle(&mut self, node: Node, event: Event) {
        let now = self.now;
        let frozen = self.machines[&node].frozen_until;
        if now < frozen && !matches!(event, Event::Dial { .. }) {
            self.push(frozen, node, event);
            return;
        }
        let current =
            |world: &World, peer, conn| world.conns.get(&pair(node, peer)).is_some_and(|c| c.id == conn);
        match &event {
            Event::Dial { to, id } => return self.dialled(node, *to, *id),
            Event::Up { peer, conn } if !current(self, *peer, *conn) => {
                // It was dropped meanwhile: the other side's end is told as well.
                let (peer, conn) = (*peer, *conn);
                self.with(node, |membership| membership.link_up(now, peer));
                self.push(now, node, Event::Down { peer, conn });
                return;
            }
            // Not if there is a newer one.
            Event::Down { peer, conn }
                if self.conns.get(&pair(node, *peer)).is_some_and(|c| c.id != *conn) =>
            {
                return
            }
            Event::MembershipMessage { from, conn, .. } if !current(self, *from, *conn) => return,
            Event::Confirm { request_id, .. } if !self.majority(node) => {
                self.reads.1 += 1;
                return self.push(now + 800 * MS, node, Event::Unconfirmed { request_id: *request_id });
            }
            Event::Tick if self.machines[&node].tick_at > now => return,
            _ => (),
        }
        self.with(node, |membership| match event {
            Event::Tick => membership.tick(now),
            Event::Up { peer, .. } => membership.link_up(now, peer),
            Event::Down { peer, .. } => membership.link_down(now, peer),
            Event::MembershipMessage { from, message, .. } => membership.receive(now, from, message),
            Event::Datagram { from, datagram } => membership.receive_datagram(now, from, datagram),
            Event::Tried { about, ok } => membership.probe_finished(now, about, ok),
            Event::Confirm { request_id, revisions } => {
                membership.revisions_confirmed(now, request_id, Some(revisions))
            }
            Event::Unconfirmed { request_id } => membership.revisions_confirmed(now, request_id, None),
            Event::Dial { .. } => (),
        });
    }

    /// Something happens at a node, and what it wants is carried out.
    pub fn with(&mut self, node: Node, act: impl FnOnce(&mut Membership<Body>)) {
        let Some(membership) = self.machines.get_mut(&node).and_then(|machine| machine.membership.as_mut())
        else {
            return;
        };
        act(membership);
        self.carry(node);
    }

    fn dialled(&mut self, node: Node, to: Node, id: u64) {
        if self.dials.get(&(node, to)) != Some(&id) {
            return;
        }
        let Some(target) = self.machines.get(&to) else { return };
        let (on, runs) = (target.on, target.membership.is_some());
        if !on || self.cuts.contains(&(node, to)) || self.cuts.contains(&(to, node)) {
            let again = self.now + S;
            return self.push(again, node, Event::Dial { to, id });
        }
        self.dials.remove(&(node, to));
        let now = self.now;
        if !runs {
            return self.with(node, |membership| membership.link_down(now, to));
        }
        self.count += 1;
        let conn = self.count;
        self.conns.insert(pair(node, to), Conn { id: conn, lost: false, arrival: BTreeMap::new() });
        self.push(now, node, Event::Up { peer: to, conn });
        self.push(now, to, Event::Up { peer: node, conn });
    }

    fn carry(&mut self, node: Node) {
        let now = self.now;
        let Some(membership) = self.machines.get_mut(&node).and_then(|machine| machine.membership.as_mut())
        else {
            return;
        };
        let effects = membership.take_effects();
        let wake = membership.next_deadline().max(now + 1);
        if self.machines[&node].tick_at <= now || wake < self.machines[&node].tick_at {
            self.machines.get_mut(&node).expect("known").tick_at = wake;
            let late = self.below(200) as Micros;
            self.push(wake + late, node, Event::Tick);
        }
        for effect in effects {
            if self.trace {
                println!("{:>9.3} {:>4} {:?}", (now - 1_000 * S) as f64 / 1e6, node.0, effect);
            }
            match effect {
                Effect::OpenLink { to } => {
                    self.count += 1;
                    self.dials.insert((node, to), self.count);
                    let (at, id) = (now + 2 * self.delay_or(node, to), self.count);
                    self.push(at, node, Event::Dial { to, id });
                }
                Effect::CloseLink { to } => {
                    self.dials.remove(&(node, to));
                    if let Some(conn) = self.conns.remove(&pair(node, to)) {
                        if !self.cuts.contains(&(node, to)) {
                            let at = now + self.delay(node, to);
                            self.push(at, to, Event::Down { peer: node, conn: conn.id });
                        }
                    }
                }
                Effect::SendMessage { to, message } => self.send(node, to, message),
                Effect::SendDatagram { to, datagram } => {
                    let bytes = bitcode::encode(&datagram).len() as u64;
                    self.traffic.datagrams += 1;
                    self.count_bytes(node, to, bytes, false);
                    let lost = self.below(1_000) < self.loss;
                    let open = self.machines.get(&to).is_some_and(|machine| machine.membership.is_some());
                    if open && !lost && !self.cuts.contains(&(node, to)) {
                        let at = now + self.delay(node, to);
                        self.push(at, to, Event::Datagram { from: node, datagram });
                    }
                }
                Effect::Probe { node: about } => {
                    let machine = &self.machines[&about];
                    let cut = self.cuts.contains(&(node, about)) || self.cuts.contains(&(about, node));
                    let ok = machine.membership.is_some() && !cut;
                    let at = now + if machine.on && !cut { 2 * self.delay(node, about) } else { 500 * MS };
                    self.push(at, node, Event::Tried { about, ok });
                }
                Effect::RecordChanged(record) if record.gone => self.gone.push((now, node, record.node)),
                // Nothing later than what it began with may be counted on.
                Effect::ConfirmRevisions { request_id } => {
                    self.reads.0 += 1;
                    let revisions = self.acked.iter().map(|(key, at)| (key.clone(), *at)).collect();
                    self.push(now + self.read_delay, node, Event::Confirm { request_id, revisions });
                }
                Effect::RecordChanged(_) | Effect::EntryChanged { .. } => (),
            }
        }
        self.judge_freshness(node);
    }

    /// One that calls itself current has all that a majority had acknowledged before it started, and stays so; one that
    /// doesn't know has waited for the whole bound.
    fn judge_freshness(&mut self, node: Node) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let Some(membership) = &machine.membership else { return };
        let (before, after) = (machine.freshness, membership.freshness());
        if before == after {
            return;
        }
        assert_eq!(before, Freshness::Waiting, "{node:?} was ready, and is {after:?}");
        match after {
            Freshness::Current { .. } => {
                self.judged.0 += u64::from(!machine.must.is_empty());
                for (key, revision) in &machine.must {
                    let has = membership.control_entry(key).map(|page| *page.0);
                    if has < Some(*revision) {
                        let found = format!("{node:?} is current with {key} {has:?}, not {revision:?}");
                        assert!(self.mutation.is_some(), "{found}");
                        self.found.push(found);
                    }
                }
            }
            _ => {
                self.judged.1 += 1;
                assert!(now - machine.started >= READINESS_TIMEOUT, "{node:?} is ready too early: {after:?}");
            }
        }
        machine.freshness = after;
    }

    /// Whether more than half of the core machines run, and are reached from this one.
    pub fn majority(&self, node: Node) -> bool {
        let reached = |other: &Node| {
            let machine = &self.machines[other];
            let cut = self.cuts.contains(&(node, *other)) || self.cuts.contains(&(*other, node));
            machine.membership.is_some() && machine.frozen_until <= self.now && !cut
        };
        (0..3).map(control_node).filter(reached).count() >= 2
    }

    /// A change is acknowledged through a core machine, if it reaches a majority.
    pub fn acknowledge(&mut self, node: Node, key: &str, revision: Revision) -> bool {
        let done = self.majority(node);
        if done {
            self.acked.insert(key.to_string(), revision);
            self.publish(node, key, revision);
        }
        done
    }

    fn delay_or(&self, a: Node, b: Node) -> Micros {
        if self.machines.contains_key(&b) {
            self.delay(a, b)
        } else {
            S
        }
    }

    fn count_bytes(&mut self, from: Node, to: Node, bytes: u64, news: bool) {
        let bytes = bytes + HEADER;
        self.traffic.bytes += bytes;
        self.traffic.news += u64::from(news);
        if self.machines[&from].zone != self.machines[&to].zone {
            self.traffic.crossing += 1;
            self.traffic.crossing_bytes += bytes;
            self.traffic.news_crossing += u64::from(news);
        }
    }

    fn send(&mut self, node: Node, to: Node, message: MembershipMessage<Body>) {
        let (now, delay) = (self.now, self.delay(node, to));
        let cut = self.cuts.contains(&(node, to));
        self.traffic.messages += 1;
        let bytes = bitcode::encode(&message).len() as u64;
        self.count_bytes(node, to, bytes, matches!(message, MembershipMessage::Update { .. }));
        let Some(conn) = self.conns.get_mut(&pair(node, to)) else {
            if !cut {
                self.push(now + 2 * delay, node, Event::Down { peer: to, conn: 0 });
            }
            return;
        };
        if cut || conn.lost {
            conn.lost = true;
            return;
        }
        let arrival = conn.arrival.entry(to).or_insert(0);
        *arrival = (*arrival).max(now + delay);
        let (at, id) = (*arrival, conn.id);
        self.push(at, to, Event::MembershipMessage { from: node, conn: id, message });
    }

    /// What is amiss: each living node has to know exactly the living ones, as they are, and the newest pages.
    pub fn disagreement(&self) -> Option<String> {
        let living = self.living();
        let truth: Vec<NodeRecord<Body>> =
            living.iter().map(|node| self.membership(*node).record(*node).expect("own").clone()).collect();
        let truth: Vec<_> = truth.into_iter().filter(|record| !record.gone).collect();
        let mut entries: BTreeMap<String, Revision> = BTreeMap::new();
        for node in &living {
            for (key, revision, _) in self.membership(*node).control_entries() {
                let newest = entries.entry(key.to_string()).or_insert(*revision);
                *newest = (*newest).max(*revision);
            }
        }
        for node in &living {
            let known: Vec<_> =
                self.membership(*node).records().filter(|record| !record.gone).cloned().collect();
            if known != truth {
                let wrong = truth.iter().filter(|record| !known.contains(record)).map(|record| record.node.0);
                let extra = known.iter().filter(|record| !truth.contains(record)).map(|record| record.node.0);
                let (wrong, extra): (Vec<_>, Vec<_>) = (wrong.collect(), extra.collect());
                return Some(format!("{node:?} misses {wrong:?}, believes {extra:?}"));
            }
            let held = self
                .membership(*node)
                .control_entries()
                .map(|(key, revision, _)| (key.to_string(), *revision));
            if held.collect::<BTreeMap<_, _>>() != entries {
                return Some(format!("{node:?} has old pages"));
            }
        }
        None
    }

    /// Runs until all agree; how long that took.
    pub fn until_agreed(&mut self, most: Micros) -> Result<Micros, String> {
        let begin = self.now;
        loop {
            match self.disagreement() {
                None => return Ok(self.now - begin),
                Some(what) if self.now - begin >= most => return Err(what),
                Some(_) => self.run(MS),
            }
        }
    }

    /// Runs until all living nodes but some have the page; how long that took.
    pub fn until_page(&mut self, key: &str, revision: Revision, most: Micros) -> Result<Micros, Vec<Node>> {
        let begin = self.now;
        loop {
            let lacks =
                |node: &Node| self.membership(*node).control_entry(key).is_none_or(|page| *page.0 < revision);
            let lacking: Vec<Node> = self.living().into_iter().filter(lacks).collect();
            if lacking.is_empty() {
                return Ok(self.now - begin);
            }
            if self.now - begin >= most {
                return Err(lacking);
            }
            self.run(MS);
        }
    }

    pub fn publish(&mut self, node: Node, key: &str, revision: Revision) {
        let now = self.now;
        self.with(node, |membership| membership.publish(now, key, revision, vec![7; 100]));
    }

    /// Links between zones.
    pub fn crossing_links(&self) -> usize {
        self.conns.keys().filter(|(a, b)| self.machines[a].zone != self.machines[b].zone).count()
    }

    pub fn children(&self, node: Node) -> Vec<Node> {
        self.living().into_iter().filter(|other| self.membership(*other).parent() == Some(node)).collect()
    }
}
