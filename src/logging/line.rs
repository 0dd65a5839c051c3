//! The form of a log line.

use {
    crate::timer::unix_ms,
    serde_json::{Map, Value},
};

/// First character of the number of an event.
const NUMBER_PREFIX: char = 'E';

/// Number and name of the event that a message begins with, or the empty text.
#[must_use]
pub fn name_of(message: &str) -> &str {
    let mut words = message.splitn(3, ' ');
    match (words.next(), words.next()) {
        (Some(number), Some(name)) if is_number(number) => name,
        _ => "",
    }
}

/// One line: time, level, event and its fields, read from `name=value` words.
/// `left_out_count` tells how many lines were left out before it.
#[must_use]
pub fn json_line(level: log::Level, message: &str, left_out_count: u64) -> String {
    let mut fields = Map::new();
    fields.insert("unix_ms".to_owned(), Value::from(unix_ms()));
    fields.insert("level".to_owned(), Value::from(level.as_str()));
    let mut rest = message;
    if let Some((number, after)) = message.split_once(' ')
        && is_number(number)
    {
        let (name, after) = after.split_once(' ').unwrap_or((after, ""));
        fields.insert("event".to_owned(), Value::from(number));
        fields.insert("name".to_owned(), Value::from(name));
        rest = after;
    }
    add_fields(rest, &mut fields);
    if left_out_count > 0 {
        fields.insert("left_out".to_owned(), Value::from(left_out_count));
    }
    let mut line = Value::Object(fields).to_string();
    line.push('\n');
    line
}

fn is_number(word: &str) -> bool {
    word.strip_prefix(NUMBER_PREFIX)
        .is_some_and(|digits| !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit()))
}

/// Words without a name go on with the value before them: error texts hold
/// spaces.
fn add_fields(text: &str, fields: &mut Map<String, Value>) {
    let mut last = "text".to_owned();
    for word in text.split(' ').filter(|word| !word.is_empty()) {
        match word.split_once('=') {
            // The first value of a field stays: the text of an error may hold
            // words of this form, and would put another id into the line.
            Some((name, value)) if is_field_name(name) && !fields.contains_key(name) => {
                fields.insert(name.to_owned(), Value::from(value));
                last = name.to_owned();
            }
            _ => append(fields, &last, word),
        }
    }
}

fn is_field_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_lowercase() || b == b'_')
}

fn append(fields: &mut Map<String, Value>, name: &str, word: &str) {
    let value = match fields.get(name).and_then(Value::as_str) {
        Some(before) => format!("{before} {word}"),
        None => word.to_owned(),
    };
    fields.insert(name.to_owned(), Value::from(value));
}
