//! What every link suffers, without sockets or clock: who may reach whom, how late, how often.

use crate::schedule::{Impairment, Party};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::BTreeSet;

/// What becomes of a piece that goes one way over a link.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Passage {
    /// Nothing passes now.
    pub cut: bool,
    /// Delays of its copies, us; none: it is lost. Connections heed the first alone.
    pub copies: Vec<u64>,
}

#[derive(Debug)]
struct Rule {
    fault: usize,
    from: BTreeSet<Party>,
    to: BTreeSet<Party>,
    how: Impairment,
}

/// The faults of all links that are in force.
#[derive(Debug)]
pub struct Links {
    rules: Vec<Rule>,
    random: Pcg64,
}

impl Links {
    /// Links without faults; what they draw follows from the seed.
    pub fn new(seed: u64) -> Self {
        Links {
            rules: Vec::new(),
            random: Pcg64::seed_from_u64(seed ^ 0x11a5),
        }
    }

    /// Puts a fault in force. Where two meet on a link, it suffers both.
    pub fn impair(&mut self, fault: usize, from: &[Party], to: &[Party], how: Impairment) {
        let set = |parties: &[Party]| parties.iter().copied().collect();
        self.rules.push(Rule {
            fault,
            from: set(from),
            to: set(to),
            how,
        });
    }

    /// Ends a fault.
    pub fn heal(&mut self, fault: usize) {
        self.rules.retain(|rule| rule.fault != fault);
    }

    /// Whether nothing passes from one to the other.
    pub fn cut(&self, from: Party, to: Party) -> bool {
        self.rules.iter().any(|rule| match rule.how {
            Impairment::Cut { forward, reverse } => {
                forward && rule.names(from, to) || reverse && rule.names(to, from)
            }
            _ => false,
        })
    }

    /// What becomes of the next piece.
    pub fn pass(&mut self, from: Party, to: Party) -> Passage {
        if self.cut(from, to) {
            return Passage {
                cut: true,
                copies: Vec::new(),
            };
        }
        let (mut lost, mut twice) = (1.0, 0.0);
        let mut delays = Vec::new();
        for rule in self
            .rules
            .iter()
            .filter(|rule| rule.names(from, to) || rule.names(to, from))
        {
            match rule.how {
                Impairment::Loss { share } => lost *= 1.0 - share,
                Impairment::Duplicate { share } => twice = share.max(twice),
                Impairment::Delay { us, jitter_us } => delays.push((us, jitter_us)),
                Impairment::Cut { .. } => {}
            }
        }
        if lost < 1.0 && self.random.random::<f64>() >= lost {
            return Passage::default();
        }
        let copies = if twice > 0.0 && self.random.random::<f64>() < twice {
            2
        } else {
            1
        };
        let mut delay = || {
            delays
                .iter()
                .map(|&(us, jitter)| us + (self.random.random::<f64>() * jitter as f64) as u64)
                .sum()
        };
        Passage {
            cut: false,
            copies: (0..copies).map(|_| delay()).collect(),
        }
    }
}

impl Rule {
    fn names(&self, from: Party, to: Party) -> bool {
        self.from.contains(&from) && self.to.contains(&to)
    }
}

#[cfg(test)]
mod tests;
