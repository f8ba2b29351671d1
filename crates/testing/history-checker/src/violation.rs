//! The promises, and how a broken one is reported.

use silvercross_time::Instant;
use std::collections::BTreeMap;
use std::fmt;

/// Violations of one property that are kept with their text; all are counted.
pub const MAX_VIOLATION_SAMPLES: usize = 5;

/// What is promised. The tables at the top of [`crate::membership`] and [`crate::idempotency`] put each into words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Property {
    /// A healthy, reachable member is listed as failed.
    HeldFailed,
    /// A running member is not listed.
    NotFound,
    /// A member that has ended is listed as there.
    Ghost,
    /// An incarnation went back.
    Backwards,
    /// Two processes take part under one identity.
    TwoOfOne,
    /// A process with an empty folder has an identity of before.
    Reborn,
    /// A member that never left is not counted as sending.
    Halved,
    /// A drain didn't reach everybody.
    DrainUnheard,
    /// A drain was forgotten.
    DrainLost,
    /// Operations on a key are not linearizable.
    NotLinear,
    /// A keyed request had its effect more than once.
    Twice,
    /// An answer that was marked as final has changed.
    MarkLost,
    /// Something was not answered in time after all was healed.
    Unanswered,
}

impl Property {
    /// The name in figures, scripts' expectations and documents.
    pub const fn name(self) -> &'static str {
        match self {
            Property::HeldFailed => "held_failed",
            Property::NotFound => "not_found",
            Property::Ghost => "ghost",
            Property::Backwards => "backwards",
            Property::TwoOfOne => "two_of_one",
            Property::Reborn => "reborn",
            Property::Halved => "halved",
            Property::DrainUnheard => "drain_unheard",
            Property::DrainLost => "drain_lost",
            Property::NotLinear => "not_linear",
            Property::Twice => "twice",
            Property::MarkLost => "mark_lost",
            Property::Unanswered => "unanswered",
        }
    }
}

impl fmt::Display for Property {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A promise that was broken, with the shortest piece of history that shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which property.
    pub property: Property,
    /// When.
    pub at: Instant,
    /// What was seen.
    pub text: String,
}

/// The violations of one check.
#[derive(Clone, Debug, Default)]
pub struct ViolationLog {
    /// [`MAX_VIOLATION_SAMPLES`] of each property, in the order they were found.
    pub samples: Vec<Violation>,
    /// How many there are of each.
    pub counts: BTreeMap<Property, usize>,
}

impl ViolationLog {
    /// Notes one.
    pub(crate) fn push(&mut self, property: Property, at: Instant, text: String) {
        let count = self.counts.entry(property).or_default();
        *count += 1;
        if *count <= MAX_VIOLATION_SAMPLES {
            self.samples.push(Violation { property, at, text });
        }
    }

    /// How many there are of all properties.
    pub fn total(&self) -> usize {
        self.counts.values().sum()
    }
}
