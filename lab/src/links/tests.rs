use super::*;

const A: Party = Party::Sender(0);
const B: Party = Party::Sender(1);

#[test]
fn one_way_cut_blocks_one_direction() {
    let mut links = Links::new(1);
    links.impair(
        0,
        &[A],
        &[B],
        Impairment::Cut {
            forward: true,
            reverse: false,
        },
    );
    assert!(links.cut(A, B) && !links.cut(B, A));
    links.impair(
        1,
        &[A],
        &[B],
        Impairment::Cut {
            forward: false,
            reverse: true,
        },
    );
    assert!(links.cut(A, B) && links.cut(B, A));
    links.heal(0);
    assert!(!links.cut(A, B) && links.cut(B, A));
}

#[test]
fn two_faults_on_one_link_both_apply() {
    let mut links = Links::new(1);
    links.impair(0, &[A], &[B], Impairment::Loss { share: 0.5 });
    links.impair(
        1,
        &[A],
        &[B],
        Impairment::Delay {
            us: 100,
            jitter_us: 50,
        },
    );
    links.impair(2, &[A], &[B], Impairment::Duplicate { share: 1.0 });
    let passed: Vec<Passage> = (0..1000).map(|_| links.pass(B, A)).collect();
    let lost = passed
        .iter()
        .filter(|passage| passage.copies.is_empty())
        .count();
    assert!((400..600).contains(&lost), "{lost} of 1000 lost");
    let mut arrived = passed.iter().filter(|passage| !passage.copies.is_empty());
    let late =
        |copies: &[u64]| copies.len() == 2 && copies.iter().all(|us| (100..150).contains(us));
    assert!(arrived.all(|passage| late(&passage.copies)));
}
