//! Locates the object and the field at which a TOML text is invalid.

/// Returns the message of a TOML error, preceded by the object and field in which it occurred.
pub(crate) fn describe_syntax_error(text: &str, error: &toml::de::Error) -> String {
    let message = replace_integer_types(&error.to_string());
    let Some(span) = error.span() else {
        return message;
    };
    let Some(object) = object_at(text, span.start) else {
        return message;
    };
    match field_at(text, span.start) {
        Some(field) => format!("{object}: {field}: {message}"),
        None => format!("{object}: {message}"),
    }
}

/// Replaces the names of Rust integer types, which mean nothing to operators, by their ranges.
fn replace_integer_types(message: &str) -> String {
    let message = message.trim_end();
    let ranges = [
        // Percentages are the only fields of this type.
        ("u8", "a whole number of percent from 0 to 100"),
        ("u32", "a whole number from 0 to 4294967295"),
        ("u64", "a whole number, 0 or more"),
    ];
    for (name, range) in ranges {
        if let Some(start) = message.strip_suffix(&format!("expected {name}")) {
            return format!("{start}expected {range}");
        }
    }
    message.to_owned()
}

/// Returns the object that contains a byte offset as `KIND/NAME`, or `KIND` if it has no name.
fn object_at(text: &str, offset: usize) -> Option<String> {
    let line_end = text
        .get(offset..)?
        .find('\n')
        .map_or(text.len(), |length| offset + length);
    let header = text.get(..line_end)?.rfind("[[")?;
    let (kind, block) = text.get(header + 2..)?.split_once("]]")?;
    let block = block.split("\n[[").next()?;
    let name = block.lines().find_map(name_value);
    Some(name.map_or_else(|| kind.to_owned(), |name| format!("{kind}/{name}")))
}

/// Returns the value of a line `name = "VALUE"`.
fn name_value(line: &str) -> Option<&str> {
    let (key, value) = line.split_once('=')?;
    let quoted = value.trim().strip_prefix('"')?;
    let (name, _) = quoted.split_once('"')?;
    (key.trim() == "name").then_some(name)
}

/// Returns the key on the line that contains a byte offset.
fn field_at(text: &str, offset: usize) -> Option<&str> {
    let start = text
        .get(..offset)?
        .rfind('\n')
        .map_or(0, |newline| newline + 1);
    let line = text.get(start..)?.lines().next()?;
    let (key, _) = line.split_once('=')?;
    let key = key.trim();
    let is_key = |character: char| character.is_ascii_alphanumeric() || character == '_';
    (!key.is_empty() && key.chars().all(is_key)).then_some(key)
}
