//! Tests of the division of the memory limit.

use super::*;

/// Least and largest memory that deployments give a sender, in bytes.
const MEMORY_LIMITS: [usize; 4] = [32_000_000, 48_000_000, 96_000_000, 192_000_000];
/// Least and largest descriptor limits of deployments.
const DESCRIPTOR_LIMITS: [usize; 3] = [256, 512, 1024];

fn limits(memory_bytes: usize, descriptors: usize) -> ProcessLimits {
    ProcessLimits {
        memory_bytes,
        disk_bytes: 3_000_000,
        descriptors,
    }
}

/// Guards against shares whose sum exceeds the limit that they divide.
#[test]
fn sum_of_shares_stays_within_every_limit_of_the_deployments() {
    for memory_bytes in MEMORY_LIMITS {
        for descriptors in DESCRIPTOR_LIMITS {
            let shares = MemoryShares::divide(limits(memory_bytes, descriptors));
            assert!(shares.total_bytes() <= memory_bytes, "{shares:?}");
        }
    }
}

/// The sum on the capacity page, for the least memory and the most descriptors of a deployment.
#[test]
fn least_memory_is_divided_as_on_the_capacity_page() {
    let shares = MemoryShares::divide(limits(32_000_000, 1024));
    assert_eq!(
        shares,
        MemoryShares {
            process_bytes: 5_473_408,
            file_bytes: 3_000_000,
            journal_copy_bytes: 1_500_000,
            client_connections: 341,
            head_bytes: 391_836,
            body_bytes: 1_175_508,
            message_bytes: 1_567_344,
            endpoint_connections: 103,
            answer_bytes: 393_216,
            max_list_bytes: 1_000_000,
        }
    );
    assert_eq!(shares.total_bytes(), 32_000_000);
}

#[test]
fn memory_limit_below_the_minimum_leaves_every_share_usable() {
    let shares = MemoryShares::divide(limits(0, 3));
    assert_eq!(shares.client_connections, 1);
    assert_eq!(shares.endpoint_connections, 1);
    assert!(shares.has_message_room(0, 0, 64 * 1024));
    assert!(shares.head_bytes >= LARGE_HEAD_BYTES);
    assert!(shares.body_bytes >= 2 * MAX_BODY_BYTES);
}

#[test]
fn message_finds_room_until_its_share_is_full() {
    let shares = MemoryShares::divide(limits(32_000_000, 1024));
    let full = shares.message_bytes / MESSAGE_BYTES;
    assert!(shares.has_message_room(full - 1, 0, 0));
    assert!(!shares.has_message_room(full, 0, 0));
    let record_bytes = shares.message_bytes / RECORD_COPIES - MESSAGE_BYTES;
    assert!(!shares.has_message_room(0, record_bytes, MESSAGE_BYTES));
}
