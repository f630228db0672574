//! Choices drawn from a seed, for deployments in which several axes differ at once.

use super::{AXES, Choice};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// One value each of `count` axes that `fixed` does not name; the same for the same arguments.
pub fn draw_choices(seed: u64, count: usize, fixed: &[Choice]) -> Vec<Choice> {
    let mut random = Pcg64::seed_from_u64(seed);
    let is_fixed = |name: &str| fixed.iter().any(|choice| choice.axis.name == name);
    let mut free: Vec<_> = AXES.iter().filter(|axis| !is_fixed(axis.name)).collect();
    free.shuffle(&mut random);
    free.truncate(count);
    let pick = |axis: &'static super::Axis| Choice {
        axis,
        value: random.random_range(0..axis.values.len()),
    };
    free.into_iter().map(pick).collect()
}
