//! What the list service tells, and when it is asked.
use super::*;

impl Balancer {
    pub(super) fn on_list(&mut self, kind: ListKind, entries: &[Entry], out: &mut Vec<Action>) {
        match kind {
            ListKind::Broken => {
                // The list service is small: back off, spread by chance, so that no storm keeps it down.
                let failures = (self.list_failures + 1).min(4);
                (self.subscribed, self.asked, self.list_failures) = (false, false, failures);
                let (wait, few) = ((S << self.list_failures) / 2, Micros::from(self.set.instances));
                return self.ask_in(wait.min(S * few), out);
            }
            // What the last service did tells nothing of this one, and its news may be due at once.
            ListKind::Moved => {
                (self.subscribed, self.asked, self.list_failures) = (false, true, 0);
                return out.push(Action::Subscribe(true));
            }
            // All may start at once: spread the first calls too.
            ListKind::StaleCopy if self.set.list_on_request => self.ask_in(S / 2, out),
            ListKind::StaleCopy => {}
            ListKind::Patch | ListKind::Snapshot => {
                (self.subscribed, self.list_failures) = (self.subscribed || self.asked, 0)
            }
        }
        if kind != ListKind::Patch {
            self.upstreams.iter_mut().for_each(|u| u.listed = false);
        }
        let most = self.usual_most();
        for e in entries {
            let i = e.upstream.0 as usize;
            let (first_turn, known) = (self.random(), self.upstreams.len());
            let blank = |id| Upstream::new(Entry { upstream: UpstreamId(id as u32), ..*e });
            self.upstreams.extend((known..=i).map(blank));
            for j in known..=i {
                let at = (self.rng.next_u64() % (j as u64 + 1)) as usize;
                self.ring.insert(at, j);
            }
            let u = &mut self.upstreams[i];
            if i >= known || e.last_start > u.entry.last_start || u.entry.lifecycle == Lifecycle::Gone {
                // A new process, cold again, or another one under a number that is free: no history. Hundreds
                // start at different points of rotation and cold budget.
                *u = Upstream { out: u.out, work_out: u.work_out, ..Upstream::new(*e) };
                (u.turns, u.saved, u.saved_at) = (first_turn, -first_turn * most, self.now);
            }
            u.entry = *e;
            u.listed = e.lifecycle == Lifecycle::Running;
            let (kinds, zones) = (self.kinds.len().max(e.kind as usize + 1), e.zone as usize + 1);
            self.kinds.resize(kinds, Kind::new(self.now));
            self.zones.resize(self.zones.len().max(zones), Seen { slow: 1.0, fed: LONG_AGO });
        }
    }

    fn ask_in(&mut self, span: Micros, out: &mut Vec<Action>) {
        let after = (span as f64 * (0.5 + self.random())) as Micros;
        out.push(Action::Timer { after, token: LIST_TOKEN });
    }
}
