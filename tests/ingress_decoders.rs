//! No header of a caller brings a node down or is read in two ways.

#[path = "admission_support/generated.rs"]
mod generated;

use {
    dogwoodbridge::ingress::{check_idempotency_key, parse_deadline_ms},
    hyper::{HeaderMap, header::HeaderValue},
};

const CASE_COUNT: usize = 2000;
const MAX_KEY_BYTES: usize = 128;
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Any key that passes is the one that was sent, and within its limits.
#[test]
fn idempotency_keys_pass_unchanged_or_not_at_all() {
    generated::for_each_case(CASE_COUNT, |bytes: Vec<u8>| {
        let Ok(value) = HeaderValue::from_bytes(&bytes) else {
            return;
        };
        let mut headers = HeaderMap::new();
        headers.insert("idempotency-key", value.clone());
        let is_sound =
            (1..=MAX_KEY_BYTES).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_graphic);
        match check_idempotency_key(&headers) {
            Ok(key) => {
                assert!(is_sound, "{bytes:?}");
                assert_eq!(key.map(String::into_bytes), Some(bytes));
            }
            Err(_) => assert!(!is_sound, "{bytes:?}"),
        }
        headers.append("idempotency-key", value);
        assert!(check_idempotency_key(&headers).is_err(), "given twice");
    });
}

/// A deadline is a plain number within its limits, written with digits alone.
#[test]
fn deadlines_are_plain_numbers() {
    generated::for_each_case(CASE_COUNT, |number: u64| {
        let value = HeaderValue::from(number);
        let expected = Some(number).filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
        assert_eq!(parse_deadline_ms(&value).ok(), expected);
    });
    generated::for_each_case(CASE_COUNT, |bytes: Vec<u8>| {
        let Ok(value) = HeaderValue::from_bytes(&bytes) else {
            return;
        };
        if parse_deadline_ms(&value).is_ok() {
            assert!(bytes.iter().all(u8::is_ascii_digit), "{bytes:?}");
        }
    });
}
