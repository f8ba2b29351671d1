//! A slab with generational handles: the handle of a removed entry never finds the entry that took its place.
use slab::Slab;

/// Identifies an entry of a [`Table`] until the entry is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handle {
    index: u32,
    generation: u32,
}

impl Handle {
    /// Maximum number of entries of a table, so that a handle fits in 52 bits, the width of a request's id.
    pub const MAX_ENTRIES: usize = 1 << 20;

    /// The handle as a number less than 2^52.
    pub fn number(self) -> u64 {
        u64::from(self.generation) << 20 | u64::from(self.index)
    }

    /// The handle for a number from [`Handle::number`].
    pub fn from_number(n: u64) -> Self {
        Handle { index: (n & 0xf_ffff) as u32, generation: (n >> 20) as u32 }
    }
}

/// A table of entries by handle.
pub struct Table<T> {
    slab: Slab<(u32, T)>,
    /// Generation of the latest entry; repeats only after 2^32 entries.
    generation: u32,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Table { slab: Slab::new(), generation: 0 }
    }
}

impl<T> Table<T> {
    /// Adds an entry that is created from its own handle; `None` if the table is full.
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

    /// Removes the entry; its handle is stale from then on.
    pub fn remove(&mut self, h: Handle) -> Option<T> {
        self.get(h)?;
        self.slab.try_remove(h.index as usize).map(|e| e.1)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.slab.len()
    }

    /// Whether there are no entries.
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
        assert_eq!(a.index, b.index, "the test needs the slot to be reused");
        assert_eq!(t.get(a), None);
        assert_eq!(t.get_mut(a), None);
        assert_eq!(t.remove(a), None);
        assert_eq!(t.get(b), Some(&'b'));
    }

    #[test]
    fn a_handle_is_restored_from_its_number() {
        let mut t = Table::default();
        let (a, b) = (add(&mut t, 'a'), add(&mut t, 'b'));
        for h in [a, b] {
            assert_eq!(Handle::from_number(h.number()), h);
            assert!(h.number() < 1 << 52);
        }
        assert_ne!(a.number(), b.number());
    }

    #[test]
    fn a_failed_insertion_adds_no_entry() {
        let mut t: Table<char> = Table::default();
        assert_eq!(t.insert_with(|_| Err("no")), Err("no"));
        assert!(t.is_empty());
    }
}
