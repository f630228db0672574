//! Words of the host on one side, numbers of the module on the other.

use std::collections::BTreeMap;

/// Words of the host on one side, numbers of the module on the other.
#[derive(Default)]
pub(super) struct NameNumbers {
    by_name: BTreeMap<String, u64>,
    names: Vec<String>,
}

impl NameNumbers {
    pub(super) fn number(&mut self, name: &str) -> u64 {
        if let Some(&number) = self.by_name.get(name) {
            return number;
        }
        let number = self.names.len() as u64;
        self.names.push(name.to_string());
        self.by_name.insert(name.to_string(), number);
        number
    }

    pub(super) fn name(&self, number: u64) -> &str {
        &self.names[number as usize]
    }
}
