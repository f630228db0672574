use super::*;

#[test]
fn rewritten_line_has_the_senders_addresses_and_reports_endpoint_states() {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let endpoints = vec![address, SocketAddr::from(([127, 0, 0, 2], 80))];
    let listing = Listing {
        sender: 0,
        replica: 0,
        address,
        endpoints,
    };
    let line =
            br#"{"rev":3,"all":false,"targets":[{"uid":"e1","endpoint":"127.0.0.1:1","state":"draining"}]}"#;
    let (line, told) = listing.rewrite(line).expect("a list");
    assert!(String::from_utf8_lossy(&line).contains(r#""endpoint":"127.0.0.2:80""#));
    assert_eq!(told, [(1, false)]);
    assert!(
        listing.rewrite(b"\n").is_none(),
        "an empty line is passed on as it is"
    );
}
