//! Deterministic outputs of calls.

use sha2::{Digest, Sha256};

const UNARY_DIGITS: usize = 16;
const TOKEN_DIGITS: usize = 8;

/// Returns the SHA-256 digest of the parts, each followed by a zero byte, in hexadecimal.
pub fn output_digest(parts: &[&str]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    let digest = hasher.finalize();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the output of a stage that does not generate a stream.
pub fn unary_output(stage: &str, work: &str, input: &str, previous: &str) -> String {
    let digest = output_digest(&[stage, work, input, previous]);
    format!("{}:{}", work.to_uppercase(), &digest[..UNARY_DIGITS])
}

/// Returns the text of the token at a position.
pub fn token_text(stage: &str, model: &str, input: &str, previous: &str, index: u32) -> String {
    let digest = output_digest(&[stage, model, input, previous, &index.to_string()]);
    format!("{} ", &digest[..TOKEN_DIGITS])
}
