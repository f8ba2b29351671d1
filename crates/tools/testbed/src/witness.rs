//! Judges what clients were told by what stations ran.
use crate::client::{Came, Kind};
use crate::line::Asked;
use crate::station::{body, stamp, Runs};

/// One try and what came of it.
#[derive(Clone, Debug)]
pub struct Tried {
    /// `Attempt-Id`.
    pub id: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Its path.
    pub target: String,
    /// The service on the machine where it began.
    pub sender: String,
    /// What it carried.
    pub body: Vec<u8>,
    /// How it ended.
    pub came: Came,
}

/// The verdict over many tries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Judged {
    /// Tries.
    pub tried: usize,
    /// 2xx, whole, with the right stamp.
    pub served: usize,
    /// Told to come back (429, 503, 408, 421), and never ran.
    pub promised: usize,
    /// Ended with no promise.
    pub failed: usize,
    /// Never sent: no connection.
    pub not_sent: usize,
    /// Faults, in words: run twice, a promise broken, an answer that is wrong.
    pub faults: Vec<String>,
}

/// Why a 2xx is not the right answer, if it is not.
fn wrong(tried: &Tried, answer: &crate::line::Answer) -> Option<String> {
    let given = answer.stamp.clone().unwrap_or_default();
    let station = given.split('.').next().unwrap_or_default();
    if given.is_empty() || given != stamp(station, &tried.id, &answer.body) {
        return Some(format!("stamp {given:?}"));
    }
    let asked = Asked {
        id: Some(tried.id.clone()),
        sender: Some(tried.sender.clone()),
        target: tried.target.clone(),
        body: tried.body.clone(),
        ..Asked::default()
    };
    let wanted = body(station, &asked);
    (answer.body != wanted.as_bytes())
        .then(|| format!("{:?} instead of {wanted:?}", String::from_utf8_lossy(&answer.body)))
}

/// Judge all tries, once nothing is at work any more.
pub fn judge(all: &[Tried], runs: &Runs) -> Judged {
    let mut judged = Judged { tried: all.len(), ..Judged::default() };
    for t in all {
        let ran = runs.of(&t.id);
        if t.kind != Kind::Safe && ran.len() > 1 {
            judged.faults.push(format!("{} ({}) ran at {ran:?}", t.id, t.kind.word()));
        }
        match &t.came {
            Came::NotSent => judged.not_sent += 1,
            Came::Lost => judged.failed += 1,
            Came::Answer(a) if (200..300).contains(&a.status) => {
                match wrong(t, a) {
                    Some(why) => judged.faults.push(format!("{} ({}): {why}", t.id, t.kind.word())),
                    None => judged.served += 1,
                }
                if ran.is_empty() {
                    judged.faults.push(format!("{}: {} without a run", t.id, a.status));
                }
            }
            Came::Answer(a) if matches!(a.status, 429 | 503 | 408 | 421) => {
                judged.promised += 1;
                if t.kind != Kind::Safe && !ran.is_empty() {
                    judged.faults.push(format!("{} ({}): {} but it ran", t.id, t.kind.word(), a.status));
                }
            }
            Came::Answer(_) => judged.failed += 1,
        }
    }
    judged
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::line::Answer;

    fn tried(kind: Kind, status: u16, stamped: bool) -> Tried {
        let asked =
            Asked { id: Some("1".into()), sender: Some("s".into()), target: "/t".into(), ..Asked::default() };
        let body = body("i-1", &asked).into_bytes();
        let stamp = stamped.then(|| stamp("i-1", "1", &body));
        let came = Came::Answer(Box::new(Answer { status, stamp, body, ..Answer::default() }));
        Tried { id: "1".into(), kind, target: "/t".into(), sender: "s".into(), body: Vec::new(), came }
    }

    #[test]
    fn what_is_wrong_is_seen() {
        let (none, once, twice) = (Runs::default(), Runs::default(), Runs::default());
        once.began("1", "i-1");
        twice.began("1", "i-1");
        twice.began("1", "i-2");
        for (kind, status, stamped, runs, faults) in [
            (Kind::Safe, 200, true, &once, 0),
            (Kind::Safe, 200, true, &twice, 0),
            (Kind::Safe, 200, false, &once, 1),
            (Kind::Safe, 200, true, &none, 1),
            (Kind::Unsafe, 200, true, &twice, 1),
            (Kind::Upload, 503, false, &once, 1),
            (Kind::Unsafe, 503, false, &none, 0),
            (Kind::Unsafe, 502, false, &once, 0),
        ] {
            let judged = judge(&[tried(kind, status, stamped)], runs);
            assert_eq!(judged.faults.len(), faults, "{kind:?} {status} {stamped} {judged:?}");
        }
    }
}
