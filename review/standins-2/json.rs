//! Takes single fields out of JSON text without reading the rest.

/// Text of a field of the object, as it stands; nested fields are separated by dots.
pub fn field<'a>(object: &'a str, path: &str) -> Option<&'a str> {
    let mut value = object.trim();
    for name in path.split('.') {
        value = member(value, name)?;
    }
    Some(value)
}

/// Text of a string field without its quotes.
pub fn string<'a>(object: &'a str, path: &str) -> Option<&'a str> {
    field(object, path)?.strip_prefix('"')?.strip_suffix('"')
}

fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let mut rest = object.strip_prefix('{')?.trim_start();
    while rest.starts_with('"') {
        let key_end = end_of_value(rest);
        let key = &rest[1..key_end - 1];
        rest = rest[key_end..].trim_start().strip_prefix(':')?.trim_start();
        let value_end = end_of_value(rest);
        if key == name {
            return Some(&rest[..value_end]);
        }
        rest = rest[value_end..].trim_start();
        rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
    }
    None
}

fn end_of_value(text: &str) -> usize {
    let bytes = text.as_bytes();
    let (mut depth, mut in_string, mut at) = (0, false, 0);
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if in_string => at += 1,
            b'"' => {
                in_string = !in_string;
                if !in_string && depth == 0 {
                    return at + 1;
                }
            }
            _ if in_string => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' if depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    text.len()
}
