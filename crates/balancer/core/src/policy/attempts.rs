//! Attempts of a request: sent, given up, sent again, ended.
use super::*;

/// First-answer limit: this many usual latencies, but between these shares of the aim.
const LIMIT_USUAL: f64 = 8.0;
const LIMIT_AIM: (f64, f64) = (0.4, 1.0);
/// Refuse what would meet its aim more seldom than this, by how far answers are seen to overrun what was
/// expected, within these bounds: blind placement among many scatters them.
const IN_TIME_LEAST: f64 = 0.7;
const SPREAD: (f64, f64) = (0.4, 3.0);
const SPREAD_STEP: f64 = 0.1;
/// A queue clears in about this time: a client turned away need not come back sooner.
const RETURN: Micros = S;

impl Balancer {
    pub(super) fn send(&mut self, id: RequestId, p: &mut Pending, i: usize, out: &mut Vec<Action>) {
        let (now, work, limit) = (self.now, p.work, self.first_answer(p.class, p.work));
        let own_limit = limit < p.deadline - now;
        // Where no second copy may go out, a late first answer has to be given up before another is tried.
        let c = &self.set.classes[p.class];
        let retry = c.effect != Effect::Once && !self.set.may_hedge;
        let more = p.attempts.len() + 1 < p.cap && c.max_receivers.is_none_or(|most| p.received() + 1 < most);
        let cut = own_limit && retry && more && now + limit < p.aim_at;
        let expected = self.slowness(&self.upstreams[i]) * (work + self.upstreams[i].work_out);
        // A stated cold rate is of requests, not of work: each costs a usual one.
        let paid = if self.set.cold_rate.is_some() { self.usual_most() } else { work };
        let u = &mut self.upstreams[i];
        (u.saved, u.out, u.work_out) = (u.saved - paid, u.out + 1, u.work_out + work);
        let scout = u.excluded();
        u.scouts += scout as u32;
        p.attempts.push(Attempt { expected, ..Attempt::new(i, now, scout, cut) });
        p.out += 1;
        out.push(Action::Send { request: id, upstream: u.entry.upstream, limit: cut.then_some(limit) });
        if own_limit && !cut {
            out.push(Action::Timer { after: limit, token: id.0 });
        }
    }

    /// Our own first-answer limit: well above the usual latency of such a request.
    fn first_answer(&self, class: usize, work: f64) -> Micros {
        let aim = self.set.classes[class].latency_target as f64;
        (work * LIMIT_USUAL).clamp(aim * LIMIT_AIM.0, aim * LIMIT_AIM.1) as Micros
    }

    /// A first-answer limit has passed: it counts, and a second copy goes out where one may.
    pub(super) fn review(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut p) = self.pending.remove(&id) else { return };
        let limit = self.first_answer(p.class, p.work);
        let due = |a: &&mut Attempt| a.ended.is_none() && !a.suspected && self.now >= a.sent + limit - MS;
        let due: Vec<_> = p.attempts.iter_mut().filter(due).collect();
        let late = !due.is_empty();
        for a in due {
            a.suspected = true;
            self.failure(a.upstream, a.sent);
        }
        if late && !p.over && !p.streaming && self.set.may_hedge {
            self.again(id, &mut p, 1.0, out);
        }
        self.pending.insert(id, p);
    }

    /// One more attempt, if rules, time and the retry budget allow.
    fn again(&mut self, id: RequestId, p: &mut Pending, cost: f64, out: &mut Vec<Action>) -> bool {
        let c = &self.set.classes[p.class];
        let end = if c.late_value_share > 0.0 { p.deadline } else { p.deadline.min(p.aim_at) };
        if p.attempts.len() >= p.cap
            || c.max_receivers.is_some_and(|most| p.received() >= most)
            || (p.out > 0 && !self.set.may_hedge)
            || (self.now as f64 + p.work * 0.5 > end as f64)
            || self.retry_tokens < cost
        {
            return false;
        }
        let Some((i, _)) = self.pick(p) else { return false };
        self.retry_tokens -= cost;
        self.send(id, p, i, out);
        true
    }

    pub(super) fn on_ended(&mut self, e: Ended, out: &mut Vec<Action>) {
        let (id, outcome) = (e.request, e.outcome);
        let Some(mut p) = self.pending.remove(&id) else { return };
        let Some(a) = p.attempts.get_mut(e.attempt as usize).filter(|a| a.ended.is_none()) else {
            return drop(self.pending.insert(id, p));
        };
        a.ended = Some(outcome);
        let a = *a;
        p.out -= 1;
        let (work, u) = (p.work, &mut self.upstreams[a.upstream]);
        u.out = u.out.saturating_sub(1);
        u.work_out = if u.out == 0 { 0.0 } else { (u.work_out - work).max(0.0) };
        u.scouts -= (a.scout && u.scouts > 0) as u32;
        if matches!(outcome, Outcome::Served | Outcome::TimedOut) {
            let over = f64::from(e.elapsed as f64 > a.expected * self.spread) - 1.0 + IN_TIME_LEAST;
            self.spread = (self.spread * (1.0 + SPREAD_STEP * over)).clamp(SPREAD.0, SPREAD.1);
        }
        match outcome {
            // Signs of life. A full queue would have taken the aim at least: it tells of crowding.
            Outcome::Served | Outcome::Error | Outcome::Rejected => {
                self.life(a.upstream);
                let served = outcome == Outcome::Served;
                let of_kind = &mut self.kinds[self.upstreams[a.upstream].entry.kind as usize].served;
                of_kind.add(self.now, RATE_OVER, if served { work } else { 0.0 });
                let took = if served { e.elapsed } else { self.set.classes[p.class].latency_target };
                self.learn(p.class, p.unit, a.upstream, took, outcome != Outcome::Error);
            }
            Outcome::TimedOut if a.own_limit && !a.suspected => self.failure(a.upstream, a.sent),
            Outcome::ConnectFailed | Outcome::Reset => self.failure(a.upstream, a.sent),
            // The client's time was up: no fault of the upstream's is proven, but that long it took at least.
            Outcome::TimedOut => self.learn(p.class, p.unit, a.upstream, e.elapsed, true),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        if e.request_over || outcome == Outcome::Served {
            p.over = true;
            self.call_off(id, &mut p, None, out);
        }
        let cost = f64::from(!matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed));
        if !p.over && !p.streaming && !self.again(id, &mut p, cost, out) && p.out == 0 {
            self.give_up(id, &mut p, out);
        }
        if !p.over || p.out > 0 {
            self.pending.insert(id, p);
        }
    }

    fn call_off(&mut self, id: RequestId, p: &mut Pending, keep: Option<u32>, out: &mut Vec<Action>) {
        if !self.set.may_cancel {
            return;
        }
        let still = |a: &(usize, &mut Attempt)| a.1.ended.is_none() && !a.1.ordered_off;
        let other = |a: &(usize, &mut Attempt)| keep != Some(a.0 as u32);
        for (k, a) in p.attempts.iter_mut().enumerate().filter(still).filter(other) {
            a.ordered_off = true;
            out.push(Action::Cancel { request: id, attempt: k as u32 });
        }
    }

    pub(super) fn on_stream(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Action>) {
        let Some(mut p) = self.pending.remove(&id) else { return };
        p.streaming = true;
        p.attempts.get(attempt as usize).map(|a| a.upstream).into_iter().for_each(|u| self.life(u));
        // The client has one answer begun: other copies are of no use.
        self.call_off(id, &mut p, Some(attempt), out);
        self.pending.insert(id, p);
    }

    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut p) = self.pending.remove(&id) else { return };
        p.over = true;
        self.call_off(id, &mut p, None, out);
        if p.out > 0 {
            self.pending.insert(id, p);
        }
    }

    /// The final answer of a request given up on: at once, and a refusal only where a new try does no harm.
    pub(super) fn give_up(&mut self, request: RequestId, p: &mut Pending, out: &mut Vec<Action>) {
        p.over = true;
        let harmless = matches!(self.allowed(p), Some(None | Some((DedupGroup::All, _))));
        // Coming back pays only while the aim can still be met; else stay away longest.
        let slack = p.aim_at - self.now - 2 * p.work as Micros;
        let soon = if slack > RETURN { RETURN } else { slack / 2 };
        let retry_after = self.set.max_retry_after.map(|m| if slack > 0 { soon.min(m) } else { m });
        out.push(if harmless { Action::Refuse { request, retry_after } } else { Action::Fail { request } });
    }
}
