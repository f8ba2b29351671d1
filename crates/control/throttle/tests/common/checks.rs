//! Checks of each change, step and delay against the reference model, in true time.

use super::*;

impl Simulation {
    /// Checks a change by the figures of the reference model alone, in true time.
    pub(super) fn check_change(&mut self, old: &LapseState, change: &LapseChange) -> CheckResult {
        let t = self.t;
        match *change {
            LapseChange::Renew { version, .. } => {
                self.due = None;
                ensure(Some(version) > old.version, || "renewed by an edition that is not newer".into())
            }
            LapseChange::Due { at, .. } => {
                let at = at.as_micros() / SECOND - WALL_START;
                self.due = Some(at);
                let Some(LapseTime::In(span)) = self.item.lapse_time else { return Ok(()) };
                let earliest = self.item_set_at + span.as_micros() / SECOND;
                let is_current = old.version == Some(self.item.version);
                ensure(!is_current || (at >= earliest - 3 && at <= t + span.as_micros() / SECOND + 3), || {
                    format!("due at {at}, item {} at {} for {span:?}", self.item.version, self.item_set_at)
                })
            }
            LapseChange::Begin { version } => {
                self.begins += 1;
                let due = match self.item.lapse_time {
                    _ if version != self.item.version => return Ok(()),
                    Some(LapseTime::At(at)) => Some(at.as_micros() / SECOND - WALL_START),
                    _ => self.due,
                };
                ensure(due.is_some_and(|due| t >= due - 3), || format!("lapsed at {t}, due at {due:?}"))
            }
            LapseChange::Step { to, .. } => {
                self.steps += 1;
                ensure(old.begun && to == old.step + 1, || format!("step {to} after {}", old.step))?;
                let since = self.changed_at;
                ensure(t >= since + STEP_LENGTH, || format!("step {to} at {t}, the one before at {since}"))
            }
        }
    }

    pub(super) fn throttle_step(&self) -> ThrottleStep {
        throttle_step(&self.item, &self.state)
    }

    /// Checks that an available owner proposes the next step in time, that no node goes back within a version, that
    /// nodes in touch are at the committed step, and every 8 s that they decide a request alike.
    pub(super) fn check(&mut self) -> CheckResult {
        let t = self.t;
        // An undisturbed owner proposes each step in time.
        let owner = &self.nodes[self.owner];
        let state = &self.state;
        let has_next_step =
            state.begun && state.step < state.total_steps && state.version == Some(self.item.version);
        let owner_available =
            !owner.is_cut_off && owner.frozen_until < t && owner.item.version == self.item.version;
        let since = self
            .undisturbed_since
            .max(self.changed_at)
            .max(owner.reachable_since)
            .max(self.item_set_at + MAX_PROPAGATION);
        ensure(!(has_next_step && owner_available) || t <= since + STEP_LENGTH + 5, || {
            format!("step {} of {} stalls at {t}, since {since}", state.step, state.total_steps)
        })?;
        let is_settled = t > self.changed_at.max(self.item_set_at) + MAX_PROPAGATION;
        let expected = self.throttle_step();
        let mut statuses = Vec::new();
        for node_model in &mut self.nodes {
            let status = node_model.view.status(node_model.monotonic(t), &node_model.item);
            // A renewal takes effect by its item or by its lapse, whichever arrives first.
            let version = status.version;
            let (last_version, last_step) = node_model.last_shown;
            ensure(version != last_version || status.throttle_step.step >= last_step, || {
                format!("the step of a node decreased: {status:?}")
            })?;
            node_model.last_shown = (version, status.throttle_step.step);
            let is_in_touch = !node_model.is_cut_off
                && node_model.frozen_until < t
                && t > node_model.reachable_since + MAX_PROPAGATION;
            ensure(!(is_settled && is_in_touch) || status.throttle_step == expected, || {
                format!("at {t} a node in touch is at step {} instead of {expected}", status.throttle_step)
            })?;
            statuses.push((node_model.item.clone(), status.throttle_step));
        }
        if t % 8 == 0 {
            self.check_request(&statuses)?;
        }
        Ok(())
    }

    /// Checks one request on every node: nodes at the same step decide alike.
    pub(super) fn check_request(&mut self, statuses: &[(Member, ThrottleStep)]) -> CheckResult {
        let id = self.random(u64::MAX).to_le_bytes();
        let kind =
            [RouteKind::Safe, RouteKind::Safe, RouteKind::Unsafe, RouteKind::Upload][self.random(4) as usize];
        let stage =
            [RequestStage::Head, RequestStage::Head, RequestStage::BodyStarted, RequestStage::Retried]
                [self.random(4) as usize];
        let (target, remaining) = (600_000, self.random(4_000_000) as i64);
        let (latency_target, remaining_deadline) =
            (Duration::from_micros(target), Duration::from_micros(remaining));
        let request = ThrottleRequest { kind, stage, id: &id, latency_target, remaining_deadline };
        let mut first: Option<(&Member, ThrottleStep, DelayDecision)> = None;
        for (node, (member, at)) in statuses.iter().enumerate() {
            let decision = self.decide(node, member, *at, &request);
            if kind != RouteKind::Safe || stage != RequestStage::Head || at.step == 0 {
                ensure(decision == DelayDecision::Forward, || {
                    format!("{kind:?} at {stage:?}, step {at}: {decision:?}")
                })?;
            }
            let max_wait = target * 4 * i64::from(at.step) / 10 / i64::from(at.total_steps.max(1));
            match decision {
                DelayDecision::Forward => ensure(
                    request.stage != RequestStage::Head || kind != RouteKind::Safe || at.step == 0,
                    || format!("a read is not delayed at step {at}"),
                )?,
                DelayDecision::Delay(wait) => {
                    let wait = wait.as_micros();
                    ensure(wait >= max_wait / 2 && wait <= max_wait && wait <= remaining / 2, || {
                        format!("waits {wait} at {at}, {request:?}")
                    })?
                }
                DelayDecision::Reject { retry_after } => {
                    ensure(remaining / 2 < max_wait / 2 && retry_after.as_micros() == max_wait, || {
                        format!("rejected at {at}, {request:?}")
                    })?
                }
            }
            match first {
                Some((m, s, other)) if s == *at && m.throttle == member.throttle => {
                    ensure(other == decision, || {
                        format!("{other:?} on one node and {decision:?} on another at {at}")
                    })?
                }
                Some(_) => {}
                None => first = Some((member, *at, decision)),
            }
        }
        Ok(())
    }
}
