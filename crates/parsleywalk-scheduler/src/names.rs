//! Small numbers for names.

use std::collections::HashMap;
use std::hash::Hash;

/// Numbers names in the order in which they are first seen.
#[derive(Debug, Clone)]
pub(crate) struct NameTable<N> {
    names: Vec<N>,
    numbers: HashMap<N, u32>,
}

impl<N> Default for NameTable<N> {
    fn default() -> Self {
        Self { names: Vec::new(), numbers: HashMap::new() }
    }
}

impl<N: Clone + Eq + Hash> NameTable<N> {
    pub(crate) fn intern(&mut self, name: &N) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = u32::try_from(self.names.len()).unwrap_or(u32::MAX);
        self.names.push(name.clone());
        self.numbers.insert(name.clone(), number);
        number
    }

    pub(crate) fn find(&self, name: &N) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    pub(crate) fn name(&self, number: u32) -> &N {
        &self.names[number as usize]
    }

    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }
}
