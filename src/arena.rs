//! Arenas addressed by small `Copy` keys.

use std::marker::PhantomData;

/// A key into an [`Arena`].
pub trait ArenaKey: Copy {
    /// Creates the key of a slot and generation.
    fn new(index: u32, generation: u32) -> Self;
    /// Index of the slot in the arena.
    fn index(self) -> usize;
    /// Distinguishes entries that use the same slot one after another.
    fn generation(self) -> u32;
}

/// Declares a key type for an [`Arena`].
#[macro_export]
macro_rules! arena_key {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derives::key]
        pub struct $name {
            index: u32,
            generation: u32,
        }

        impl $crate::arena::ArenaKey for $name {
            fn new(index: u32, generation: u32) -> Self {
                Self { index, generation }
            }

            fn index(self) -> usize {
                self.index as usize
            }

            fn generation(self) -> u32 {
                self.generation
            }
        }
    };
}

/// A table of entries that are addressed by key and whose slots are reused.
///
/// A removal increments the slot's generation, so that a stale key finds nothing
/// instead of the entry that uses the slot next.
#[derive(Debug, Clone)]
pub struct Arena<K, T> {
    entries: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
    key: PhantomData<fn() -> K>,
}

impl<K: ArenaKey, T> Default for Arena<K, T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: ArenaKey, T> Arena<K, T> {
    /// An arena without entries.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            entries: Vec::new(),
            free: Vec::new(),
            key: PhantomData,
        }
    }

    /// Adds an entry and returns its key.
    pub fn insert(&mut self, entry: T) -> K {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.entries[index as usize];
            slot.1 = Some(entry);
            return K::new(index, slot.0);
        }
        let index = u32::try_from(self.entries.len()).expect("fewer than 2^32 entries");
        self.entries.push((0, Some(entry)));
        K::new(index, 0)
    }

    /// The entry of this key, unless it was removed.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&T> {
        let (generation, entry) = self.entries.get(key.index())?;
        if *generation == key.generation() {
            entry.as_ref()
        } else {
            None
        }
    }

    /// Mutable access to the entry of this key, unless it was removed.
    pub fn get_mut(&mut self, key: K) -> Option<&mut T> {
        let (generation, entry) = self.entries.get_mut(key.index())?;
        if *generation == key.generation() {
            entry.as_mut()
        } else {
            None
        }
    }

    /// Removes and returns the entry; its key finds nothing from now on.
    pub fn remove(&mut self, key: K) -> Option<T> {
        let (generation, entry) = self.entries.get_mut(key.index())?;
        if *generation != key.generation() {
            return None;
        }
        let removed = entry.take()?;
        *generation = generation.wrapping_add(1);
        self.free
            .push(u32::try_from(key.index()).expect("index came from a key"));
        Some(removed)
    }

    /// Keys and entries in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &T)> {
        self.entries
            .iter()
            .enumerate()
            .filter_map(|(index, (generation, entry))| {
                let index = u32::try_from(index).ok()?;
                entry
                    .as_ref()
                    .map(|entry| (K::new(index, *generation), entry))
            })
    }

    /// Keys and mutable entries in slot order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut T)> {
        self.entries
            .iter_mut()
            .enumerate()
            .filter_map(|(index, (generation, entry))| {
                let index = u32::try_from(index).ok()?;
                entry
                    .as_mut()
                    .map(|entry| (K::new(index, *generation), entry))
            })
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    /// Whether there is no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
