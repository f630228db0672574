use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_key_is_read_as_it_is_written(destination: u64, name in "[a-z/ -]{1,20}", kind in 0..5) {
        let key = match kind {
            0 => LimitKey::of(destination, Resource::Rate),
            1 => LimitKey::of(destination, Resource::Concurrency),
            2 => LimitKey::of(destination, Resource::RecoveryRate),
            3 => LimitKey::of(destination, Resource::Connections(name)),
            _ => LimitKey::tenant(&name),
        };
        prop_assert_eq!(key.to_string().parse(), Ok(key));
    }

    #[test]
    fn no_text_makes_it_fall_and_one_that_is_read_is_written_the_same(text in ".{0,40}") {
        if let Ok(key) = text.parse::<LimitKey>() {
            prop_assert_eq!(key.to_string(), text);
        }
    }
}

#[test]
fn what_names_nothing_is_refused() {
    for text in [
        "rate",
        "rate/",
        "rate/x",
        "rate/07",
        "rate/-1",
        "out/1/2",
        "connections/7",
        "tenant/",
        "x/1",
    ] {
        assert_eq!(text.parse::<LimitKey>(), Err(InvalidKey(text.to_string())));
    }
}
