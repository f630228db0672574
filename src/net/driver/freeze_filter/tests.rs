use super::*;
use std::net::{Ipv4Addr, SocketAddr};

fn added_endpoint(uid: &str) -> ListedEndpoint {
    ListedEndpoint {
        uid: uid.to_string(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8000)),
        zone: "a".to_string(),
        kind: "one".to_string(),
        destination: 7,
        status: EndpointStatus::Serving,
        weight: 1.0,
    }
}

#[test]
fn report_with_an_unknown_calendar_keeps_its_bytes() {
    let mut filter = FreezeFilter::new(0, FreezeSettings::default());
    assert!(filter.filter(0, added_endpoint("s-2"), None).is_none());
    let expected = concat!(
        r#"{"admitted":0,"calendar":null,"held":["s-2"],"held_ever":1,"on":{"(not known yet)":{"#,
        r#""holds":[],"owner":"this sender","reason":"the calendar is not known","#,
        r#""scope":{"destinations":[],"tenants":[],"zones":[]},"until_ms":0}}}"#
    );
    assert_eq!(to_sorted_json(&filter.report(0)), expected);
}
