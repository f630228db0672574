//! Base64 encoding of the notes that senders send to each other.

use super::fields::{Fault, fault};

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as padded Base64; an empty slice becomes `-`.
pub(super) fn encode(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "-".to_string();
    }
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk
            .iter()
            .fold(0u32, |bits, &byte| bits << 8 | u32::from(byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let sextet = (bits >> (18 - 6 * index) & 63) as usize;
            text.push(if index <= chunk.len() {
                char::from(ALPHABET[sextet])
            } else {
                '='
            });
        }
    }
    text
}

/// Decodes padded Base64; `-` gives no bytes.
pub(super) fn decode(text: &str) -> Result<Vec<u8>, Fault> {
    if text == "-" {
        return Ok(Vec::new());
    }
    let body = text.trim_end_matches('=');
    let (mut bits, mut pending_bits, mut bytes) = (0u32, 0, Vec::new());
    for character in body.bytes() {
        let Some(sextet) = ALPHABET.iter().position(|&known| known == character) else {
            return fault("base64", text);
        };
        bits = bits << 6 | sextet as u32;
        pending_bits += 6;
        if pending_bits >= 8 {
            pending_bits -= 8;
            bytes.push((bits >> pending_bits) as u8);
            bits &= (1 << pending_bits) - 1;
        }
    }
    if text.len().is_multiple_of(4) {
        Ok(bytes)
    } else {
        fault("base64", text)
    }
}
