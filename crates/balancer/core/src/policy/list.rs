//! Updates of the upstream list, and when to subscribe to it.
use super::*;

impl Balancer {
    pub(super) fn on_list(&mut self, kind: ListKind, entries: &[Entry], out: &mut Vec<Action>) {
        match kind {
            ListKind::Broken => {
                // Back off with jitter: simultaneous calls of many instances would keep a small service down.
                let failures = (self.list_failures + 1).min(4);
                (self.subscribed, self.subscribe_sent, self.list_failures) = (false, false, failures);
                let (wait, instances) = ((S << self.list_failures) / 2, Micros::from(self.cfg.instances));
                return self.schedule_subscribe(wait.min(S * instances), out);
            }
            // The old service's failures say nothing about the new one: subscribe without delay.
            ListKind::Moved => {
                (self.subscribed, self.subscribe_sent, self.list_failures) = (false, true, 0);
                return out.push(Action::Subscribe(true));
            }
            // All instances may start at once: spread their first calls too.
            ListKind::StaleCopy if self.cfg.list_on_request => self.schedule_subscribe(S / 2, out),
            ListKind::StaleCopy => {}
            ListKind::Patch | ListKind::Snapshot => {
                (self.subscribed, self.list_failures) = (self.subscribed || self.subscribe_sent, 0)
            }
        }
        if kind != ListKind::Patch {
            self.upstreams.iter_mut().for_each(|u| u.in_service = false);
        }
        let max_typical = self.max_typical_work();
        for e in entries {
            let i = e.upstream.0 as usize;
            let (phase, known) = (self.random(), self.upstreams.len());
            let unknown = |id| Upstream::new(Entry { upstream: UpstreamId(id as u32), ..*e });
            self.upstreams.extend((known..=i).map(unknown));
            for j in known..=i {
                let position = (self.rng.next_u64() % (j as u64 + 1)) as usize;
                self.ring.insert(position, j);
            }
            let u = &mut self.upstreams[i];
            if i >= known || e.last_start > u.entry.last_start || u.entry.lifecycle == Lifecycle::Gone {
                // A new process, cold again, or another upstream under a reused number: no history. Instances
                // start at different points of the rotation and the cold budget.
                *u = Upstream { in_flight: u.in_flight, load: u.load, ..Upstream::new(*e) };
                (u.turn_credit, u.tokens, u.refilled_at) = (phase, -phase * max_typical, self.now);
            }
            u.entry = *e;
            u.in_service = e.lifecycle == Lifecycle::Running;
            let (kinds, zones) = (self.kinds.len().max(e.kind as usize + 1), e.zone as usize + 1);
            self.kinds.resize(kinds, KindStats::new(self.now));
            self.zones.resize(self.zones.len().max(zones), Slowdown { factor: 1.0, at: LONG_AGO });
        }
    }

    fn schedule_subscribe(&mut self, span: Micros, out: &mut Vec<Action>) {
        let after = (span as f64 * (0.5 + self.random())) as Micros;
        out.push(Action::Timer { after, token: LIST_TOKEN });
    }
}
