//! Decoders of caller headers never panic and accept only one spelling of a value.

#[path = "admission_support/generated.rs"]
mod generated;

use {
    dogwoodbridge::ingress::{check_idempotency_key, parse_deadline_ms},
    hyper::{HeaderMap, header::HeaderValue},
};

const CASE_COUNT: usize = 2000;
const MAX_KEY_BYTES: usize = 128;
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// An accepted idempotency key is the one that was sent, and within its limits.
#[test]
fn idempotency_keys_are_accepted_unchanged_or_refused() {
    generated::for_each_case(CASE_COUNT, |bytes: Vec<u8>| {
        let Ok(value) = HeaderValue::from_bytes(&bytes) else {
            return;
        };
        let mut headers = HeaderMap::new();
        headers.insert("idempotency-key", value.clone());
        let is_valid =
            (1..=MAX_KEY_BYTES).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_graphic);
        match check_idempotency_key(&headers) {
            Ok(key) => {
                assert!(is_valid, "{bytes:?}");
                assert_eq!(key.map(String::into_bytes), Some(bytes));
            }
            Err(_) => assert!(!is_valid, "{bytes:?}"),
        }
        headers.append("idempotency-key", value);
        assert!(check_idempotency_key(&headers).is_err(), "given twice");
    });
}

/// A deadline consists of digits alone and is accepted only within its limits.
#[test]
fn deadlines_are_digits_within_limits() {
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
