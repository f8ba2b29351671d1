//! What still has to be told, and how often it has been: the least told goes first (SWIM, 4.1).
use crate::config::{RETELL, RUMOURS_MOST};
use crate::drains::Drain;
use crate::identity::{Identity, Incarnation};
use crate::table::Card;
use serde::{Deserialize, Serialize};

/// A piece of news, as it is carried along with other messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumour {
    /// A member's word of itself.
    Alive(Card),
    /// Somebody got no answer from it.
    Suspect {
        /// Whom.
        id: Identity,
        /// At which of its incarnations.
        incarnation: Incarnation,
        /// Who got none.
        by: Identity,
    },
    /// It did not refute in time.
    Failed {
        /// Who.
        id: Identity,
        /// At which of its incarnations.
        incarnation: Incarnation,
        /// By whose clock.
        by: Identity,
    },
    /// It says that it leaves.
    Left {
        /// Who.
        id: Identity,
        /// At which of its incarnations.
        incarnation: Incarnation,
    },
    /// An upstream drains.
    Drain(Drain),
}

impl Rumour {
    /// Whether this makes an older rumour needless.
    fn replaces(&self, old: &Rumour) -> bool {
        match (self.about(), old.about()) {
            (Some(a), Some(b)) => a == b,
            (None, None) => {
                matches!((self, old), (Rumour::Drain(a), Rumour::Drain(b)) if a.host == b.host)
            }
            _ => false,
        }
    }

    /// Which member it is about.
    pub fn about(&self) -> Option<Identity> {
        match self {
            Rumour::Alive(card) => Some(card.id),
            Rumour::Suspect { id, .. } | Rumour::Failed { id, .. } | Rumour::Left { id, .. } => Some(*id),
            Rumour::Drain(_) => None,
        }
    }
}

#[derive(Debug)]
struct Hot {
    rumour: Rumour,
    told: u32,
    bytes: usize,
}

/// The rumours that are still told.
#[derive(Debug, Default)]
pub struct Rumours {
    hot: Vec<Hot>,
}

/// How often a rumour is told in a fleet of so many.
pub fn retell(fleet: usize) -> u32 {
    RETELL * (usize::BITS - fleet.max(1).leading_zeros())
}

impl Rumours {
    /// Tell this from now on, in place of what it replaces.
    pub fn add(&mut self, rumour: Rumour) {
        self.hot.retain(|h| !rumour.replaces(&h.rumour));
        if self.hot.len() >= RUMOURS_MOST {
            let most = self.hot.iter().enumerate().max_by_key(|(_, h)| h.told).map(|(i, _)| i);
            most.into_iter().for_each(|i| drop(self.hot.swap_remove(i)));
        }
        let bytes = postcard::to_stdvec(&rumour).map_or(usize::MAX, |b| b.len());
        self.hot.push(Hot { rumour, told: 0, bytes });
    }

    /// Nothing is told of a member any more.
    pub fn drop_about(&mut self, id: Identity) {
        self.hot.retain(|h| h.rumour.about() != Some(id));
    }

    /// Whether anything still has to be told.
    pub fn is_empty(&self) -> bool {
        self.hot.is_empty()
    }

    /// The least told ones that fit into so many bytes; each counts as told once more. `first` goes first if it is there.
    pub fn take(&mut self, mut room: usize, fleet: usize, first: Option<Identity>) -> Vec<Rumour> {
        if self.hot.is_empty() {
            return Vec::new();
        }
        self.hot.sort_by_key(|h| (first.is_none() || h.rumour.about() != first, h.told));
        let mut taken = Vec::new();
        for h in &mut self.hot {
            if h.bytes <= room {
                room -= h.bytes;
                h.told += 1;
                taken.push(h.rumour.clone());
            }
        }
        let most = retell(fleet);
        self.hot.retain(|h| h.told < most);
        taken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn left(n: u64, i: u64) -> Rumour {
        Rumour::Left { id: Identity(n), incarnation: Incarnation(i) }
    }

    #[test]
    fn each_is_told_so_often_and_then_no_more() {
        let mut r = Rumours::default();
        r.add(left(1, 1));
        let mut times = 0;
        while !r.take(1000, 12, None).is_empty() {
            times += 1;
        }
        assert_eq!(times, retell(12));
        assert!(r.is_empty());
    }

    #[test]
    fn the_least_told_goes_first_and_newer_news_replaces_older() {
        let mut r = Rumours::default();
        r.add(left(1, 1));
        r.take(1000, 12, None);
        r.add(left(2, 1));
        let room = postcard::to_stdvec(&left(2, 1)).expect("short").len();
        assert_eq!(r.take(room, 12, None), [left(2, 1)]);
        assert_eq!(r.take(room, 12, Some(Identity(1))), [left(1, 1)]);
        r.add(left(2, 5));
        assert_eq!(r.take(1000, 12, None), [left(2, 5), left(1, 1)]);
    }

    #[test]
    fn it_holds_no_more_than_its_bound() {
        let mut r = Rumours::default();
        for n in 0..RUMOURS_MOST as u64 + 10 {
            r.add(left(n + 1, 1));
        }
        assert_eq!(r.hot.len(), RUMOURS_MOST);
    }
}
