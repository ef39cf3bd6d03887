//! Generator of arbitrary messages between hosts: each is valid for its type, with extreme values.

use prost::bytes::BufMut;
use prost::encoding::{WireType, encode_key, encode_varint};

/// The definition of all messages between hosts.
const DEFINITION: &str = include_str!("../../../hollywheel-wire/proto/wire.proto");

/// Integers, for fields of all integer types.
const INTEGERS: [u64; 9] = [
    0,
    1,
    2,
    1000,
    i32::MAX as u64,
    u32::MAX as u64,
    i64::MAX as u64,
    u64::MAX - 1,
    u64::MAX,
];
/// Floating-point numbers.
const DOUBLES: [f64; 7] = [0.0, -1.0, 1e-308, 3.5, 1e308, f64::NAN, f64::NEG_INFINITY];
/// Texts, among them the names of the fixture.
const TEXTS: [&str; 14] = [
    "",
    "stage",
    "model",
    "plain",
    "draft/0",
    "s1",
    "m1",
    "p1",
    "7c1e",
    "a",
    "front-z-1",
    "127.0.0.1:1",
    "127.0.0.1:1/x",
    "[::]:99999",
];

/// A field of a message.
#[derive(Clone, Debug)]
struct MessageField {
    repeated: bool,
    type_name: String,
    number: u32,
}

/// Generates messages from a seed; the same seed gives the same messages.
pub struct MessageGenerator {
    state: u64,
}

impl MessageGenerator {
    /// Creates a generator.
    pub fn new(seed: u64) -> Self {
        Self {
            state: seed.wrapping_mul(2).wrapping_add(0x9e37_79b9_7f4a_7c15),
        }
    }

    /// Returns a number below `end`.
    fn below(&mut self, end: usize) -> usize {
        self.state = self
            .state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.state >> 33) as usize % end
    }

    /// Encodes a message of the type with the given name.
    ///
    /// # Panics
    ///
    /// Panics if no message has this name.
    pub fn message(&mut self, name: &str) -> Vec<u8> {
        let mut bytes = Vec::new();
        for field in fields(name).unwrap_or_else(|| panic!("no message {name}")) {
            let count = match field.repeated {
                true => [0, 1, 2, 40][self.below(4)],
                false => usize::from(self.below(4) > 0),
            };
            for _ in 0..count {
                self.value(&field, &mut bytes);
            }
        }
        bytes
    }

    fn value(&mut self, field: &MessageField, bytes: &mut Vec<u8>) {
        match field.type_name.as_str() {
            "double" | "fixed64" => {
                encode_key(field.number, WireType::SixtyFourBit, bytes);
                match field.type_name.as_str() {
                    "double" => bytes.put_f64_le(DOUBLES[self.below(DOUBLES.len())]),
                    _ => bytes.put_u64_le(INTEGERS[self.below(INTEGERS.len())]),
                }
            }
            "string" | "bytes" => {
                let text = match self.below(16) {
                    0 => "x".repeat(4000),
                    _ => TEXTS[self.below(TEXTS.len())].to_owned(),
                };
                self.delimited(field, text.as_bytes(), bytes);
            }
            name if fields(name).is_some() => {
                let message = self.message(name);
                self.delimited(field, &message, bytes);
            }
            // Integers, flags and enumerations.
            _ => {
                encode_key(field.number, WireType::Varint, bytes);
                encode_varint(INTEGERS[self.below(INTEGERS.len())], bytes);
            }
        }
    }

    fn delimited(&self, field: &MessageField, content: &[u8], bytes: &mut Vec<u8>) {
        encode_key(field.number, WireType::LengthDelimited, bytes);
        encode_varint(content.len() as u64, bytes);
        bytes.extend_from_slice(content);
    }
}

/// Returns the fields of a message; none if no message has this name.
fn fields(message: &str) -> Option<Vec<MessageField>> {
    let start = format!("message {message} {{");
    let lines = DEFINITION.lines().skip_while(|line| *line != start);
    let mut lines = lines.take_while(|line| *line != "}");
    lines.next()?;
    let fields = lines.filter_map(|line| {
        let (declaration, number) = line.trim().strip_suffix(';')?.split_once(" = ")?;
        let words: Vec<&str> = declaration.split(' ').collect();
        Some(MessageField {
            repeated: words[0] == "repeated",
            type_name: words[words.len() - 2].to_owned(),
            number: number.parse().unwrap(),
        })
    });
    Some(fields.collect())
}
