//! What the plain model says of each change and each delay, in true time.

use super::*;

impl World {
    /// What the model says of a change: only its own figures, in true time.
    pub(super) fn legal(&mut self, old: &LapseState, change: &LapseChange) -> Verdict {
        let t = self.t;
        match *change {
            LapseChange::Renew { version, .. } => {
                self.due = None;
                ensure(Some(version) > old.version, || "renewed by no newer edition".into())
            }
            LapseChange::Due { at, .. } => {
                let at = at.as_micros() / S - DAY;
                self.due = Some(at);
                let Some(LapseTime::In(span)) = self.item.lapse_time else { return Ok(()) };
                let least = self.item_at + span.as_micros() / S;
                let newest = old.version == Some(self.item.version);
                ensure(!newest || (at >= least - 3 && at <= t + span.as_micros() / S + 3), || {
                    format!("due at {at}, item {} at {} for {span:?}", self.item.version, self.item_at)
                })
            }
            LapseChange::Begin { version } => {
                self.begins += 1;
                let due = match self.item.lapse_time {
                    _ if version != self.item.version => return Ok(()),
                    Some(LapseTime::At(at)) => Some(at.as_micros() / S - DAY),
                    _ => self.due,
                };
                ensure(due.is_some_and(|due| t >= due - 3), || format!("lapsed at {t}, due at {due:?}"))
            }
            LapseChange::Step { to, .. } => {
                self.steps += 1;
                ensure(old.begun && to == old.step + 1, || format!("step {to} after {}", old.step))?;
                let since = self.changed;
                ensure(t >= since + STEP, || format!("step {to} at {t}, the one before at {since}"))
            }
        }
    }

    pub(super) fn throttle_step(&self) -> ThrottleStep {
        throttle_step(&self.item, &self.state)
    }

    pub(super) fn check(&mut self) -> Verdict {
        let t = self.t;
        // An owner that is let alone does not tarry.
        let owner = &self.nodes[self.owner];
        let state = &self.state;
        let ready = state.begun && state.step < state.total_steps && state.version == Some(self.item.version);
        let well = !owner.cut && owner.frozen_until < t && owner.item.version == self.item.version;
        let since = self.alone.max(self.changed).max(owner.touch).max(self.item_at + TOUCH);
        ensure(!(ready && well) || t <= since + STEP + 5, || {
            format!("step {} of {} stalls at {t}, since {since}", state.step, state.total_steps)
        })?;
        let calm = t > self.changed.max(self.item_at) + TOUCH;
        let want = self.throttle_step();
        let mut rows = Vec::new();
        for node_model in &mut self.nodes {
            let status = node_model.view.status(node_model.monotonic(t), &node_model.item);
            // A renewal takes hold by its item or by its lapse, whichever comes first.
            let version = status.version;
            let (shown, step) = node_model.shown;
            ensure(version != shown || status.throttle_step.step >= step, || {
                format!("a node went back to {status:?}")
            })?;
            node_model.shown = (version, status.throttle_step.step);
            let touch = !node_model.cut && node_model.frozen_until < t && t > node_model.touch + TOUCH;
            ensure(!(calm && touch) || status.throttle_step == want, || {
                format!("at {t} a node in touch stands at {} and not {want}", status.throttle_step)
            })?;
            rows.push((node_model.item.clone(), status.throttle_step));
        }
        if t % 8 == 0 {
            self.requests(&rows)?;
        }
        Ok(())
    }

    /// One request wherever it lands: nodes that stand alike do alike.
    pub(super) fn requests(&mut self, rows: &[(Member, ThrottleStep)]) -> Verdict {
        let id = self.draw(u64::MAX).to_le_bytes();
        let kind =
            [RouteKind::Safe, RouteKind::Safe, RouteKind::Unsafe, RouteKind::Upload][self.draw(4) as usize];
        let stage =
            [RequestStage::Head, RequestStage::Head, RequestStage::BodyStarted, RequestStage::Retried]
                [self.draw(4) as usize];
        let (target, left) = (600_000, self.draw(4_000_000) as i64);
        let (latency_target, remaining_deadline) =
            (Duration::from_micros(target), Duration::from_micros(left));
        let asked = ThrottleRequest { kind, stage, id: &id, latency_target, remaining_deadline };
        let mut first: Option<(&Member, ThrottleStep, DelayDecision)> = None;
        for (node, (member, at)) in rows.iter().enumerate() {
            let slow = self.weigh(node, member, *at, &asked);
            if kind != RouteKind::Safe || stage != RequestStage::Head || at.step == 0 {
                ensure(slow == DelayDecision::Forward, || {
                    format!("{kind:?} at {stage:?}, step {at}: {slow:?}")
                })?;
            }
            let most = target * 4 * i64::from(at.step) / 10 / i64::from(at.total_steps.max(1));
            match slow {
                DelayDecision::Forward => ensure(
                    asked.stage != RequestStage::Head || kind != RouteKind::Safe || at.step == 0,
                    || format!("a read goes on at once at step {at}"),
                )?,
                DelayDecision::Delay(wait) => {
                    let wait = wait.as_micros();
                    ensure(wait >= most / 2 && wait <= most && wait <= left / 2, || {
                        format!("waits {wait} at {at}, {asked:?}")
                    })?
                }
                DelayDecision::Reject { retry_after } => {
                    ensure(left / 2 < most / 2 && retry_after.as_micros() == most, || {
                        format!("refused at {at}, {asked:?}")
                    })?
                }
            }
            match first {
                Some((m, s, other)) if s == *at && m.throttle == member.throttle => {
                    ensure(other == slow, || {
                        format!("{other:?} on one node and {slow:?} on another at {at}")
                    })?
                }
                Some(_) => {}
                None => first = Some((member, *at, slow)),
            }
        }
        Ok(())
    }
}
