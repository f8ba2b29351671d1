//! What the links between machines do at the moment: for each direction, by the faults in force. Both drivers ask here what
//! becomes of a datagram.
use super::script::{Fault, FleetScript, Kind};
use rand_core::RngCore;
use std::collections::BTreeMap;

/// Microseconds.
pub type Micros = i64;

/// One direction between two machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Nothing gets through, and nobody is told.
    pub cut: bool,
    /// New connections are refused.
    pub refuse: bool,
    /// Connections are accepted, and nothing comes.
    pub half_open: bool,
    /// One way.
    pub delay: Micros,
    /// On top by chance, at most.
    pub jitter: Micros,
    /// Shares of datagrams.
    pub loss: f64,
    /// That come twice.
    pub duplicate: f64,
    /// That come later than what follows.
    pub reorder: f64,
    /// With one byte that is another.
    pub spoil: f64,
    /// That come once more much later.
    pub replay: f64,
    /// Bytes a second; 0: as many as there are.
    pub rate: f64,
}

impl Link {
    /// Whether datagrams get through at all.
    pub fn is_open(&self) -> bool {
        !(self.cut || self.refuse || self.half_open)
    }
}

/// All links.
pub struct Links {
    base: Link,
    special: BTreeMap<(usize, usize), Link>,
    in_force: Vec<(usize, Fault)>,
    members: usize,
}

/// A datagram on its way: after how long it arrives, and with which of its bits turned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Copy {
    /// After this.
    pub after: Micros,
    /// This bit of it is the other one.
    pub spoilt: Option<usize>,
}

impl Links {
    /// As the script has them when nothing is broken.
    pub fn new(script: &FleetScript) -> Self {
        let base = Link {
            cut: false,
            refuse: false,
            half_open: false,
            delay: (script.fleet.delay_ms * 1e3) as Micros,
            jitter: (script.fleet.jitter_ms * 1e3) as Micros,
            loss: script.fleet.loss,
            duplicate: 0.0,
            reorder: 0.0,
            spoil: 0.0,
            replay: 0.0,
            rate: 0.0,
        };
        Links { base, special: BTreeMap::new(), in_force: Vec::new(), members: script.fleet.members }
    }

    /// The link from one machine to another.
    pub fn of(&self, from: usize, to: usize) -> Link {
        self.special.get(&(from, to)).copied().unwrap_or(self.base)
    }

    /// A fault on links begins; `number` tells it when it ends.
    pub fn begin(&mut self, number: usize, fault: &Fault) {
        self.in_force.push((number, fault.clone()));
        self.work_out();
    }

    /// It is over.
    pub fn end(&mut self, number: usize) {
        self.in_force.retain(|(n, _)| *n != number);
        self.work_out();
    }

    fn work_out(&mut self) {
        self.special.clear();
        for (_, f) in &self.in_force {
            let all: Vec<usize> = (0..self.members).collect();
            let who = if f.who.is_empty() { &all } else { &f.who };
            let others: Vec<usize> =
                all.iter().copied().filter(|m| f.who.is_empty() || !f.who.contains(m)).collect();
            let to = if f.to.is_empty() { &others } else { &f.to };
            for a in who {
                for b in to.iter().filter(|b| *b != a) {
                    for pair in [(*a, *b), (*b, *a)].into_iter().take(if f.one_way { 1 } else { 2 }) {
                        let link = self.special.entry(pair).or_insert(self.base);
                        match f.kind {
                            Kind::Cut => link.cut = true,
                            Kind::Refuse => link.refuse = true,
                            Kind::HalfOpen => link.half_open = true,
                            Kind::Delay => link.delay = link.delay.max((f.much * 1e3) as Micros),
                            Kind::Loss => link.loss = link.loss.max(f.much),
                            Kind::Duplicate => link.duplicate = f.much,
                            Kind::Reorder => link.reorder = f.much,
                            Kind::Slow => link.rate = f.much,
                            Kind::Spoil => link.spoil = f.much,
                            Kind::Replay => link.replay = f.much,
                            _ => {}
                        }
                    }
                }
            }
        }
    }

    /// Whether any fault is in force.
    pub fn are_broken(&self) -> bool {
        !self.in_force.is_empty()
    }

    /// All directions that datagrams don't get through.
    pub fn cut(&self) -> Vec<(usize, usize)> {
        // What loses or holds up nearly everything is as good as cut.
        let gone = |l: &Link| !l.is_open() || l.loss >= 0.3 || l.rate > 0.0 || l.spoil >= 0.3;
        self.special.iter().filter(|(_, l)| gone(l)).map(|(pair, _)| *pair).collect()
    }

    /// What becomes of a datagram of so many bytes; `period` bounds how late a replay is.
    pub fn carry(
        &self,
        from: usize,
        to: usize,
        bytes: usize,
        period: Micros,
        rng: &mut impl RngCore,
    ) -> Vec<Copy> {
        let l = self.of(from, to);
        let mut chance = |share: f64| share > 0.0 && (rng.next_u32() as f64 / u32::MAX as f64) < share;
        if !l.is_open() || chance(l.loss) {
            return Vec::new();
        }
        let (twice, late, spoilt, again) =
            (chance(l.duplicate), chance(l.reorder), chance(l.spoil), chance(l.replay));
        let mut after = l.delay;
        if l.rate > 0.0 {
            after += (bytes as f64 / l.rate * 1e6) as Micros;
        }
        let mut some = |most: Micros| if most > 0 { Micros::from(rng.next_u32()) % most } else { 0 };
        after += some(l.jitter);
        if late {
            after += some(period / 2);
        }
        let spoilt = spoilt.then(|| some(bytes as Micros * 8) as usize);
        let mut copies = vec![Copy { after, spoilt }];
        if twice {
            copies.push(Copy { after: after + some(period / 4), spoilt: None });
        }
        if again {
            copies.push(Copy { after: after + period + some(20 * period), spoilt: None });
        }
        copies
    }
}
