//! Property tests of the readers of bytes from outside. The environment variable `FUZZ_INPUTS` sets
//! the number of inputs.

use std::time::Duration;

use hollywheel_serving::{BodyBuffer, EventSplitter, StreamEvent};

/// Time after which a test ends early, unless `FUZZ_INPUTS` is set.
const TEST_TIME: Duration = Duration::from_secs(10);

/// Returns the number of inputs and the time limit of a test.
fn extent() -> (usize, Duration) {
    match std::env::var("FUZZ_INPUTS") {
        Ok(count) => (count.parse().unwrap(), Duration::MAX),
        Err(_) => (20_000, TEST_TIME),
    }
}

/// Maps arbitrary bytes to those that matter in a stream of events.
fn stream_bytes(bytes: &[u8]) -> Vec<u8> {
    const ALPHABET: &[u8; 8] = b"\n\n\r:id1 ";
    let mapped = bytes.iter().map(|byte| match byte {
        0..128 => ALPHABET[usize::from(*byte) % ALPHABET.len()],
        other => *other,
    });
    mapped.collect()
}

/// Cuts bytes into pieces of the given sizes, repeated; a size of zero gives an empty piece.
fn pieces<'a>(mut bytes: &'a [u8], sizes: &[u8]) -> Vec<&'a [u8]> {
    let mut pieces = Vec::new();
    let mut sizes = sizes.iter().cycle();
    let has_size = sizes.clone().take(256).any(|size| *size > 0);
    while !bytes.is_empty() && has_size {
        let size = usize::from(*sizes.next().unwrap()).min(bytes.len());
        let (piece, rest) = bytes.split_at(size);
        pieces.push(piece);
        bytes = rest;
    }
    if !bytes.is_empty() {
        pieces.push(bytes);
    }
    pieces
}

#[test]
fn events_do_not_depend_on_the_pieces_of_a_stream() {
    let (count, time) = extent();
    bolero::check!()
        .with_type::<(Vec<u8>, Vec<u8>)>()
        .with_iterations(count)
        .with_test_time(time)
        .for_each(|(bytes, sizes)| {
            let bytes = stream_bytes(bytes);
            let mut whole = EventSplitter::new();
            let expected = whole.take(&bytes);
            let mut splitter = EventSplitter::new();
            let taken: Vec<StreamEvent> = pieces(&bytes, sizes)
                .into_iter()
                .flat_map(|piece| splitter.take(piece))
                .collect();
            assert_eq!(taken, expected);
            assert_eq!(splitter.rest(), whole.rest());
            let events = taken.into_iter().flat_map(|event| event.bytes);
            let joined: Vec<u8> = events.chain(splitter.rest().iter().copied()).collect();
            assert_eq!(joined, bytes);
        });
}

#[test]
fn body_does_not_depend_on_the_pieces_in_which_it_arrives() {
    let (count, time) = extent();
    bolero::check!()
        .with_type::<Vec<(u8, u16)>>()
        .with_iterations(count)
        .with_test_time(time)
        .for_each(|pieces| {
            let mut buffer = BodyBuffer::default();
            let mut expected = Vec::new();
            for (byte, size) in pieces {
                let piece = vec![*byte; usize::from(*size)];
                let memory = buffer.memory_with(piece.len());
                buffer.append(&piece);
                expected.extend(piece);
                assert_eq!(buffer.len(), expected.len());
                assert!(memory >= expected.len() && memory <= 2 * expected.len());
            }
            assert!(buffer.into_vec() == expected);
        });
}
