//! Finds the object and the field at which a TOML text is at fault.

/// Tells a syntax fault together with the object and field that it lies in.
pub(crate) fn describe_fault(text: &str, error: &toml::de::Error) -> String {
    let fault = with_plain_types(&error.to_string());
    let Some(span) = error.span() else {
        return fault;
    };
    let Some(object) = object_at(text, span.start) else {
        return fault;
    };
    match field_at(text, span.start) {
        Some(field) => format!("{object}: {field}: {fault}"),
        None => format!("{object}: {fault}"),
    }
}

/// Replaces the names of integer types, which mean nothing to operators, by their ranges.
fn with_plain_types(fault: &str) -> String {
    let fault = fault.trim_end();
    let ranges = [
        // Only percentages are bytes in objects.
        ("u8", "a whole number of percent from 0 to 100"),
        ("u32", "a whole number from 0 to 4294967295"),
        ("u64", "a whole number, 0 or more"),
    ];
    for (name, range) in ranges {
        if let Some(start) = fault.strip_suffix(&format!("expected {name}")) {
            return format!("{start}expected {range}");
        }
    }
    fault.to_owned()
}

/// Returns the object around a place as `KIND/NAME`, or `KIND` if it has no name.
fn object_at(text: &str, place: usize) -> Option<String> {
    let end_of_line = text
        .get(place..)?
        .find('\n')
        .map_or(text.len(), |at| place + at);
    let header = text.get(..end_of_line)?.rfind("[[")?;
    let (kind, block) = text.get(header + 2..)?.split_once("]]")?;
    let block = block.split("\n[[").next()?;
    let name = block.lines().find_map(name_in);
    Some(name.map_or_else(|| kind.to_owned(), |name| format!("{kind}/{name}")))
}

fn name_in(line: &str) -> Option<&str> {
    let (key, value) = line.split_once('=')?;
    let quoted = value.trim().strip_prefix('"')?;
    let (name, _) = quoted.split_once('"')?;
    (key.trim() == "name").then_some(name)
}

/// Returns the key on the line of a place.
fn field_at(text: &str, place: usize) -> Option<&str> {
    let start = text.get(..place)?.rfind('\n').map_or(0, |at| at + 1);
    let line = text.get(start..)?.lines().next()?;
    let (key, _) = line.split_once('=')?;
    let key = key.trim();
    let is_key = |character: char| character.is_ascii_alphanumeric() || character == '_';
    (!key.is_empty() && key.chars().all(is_key)).then_some(key)
}
