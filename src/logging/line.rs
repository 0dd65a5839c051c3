//! Formats log lines as JSON.

use {
    crate::timer::unix_ms,
    serde_json::{Map, Value},
};

/// First character of an event number.
const EVENT_NUMBER_PREFIX: char = 'E';

/// Returns the event name after the number at the start of a message, or an empty
/// string.
#[must_use]
pub fn event_name(message: &str) -> &str {
    let mut words = message.splitn(3, ' ');
    match (words.next(), words.next()) {
        (Some(number), Some(name)) if is_event_number(number) => name,
        _ => "",
    }
}

/// Formats one line: time, level, event, and fields parsed from `name=value`
/// words. `left_out` is written when lines were suppressed before this one.
#[must_use]
pub fn json_line(level: log::Level, message: &str, suppressed_count: u64) -> String {
    let mut fields = Map::new();
    fields.insert("unix_ms".to_owned(), Value::from(unix_ms()));
    fields.insert("level".to_owned(), Value::from(level.as_str()));
    let mut text = message;
    if let Some((number, remainder)) = message.split_once(' ')
        && is_event_number(number)
    {
        let (name, remainder) = remainder.split_once(' ').unwrap_or((remainder, ""));
        fields.insert("event".to_owned(), Value::from(number));
        fields.insert("name".to_owned(), Value::from(name));
        text = remainder;
    }
    add_fields(text, &mut fields);
    if suppressed_count > 0 {
        fields.insert("left_out".to_owned(), Value::from(suppressed_count));
    }
    let mut line = Value::Object(fields).to_string();
    line.push('\n');
    line
}

fn is_event_number(word: &str) -> bool {
    word.strip_prefix(EVENT_NUMBER_PREFIX)
        .is_some_and(|digits| !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit()))
}

/// Words without `name=` are appended to the preceding value, since error texts
/// contain spaces.
fn add_fields(text: &str, fields: &mut Map<String, Value>) {
    let mut last_field = "text".to_owned();
    for word in text.split(' ').filter(|word| !word.is_empty()) {
        match word.split_once('=') {
            // The first value of a field wins: an error text may contain words of
            // this form, which would replace the request id of the line.
            Some((name, value)) if is_field_name(name) && !fields.contains_key(name) => {
                fields.insert(name.to_owned(), Value::from(value));
                last_field = name.to_owned();
            }
            _ => append_word(fields, &last_field, word),
        }
    }
}

fn is_field_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_lowercase() || b == b'_')
}

fn append_word(fields: &mut Map<String, Value>, name: &str, word: &str) {
    let value = match fields.get(name).and_then(Value::as_str) {
        Some(value) => format!("{value} {word}"),
        None => word.to_owned(),
    };
    fields.insert(name.to_owned(), Value::from(value));
}
