//! Tests of the evidence that completes a message, and of incomplete evidence that must not.

use super::*;
use hyper::Response;

fn head(status: u16) -> Parts {
    let response = Response::builder().status(status).body(());
    response.expect("a status").into_parts().0
}

#[test]
fn status_200_410_or_204_proves_only_its_own_end() {
    for status in 200..600 {
        let head = head(status);
        let delivered = EndProof::of_delivered_head(&head).is_some();
        assert_eq!(delivered, status == 200, "{status}");
        let notified = EndProof::of_notification_answer(head.status).is_some();
        assert_eq!(notified, status == 204, "{status}");
        let gone = EndProof::of_gone_answer(&CompleteAnswer::of_head(head)).is_some();
        assert_eq!(gone, status == 410, "{status}");
    }
}

#[test]
fn incomplete_line_of_bulk_answer_proves_no_end() {
    let text = b"m1 ok\r\nm2 gone\r\n";
    for length in 0..=text.len() {
        let proved: Vec<&[u8]> = BulkLine::parse_complete(&text[..length], false)
            .filter(|line| {
                EndProof::of_delivered_line(line)
                    .or(EndProof::of_gone_line(line))
                    .is_some()
            })
            .map(|line| line.id())
            .collect();
        let whole_lines = text[..length].iter().filter(|byte| **byte == b'\n').count();
        let expected: &[&[u8]] = &[b"m1", b"m2"];
        assert_eq!(proved, expected[..whole_lines], "{length} bytes");
    }
    // the last line needs a line feed, unless the answer's length is known and all of it was
    // received
    assert_eq!(BulkLine::parse_complete(b"m1 ok\nm2 ok", true).count(), 2);
    assert_eq!(BulkLine::parse_complete(b"m1 ok\nm2 ok", false).count(), 1);
}

#[test]
fn proof_is_serialized_as_one_boolean_byte() {
    #[derive(serde::Serialize, serde::Deserialize)]
    struct End(#[serde(with = "in_frame")] Option<EndProof>);
    let proof = EndProof::of_delivered_head(&head(200));
    for (proof, flag) in [(proof, 1u8), (None, 0)] {
        let bytes = postcard::to_allocvec(&End(proof)).expect("encoded");
        assert_eq!(bytes, [flag]);
        let End(read) = postcard::from_bytes(&bytes).expect("decoded");
        assert_eq!(read.is_some(), proof.is_some());
    }
}
