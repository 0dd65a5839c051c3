//! The little JSON that the store has to read: an object that a node writes.

/// A written object.
pub struct Written {
    pub name: String,
    /// The condition of the write.
    pub revision: Option<u64>,
    /// JSON text.
    pub spec: String,
}

/// Reads `{"Metadata":{"Name":..,"Revision":..},"Spec":..}`.
pub fn spec_of(text: &str) -> Option<Written> {
    let metadata = value_of(text, "Metadata")?;
    let name = value_of(metadata, "Name")?.trim_matches('"').to_owned();
    let revision = value_of(metadata, "Revision").and_then(|number| number.parse().ok());
    let spec = value_of(text, "Spec")?.to_owned();
    Some(Written {
        name,
        revision,
        spec,
    })
}

/// Text of the first value with this key.
fn value_of<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let quoted = format!("\"{key}\"");
    let rest = &text[text.find(&quoted)? + quoted.len()..];
    let rest = rest.trim_start().strip_prefix(':')?.trim_start();
    let (mut depth, mut is_text, mut is_escaped) = (0, false, false);
    for (at, character) in rest.char_indices() {
        if is_text {
            is_text = is_escaped || character != '"';
            is_escaped = !is_escaped && character == '\\';
            continue;
        }
        match character {
            '"' => is_text = true,
            '{' | '[' => depth += 1,
            ',' if depth == 0 => return Some(rest[..at].trim_end()),
            '}' | ']' if depth == 0 => return Some(rest[..at].trim_end()),
            '}' | ']' => depth -= 1,
            _ => {}
        }
    }
    Some(rest.trim_end())
}
