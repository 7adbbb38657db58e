//! Interning of names.

use std::collections::HashMap;
use std::hash::Hash;

/// Maps names to dense indexes in the order in which they are first seen.
#[derive(Debug, Clone)]
pub(crate) struct NameTable<N> {
    names: Vec<N>,
    indexes: HashMap<N, u32>,
}

impl<N> Default for NameTable<N> {
    fn default() -> Self {
        Self { names: Vec::new(), indexes: HashMap::new() }
    }
}

impl<N: Clone + Eq + Hash> NameTable<N> {
    pub(crate) fn intern(&mut self, name: &N) -> u32 {
        if let Some(&index) = self.indexes.get(name) {
            return index;
        }
        let index = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        self.names.push(name.clone());
        self.indexes.insert(name.clone(), index);
        index
    }

    pub(crate) fn find(&self, name: &N) -> Option<u32> {
        self.indexes.get(name).copied()
    }

    pub(crate) fn name(&self, index: u32) -> &N {
        &self.names[index as usize]
    }

    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }
}
