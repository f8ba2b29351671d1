//! Attempts of a request: sending, first-answer limit, hedging, retries, outcomes, final answer.
use super::*;

/// First-answer limit: this many typical response times, between these shares of the latency target.
const LIMIT_TYPICAL: f64 = 8.0;
const LIMIT_TARGET: (f64, f64) = (0.4, 1.0);
/// A request that would meet its target less often than this share is refused; bounds and step of the margin
/// on expected times. Response times scatter: instances place requests without knowing of each other's.
const IN_TIME_SHARE: f64 = 0.7;
const MARGIN: (f64, f64) = (0.4, 3.0);
const MARGIN_STEP: f64 = 0.1;
/// Time in which a queue clears: the retry-after advice while the target can still be met.
const QUEUE_DRAIN: Micros = S;

impl Balancer {
    pub(super) fn send(&mut self, id: RequestId, p: &mut Pending, i: usize, out: &mut Vec<Action>) {
        let (now, work, limit) = (self.now, p.work, self.first_answer_limit(p.class, p.work));
        let own_limit = limit < p.deadline - now;
        // Without hedging, a late attempt has to be given up before the next one can be sent.
        let c = &self.cfg.classes[p.class];
        let sequential = c.repeatability != Repeatability::Once && !self.cfg.may_hedge;
        let may_add = p.attempts.len() + 1 < p.cap && c.max_receivers.is_none_or(|n| p.receivers() + 1 < n);
        let bounded = own_limit && sequential && may_add && now + limit < p.target_at;
        let expected = self.expected_slowdown(&self.upstreams[i]) * (work + self.upstreams[i].load);
        // A configured cold rate limits requests, not work: all cost the same.
        let paid = if self.cfg.cold_rate.is_some() { self.max_typical_work() } else { work };
        let u = &mut self.upstreams[i];
        (u.tokens, u.in_flight, u.load) = (u.tokens - paid, u.in_flight + 1, u.load + work);
        let trial = u.excluded();
        u.trials += trial as u32;
        p.attempts.push(Attempt { expected, ..Attempt::new(i, now, trial, bounded) });
        p.in_flight += 1;
        out.push(Action::Send { request: id, upstream: u.entry.upstream, limit: bounded.then_some(limit) });
        if own_limit && !bounded {
            out.push(Action::Timer { after: limit, token: id.0 });
        }
    }

    /// Time limit for the first answer, well above the typical response time of such a request.
    fn first_answer_limit(&self, class: usize, work: f64) -> Micros {
        let target = self.cfg.classes[class].latency_target as f64;
        (work * LIMIT_TYPICAL).clamp(target * LIMIT_TARGET.0, target * LIMIT_TARGET.1) as Micros
    }

    /// A first-answer limit has passed: counts a failure and sends a hedged attempt if allowed.
    pub(super) fn on_limit_passed(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut p) = self.pending.remove(&id) else { return };
        let limit = self.first_answer_limit(p.class, p.work);
        let due = |a: &&mut Attempt| a.outcome.is_none() && !a.overdue && self.now >= a.sent + limit - MS;
        let due: Vec<_> = p.attempts.iter_mut().filter(due).collect();
        let late = !due.is_empty();
        for a in due {
            a.overdue = true;
            self.on_failure(a.upstream, a.sent);
        }
        if late && !p.finished && !p.streaming && self.cfg.may_hedge {
            self.retry(id, &mut p, 1.0, out);
        }
        self.pending.insert(id, p);
    }

    /// Sends one more attempt if the rules, the time left and the retry budget allow.
    fn retry(&mut self, id: RequestId, p: &mut Pending, cost: f64, out: &mut Vec<Action>) -> bool {
        let c = &self.cfg.classes[p.class];
        let end = if c.late_value_share > 0.0 { p.deadline } else { p.deadline.min(p.target_at) };
        if p.attempts.len() >= p.cap
            || c.max_receivers.is_some_and(|most| p.receivers() >= most)
            || (p.in_flight > 0 && !self.cfg.may_hedge)
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

    pub(super) fn on_attempt_ended(&mut self, e: Ended, out: &mut Vec<Action>) {
        let (id, outcome) = (e.request, e.outcome);
        let Some(mut p) = self.pending.remove(&id) else { return };
        let Some(a) = p.attempts.get_mut(e.attempt as usize).filter(|a| a.outcome.is_none()) else {
            return drop(self.pending.insert(id, p));
        };
        a.outcome = Some(outcome);
        let a = *a;
        p.in_flight -= 1;
        let (work, u) = (p.work, &mut self.upstreams[a.upstream]);
        u.in_flight = u.in_flight.saturating_sub(1);
        u.load = if u.in_flight == 0 { 0.0 } else { (u.load - work).max(0.0) };
        u.trials -= (a.trial && u.trials > 0) as u32;
        if matches!(outcome, Outcome::Served | Outcome::TimedOut) {
            let overrun = f64::from(e.elapsed as f64 > a.expected * self.margin) - 1.0 + IN_TIME_SHARE;
            self.margin = (self.margin * (1.0 + MARGIN_STEP * overrun)).clamp(MARGIN.0, MARGIN.1);
        }
        match outcome {
            // Responses. A rejection is learnt as a response time of the latency target: the queue is full.
            Outcome::Served | Outcome::Error | Outcome::Rejected => {
                self.on_response(a.upstream);
                let served = outcome == Outcome::Served;
                let kind_rate = &mut self.kinds[self.upstreams[a.upstream].entry.kind as usize].work_rate;
                kind_rate.add(self.now, RATE_SPAN, if served { work } else { 0.0 });
                let took = if served { e.elapsed } else { self.cfg.classes[p.class].latency_target };
                self.learn(p.class, p.units, a.upstream, took, outcome != Outcome::Error);
            }
            Outcome::TimedOut if a.bounded && !a.overdue => self.on_failure(a.upstream, a.sent),
            Outcome::ConnectFailed | Outcome::Reset => self.on_failure(a.upstream, a.sent),
            // The client's limit: no proof of a fault, but a lower bound of the response time.
            Outcome::TimedOut => self.learn(p.class, p.units, a.upstream, e.elapsed, true),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        if e.request_over || outcome == Outcome::Served {
            p.finished = true;
            self.cancel_attempts(id, &mut p, None, out);
        }
        let cost = f64::from(!matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed));
        if !p.finished && !p.streaming && !self.retry(id, &mut p, cost, out) && p.in_flight == 0 {
            self.give_up(id, &mut p, out);
        }
        if !p.finished || p.in_flight > 0 {
            self.pending.insert(id, p);
        }
    }

    fn cancel_attempts(&mut self, id: RequestId, p: &mut Pending, keep: Option<u32>, out: &mut Vec<Action>) {
        if !self.cfg.may_cancel {
            return;
        }
        let open = |a: &(usize, &mut Attempt)| a.1.outcome.is_none() && !a.1.cancel_sent;
        let other = |a: &(usize, &mut Attempt)| keep != Some(a.0 as u32);
        for (k, a) in p.attempts.iter_mut().enumerate().filter(open).filter(other) {
            a.cancel_sent = true;
            out.push(Action::Cancel { request: id, attempt: k as u32 });
        }
    }

    pub(super) fn on_stream_started(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Action>) {
        let Some(mut p) = self.pending.remove(&id) else { return };
        p.streaming = true;
        p.attempts.get(attempt as usize).map(|a| a.upstream).into_iter().for_each(|u| self.on_response(u));
        // The client receives this attempt's response; the others are useless.
        self.cancel_attempts(id, &mut p, Some(attempt), out);
        self.pending.insert(id, p);
    }

    pub(super) fn on_request_gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut p) = self.pending.remove(&id) else { return };
        p.finished = true;
        self.cancel_attempts(id, &mut p, None, out);
        if p.in_flight > 0 {
            self.pending.insert(id, p);
        }
    }

    /// Sends the final answer: a refusal only where a retry by the client does no harm, else a failure.
    pub(super) fn give_up(&mut self, request: RequestId, p: &mut Pending, out: &mut Vec<Action>) {
        p.finished = true;
        let harmless = matches!(self.allowed_scope(p), Some(None | Some((DedupGroup::All, _))));
        // A retry is useful only while the target can still be met; otherwise advise the longest wait.
        let remaining = p.target_at - self.now - 2 * p.work as Micros;
        let soon = if remaining > QUEUE_DRAIN { QUEUE_DRAIN } else { remaining / 2 };
        let retry_after = self.cfg.max_retry_after.map(|m| if remaining > 0 { soon.min(m) } else { m });
        out.push(if harmless { Action::Refuse { request, retry_after } } else { Action::Fail { request } });
    }
}
