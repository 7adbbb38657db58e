//! A map stored as a sorted vector.

use serde::{Deserialize, Serialize};

/// A map whose entries are sorted by key and looked up by binary search.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SortedMap<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<K: Ord, V> SortedMap<K, V> {
    fn index_of(&self, key: &K) -> Result<usize, usize> {
        self.rows.binary_search_by(|(known, _)| known.cmp(key))
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&V> {
        self.index_of(key).ok().map(|index| &self.rows[index].1)
    }

    /// Returns the value of the key for which `compare` returns equal.
    pub(crate) fn find(&self, compare: impl Fn(&K) -> std::cmp::Ordering) -> Option<&V> {
        self.rows.binary_search_by(|(key, _)| compare(key)).ok().map(|index| &self.rows[index].1)
    }

    /// Returns a mutable reference to the value of the key for which `compare` returns equal.
    pub(crate) fn find_mut(&mut self, compare: impl Fn(&K) -> std::cmp::Ordering) -> Option<&mut V> {
        let found = self.rows.binary_search_by(|(key, _)| compare(key)).ok();
        found.map(|index| &mut self.rows[index].1)
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.index_of(key).ok().map(|index| &mut self.rows[index].1)
    }

    /// Returns true if the map contains the key.
    #[must_use]
    pub fn contains(&self, key: &K) -> bool {
        self.index_of(key).is_ok()
    }

    /// Sets the value of a key and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.index_of(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.rows[index].1, value)),
            Err(index) => {
                self.rows.insert(index, (key, value));
                None
            }
        }
    }

    /// Returns the value of a key, inserting the result of `make` first if the key is absent.
    pub fn entry(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        let index = match self.index_of(&key) {
            Ok(index) => index,
            Err(index) => {
                self.rows.insert(index, (key, make()));
                index
            }
        };
        &mut self.rows[index].1
    }

    /// Removes a key and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.index_of(key).ok().map(|index| self.rows.remove(index).1)
    }

    /// Keeps only the entries for which the predicate returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &V) -> bool) {
        self.rows.retain(|(key, value)| keep(key, value));
    }

    /// Iterates over the entries in key order.
    #[must_use]
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> {
        self.rows.iter().map(|(key, value)| (key, value))
    }

    /// Iterates over the entries in key order, with mutable values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(key, value)| (&*key, value))
    }

    /// Iterates over the entries with keys from `from` to `to`, both inclusive.
    pub fn range(&self, from: &K, to: &K) -> impl Iterator<Item = (&K, &V)> {
        let start = self.rows.partition_point(|(key, _)| key < from);
        self.rows[start..].iter().take_while(move |(key, _)| key <= to).map(|(key, value)| (key, value))
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns true if the map has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
