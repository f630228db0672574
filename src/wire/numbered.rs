//! Assigns the numbers by which the decision module knows the messages and endpoints that the lines name.

use std::collections::BTreeMap;

/// Names on the lines (of messages or endpoints) and their numbers, assigned from 0 in the order of first use.
#[derive(Default)]
pub(super) struct NameNumbers {
    by_name: BTreeMap<String, u64>,
    names: Vec<String>,
}

impl NameNumbers {
    /// Returns the number of `name`, and assigns the next number to a new name.
    pub(super) fn number(&mut self, name: &str) -> u64 {
        if let Some(&number) = self.by_name.get(name) {
            return number;
        }
        let number = self.names.len() as u64;
        self.names.push(name.to_string());
        self.by_name.insert(name.to_string(), number);
        number
    }

    /// Returns the name with this number, which must have been assigned.
    pub(super) fn name(&self, number: u64) -> &str {
        &self.names[number as usize]
    }
}
