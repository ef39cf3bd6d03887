//! Buffer for a body whose length is not known in advance.

/// Size of a segment in bytes.
const SEGMENT_SIZE: usize = 16 * 1024;

/// Holds a body that is being read, kept in segments of equal size.
///
/// Segments do not move when the body grows, and the allocator can reuse each for any other body.
/// A single buffer that grows by doubling would leave unused space of every smaller size behind.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    /// All but the last are full.
    segments: Vec<Vec<u8>>,
    /// Number of bytes in all segments.
    length: usize,
}

impl BodyBuffer {
    /// Returns whether there are no bytes.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the number of bytes.
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns the memory that the buffer takes at most once `added` more bytes are appended, in
    /// bytes.
    pub fn memory_with(&self, added: usize) -> usize {
        let length = self.length + added;
        length.next_multiple_of(SEGMENT_SIZE).min(2 * length)
    }

    /// Appends bytes.
    pub fn append(&mut self, mut data: &[u8]) {
        self.length += data.len();
        while !data.is_empty() {
            let segment = self.free_segment(data.len());
            let count = data.len().min(SEGMENT_SIZE - segment.len());
            let (head, rest) = data.split_at(count);
            segment.extend_from_slice(head);
            data = rest;
        }
    }

    /// Returns the bytes as one block. Each segment is freed as soon as it is copied, so the body
    /// does not take its memory twice.
    pub fn into_vec(mut self) -> Vec<u8> {
        if self.segments.len() <= 1 {
            let mut bytes = self.segments.pop().unwrap_or_default();
            bytes.shrink_to_fit();
            return bytes;
        }
        let mut bytes = Vec::with_capacity(self.length);
        for segment in self.segments {
            bytes.extend_from_slice(&segment);
        }
        bytes
    }

    /// Returns the last segment, which has room for at least one byte. The first one grows with
    /// the body, so that small bodies take no more than twice their size.
    fn free_segment(&mut self, wanted: usize) -> &mut Vec<u8> {
        let is_full = |segment: &Vec<u8>| segment.len() == SEGMENT_SIZE;
        if self.segments.last().is_none_or(is_full) {
            let size = if self.segments.is_empty() {
                wanted.min(SEGMENT_SIZE)
            } else {
                SEGMENT_SIZE
            };
            self.segments.push(Vec::with_capacity(size));
        }
        let last = self.segments.len() - 1;
        let segment = &mut self.segments[last];
        let size = (segment.len() + wanted).min(SEGMENT_SIZE);
        if size > segment.capacity() {
            let capacity = size.max(2 * segment.capacity()).min(SEGMENT_SIZE);
            segment.reserve_exact(capacity - segment.len());
        }
        segment
    }
}
