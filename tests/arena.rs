//! A stale arena key never finds another entry.

use dogwoodbridge::{arena::Arena, arena_key};

arena_key! {
    /// Key of the entries in this test.
    EntryKey
}

/// A key is kept after its entry was removed, and the slot is reused. The key must
/// not find the new entry.
#[test]
fn a_stale_key_finds_nothing_after_its_slot_is_reused() {
    let mut arena: Arena<EntryKey, u32> = Arena::new();
    let first = arena.insert(1);
    assert_eq!(arena.remove(first), Some(1));
    let second = arena.insert(2);
    assert_eq!(arena.get(first), None);
    assert_eq!(arena.remove(first), None);
    assert_eq!(arena.get(second), Some(&2));
    assert_eq!(arena.len(), 1);
}
