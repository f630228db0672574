//! Where the members of a simulated fleet stand, and how long a datagram takes between two of them.

use fleet_membership::Micros;
use rand::Rng;

/// Zones of the target fleet, and its regions.
const ZONES: usize = 15;
const REGIONS: usize = 6;
/// Members of one rack: 2,100 senders in 15 zones are 140 a zone, seven racks of this size.
const RACK: usize = 20;
/// One way within a zone, between two zones of a region, and between regions (100 ms there and back), microseconds.
const WITHIN_ZONE: Micros = 250;
const WITHIN_REGION: Micros = 1_000;
const BETWEEN_REGIONS: Micros = 50_000;
/// A datagram takes up to this part longer than the shortest time.
const JITTER: Micros = 5;

/// A part of the fleet that fails together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Domain {
    /// One rack or switch.
    Rack,
    /// One zone.
    Zone,
    /// One region.
    Region,
}

/// The zone of a member: neighbours by number stand in different zones.
fn zone(member: usize) -> usize {
    member % ZONES
}

fn region(member: usize) -> usize {
    zone(member) * REGIONS / ZONES
}

/// Whether a member belongs to the first domain of this kind.
pub fn is_in_first(domain: Domain, member: usize) -> bool {
    match domain {
        Domain::Rack => zone(member) == 0 && member / ZONES < RACK,
        Domain::Zone => zone(member) == 0,
        Domain::Region => region(member) == 0,
    }
}

/// The time that a datagram takes from one member to another.
pub fn delay(random: &mut impl Rng, from: usize, to: usize) -> Micros {
    let shortest = if zone(from) == zone(to) {
        WITHIN_ZONE
    } else if region(from) == region(to) {
        WITHIN_REGION
    } else {
        BETWEEN_REGIONS
    };
    shortest + random.random_range(0..=shortest / JITTER)
}
