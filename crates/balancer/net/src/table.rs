//! A slab whose handles go stale: a handle of something removed never finds what took its place.
use slab::Slab;

/// Names one entry of a [`Table`] for as long as that entry lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle {
    index: u32,
    generation: u32,
}

impl Handle {
    /// How many entries a table may hold, so that a handle fits in 52 bits, the width of a request's id.
    pub const MAX_ENTRIES: usize = 1 << 20;

    /// As one number, below 2^52.
    pub fn number(self) -> u64 {
        u64::from(self.generation) << 20 | u64::from(self.index)
    }

    /// Back from [`Handle::number`].
    pub fn from_number(n: u64) -> Self {
        Handle { index: (n & 0xf_ffff) as u32, generation: (n >> 20) as u32 }
    }
}

/// Entries under handles.
pub struct Table<T> {
    slab: Slab<(u32, T)>,
    /// Never used twice for one index before it wraps, some four thousand million entries later.
    generation: u32,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Table { slab: Slab::new(), generation: 0 }
    }
}

impl<T> Table<T> {
    /// Add an entry made from its own handle; `None` when the table is full.
    pub fn insert_with<E>(&mut self, make: impl FnOnce(Handle) -> Result<T, E>) -> Result<Option<Handle>, E> {
        if self.slab.len() >= Handle::MAX_ENTRIES {
            return Ok(None);
        }
        let slot = self.slab.vacant_entry();
        let generation = self.generation.wrapping_add(1);
        let handle = Handle { index: slot.key() as u32, generation };
        slot.insert((generation, make(handle)?));
        self.generation = generation;
        Ok(Some(handle))
    }

    /// The entry, unless it has been removed.
    pub fn get_mut(&mut self, h: Handle) -> Option<&mut T> {
        self.slab.get_mut(h.index as usize).filter(|e| e.0 == h.generation).map(|e| &mut e.1)
    }

    /// The entry, unless it has been removed.
    pub fn get(&self, h: Handle) -> Option<&T> {
        self.slab.get(h.index as usize).filter(|e| e.0 == h.generation).map(|e| &e.1)
    }

    /// Take the entry out; its handle is stale from now on.
    pub fn remove(&mut self, h: Handle) -> Option<T> {
        self.get(h)?;
        self.slab.try_remove(h.index as usize).map(|e| e.1)
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.slab.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.slab.is_empty()
    }

    /// All entries with their handles, in slab order.
    pub fn iter(&self) -> impl Iterator<Item = (Handle, &T)> {
        self.slab.iter().map(|(i, e)| (Handle { index: i as u32, generation: e.0 }, &e.1))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn add(t: &mut Table<char>, c: char) -> Handle {
        t.insert_with(|_| Ok::<_, ()>(c)).expect("made").expect("room")
    }

    #[test]
    fn a_stale_handle_does_not_find_the_successor() {
        let mut t = Table::default();
        let a = add(&mut t, 'a');
        assert_eq!(t.remove(a), Some('a'));
        let b = add(&mut t, 'b');
        assert_eq!(a.index, b.index, "the slot is used again, or the test shows nothing");
        assert_eq!(t.get(a), None);
        assert_eq!(t.get_mut(a), None);
        assert_eq!(t.remove(a), None);
        assert_eq!(t.get(b), Some(&'b'));
    }

    #[test]
    fn a_handle_survives_its_number() {
        let mut t = Table::default();
        let (a, b) = (add(&mut t, 'a'), add(&mut t, 'b'));
        for h in [a, b] {
            assert_eq!(Handle::from_number(h.number()), h);
            assert!(h.number() < 1 << 52);
        }
        assert_ne!(a.number(), b.number());
    }

    #[test]
    fn an_entry_that_could_not_be_made_leaves_no_trace() {
        let mut t: Table<char> = Table::default();
        assert_eq!(t.insert_with(|_| Err("no")), Err("no"));
        assert!(t.is_empty());
    }
}
