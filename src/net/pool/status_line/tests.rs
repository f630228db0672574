//! Tests of the status line parser on lines cut at each byte.

use super::*;

fn is_success(bytes: &[u8]) -> bool {
    let mut reader = StatusLineReader::default();
    reader.read(bytes);
    let at_once = reader.success().is_some();
    let mut in_pieces = StatusLineReader::default();
    bytes.iter().for_each(|byte| in_pieces.read(&[*byte]));
    assert_eq!(in_pieces.success().is_some(), at_once);
    at_once
}

#[test]
fn line_with_200_is_success_only_after_its_line_feed() {
    let lines: [&[u8]; 6] = [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 200\r\n",
        b"HTTP/1.1 200\n",
        b"HTTP/1.1 200 \r\n",
        b"HTTP/1.1 200 a reason that is longer than any that a server of this world would give\n",
    ];
    for line in lines {
        for length in 0..line.len() {
            assert!(!is_success(&line[..length]), "{length} bytes of {line:?}");
        }
        assert!(is_success(line), "{line:?}");
        assert!(is_success(&[line, b"\x00\xffno header"].concat()));
    }
}

#[test]
fn line_with_other_status_or_syntax_is_not_success() {
    let lines: [&[u8]; 9] = [
        b"HTTP/1.1 2000 OK\r\n",
        b"HTTP/1.1 201 Created\r\n",
        b"HTTP/1.1 500 200 OK\r\n",
        b"HTTP/1.2 200 OK\r\n",
        b"HTTP/2 200\r\n",
        b"http/1.1 200 OK\r\n",
        b"\r\nHTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200\rOK\r\n",
        b"HTTP/1.1  200 OK\r\n",
    ];
    for line in lines {
        assert!(!is_success(line), "{line:?}");
    }
}
