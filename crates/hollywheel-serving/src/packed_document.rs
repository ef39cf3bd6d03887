//! Compressed documents that hosts pass on to each other in parts.

use std::fmt;
use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use hollywheel_types::ConfigVersion;
use xxhash_rust::xxh3::xxh3_64;

/// The maximum size of a part in bytes. A call that carries one part is short even if dozens of
/// hosts ask a host with a slow link at once, so that its time-out tells a host that does not answer
/// from one that is sending.
pub const PART_BYTES: usize = 16 * 1024;
/// The maximum size of a document in bytes, compressed or not.
const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// Identifies one compressed form of one version of a document. Hosts with different software may
/// compress the same version differently.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct DocumentId {
    /// The version of the document.
    pub version: ConfigVersion,
    /// The hash of the compressed bytes.
    pub digest: u64,
}

/// Reports why a document cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DocumentError {
    /// The compressed bytes are invalid or were damaged.
    Damaged,
    /// The document exceeds the supported size.
    TooLarge,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Damaged => write!(formatter, "the compressed document is damaged"),
            Self::TooLarge => write!(formatter, "the document exceeds {MAX_DOCUMENT_BYTES} bytes"),
        }
    }
}

impl std::error::Error for DocumentError {}

/// Holds a document in compressed form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PackedDocument {
    id: DocumentId,
    bytes: Vec<u8>,
}

/// Describes one part of a packed document.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DocumentPart {
    /// The document that the part belongs to.
    pub id: DocumentId,
    /// The position of the part in the compressed document, in bytes.
    pub offset: usize,
    /// The size of the compressed document in bytes.
    pub total: usize,
    /// The compressed bytes, at most [`PART_BYTES`].
    pub bytes: Vec<u8>,
}

impl PackedDocument {
    /// Compresses a document.
    pub fn pack(version: ConfigVersion, document: &[u8]) -> Self {
        // The fastest level: documents are repetitive, and hosts have little processor time.
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        // Writing to a vector cannot fail.
        let _ = encoder.write_all(document);
        Self::from_bytes(version, encoder.finish().unwrap_or_default())
    }

    fn from_bytes(version: ConfigVersion, bytes: Vec<u8>) -> Self {
        let digest = xxh3_64(&bytes);
        Self {
            id: DocumentId { version, digest },
            bytes,
        }
    }

    /// Returns what identifies the document.
    pub const fn id(&self) -> DocumentId {
        self.id
    }

    /// Returns the size of the compressed document in bytes.
    pub const fn size(&self) -> usize {
        self.bytes.len()
    }

    /// Decompresses the document.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are invalid or the document is too large.
    pub fn unpack(&self) -> Result<Vec<u8>, DocumentError> {
        let mut document = Vec::new();
        let limit = MAX_DOCUMENT_BYTES as u64 + 1;
        ZlibDecoder::new(self.bytes.as_slice())
            .take(limit)
            .read_to_end(&mut document)
            .map_err(|_| DocumentError::Damaged)?;
        if document.len() > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLarge);
        }
        Ok(document)
    }

    /// Returns the next part for a host that has the first `offset` bytes of the document `id`. A
    /// host that has another document starts again with this one.
    pub fn part(&self, id: DocumentId, offset: usize) -> DocumentPart {
        let start = match id == self.id && offset <= self.bytes.len() {
            true => offset,
            false => 0,
        };
        let end = (start + PART_BYTES).min(self.bytes.len());
        DocumentPart {
            id: self.id,
            offset: start,
            total: self.bytes.len(),
            bytes: self.bytes[start..end].to_vec(),
        }
    }
}

/// Assembles a document from its parts, which may come from several hosts.
#[derive(Clone, Debug, Default)]
pub struct DocumentAssembly {
    id: DocumentId,
    total: usize,
    bytes: Vec<u8>,
}

impl DocumentAssembly {
    /// Returns the document being assembled and how many of its bytes are present.
    pub const fn progress(&self) -> (DocumentId, usize) {
        (self.id, self.bytes.len())
    }

    /// Adds a part. Returns whether it was the next one, or the first of a newer document, with which
    /// the assembly starts again.
    pub fn add(&mut self, part: &DocumentPart) -> bool {
        let end = part.offset.saturating_add(part.bytes.len());
        if part.bytes.is_empty() || end > part.total || part.total > MAX_DOCUMENT_BYTES {
            return false;
        }
        if part.offset == 0 && part.id != self.id && part.id.version >= self.id.version {
            *self = Self {
                id: part.id,
                total: part.total,
                bytes: Vec::with_capacity(part.total),
            };
        }
        let is_next = part.id == self.id && part.total == self.total;
        if !is_next || part.offset != self.bytes.len() {
            return false;
        }
        self.bytes.extend_from_slice(&part.bytes);
        true
    }

    /// Takes the document if all of its parts are present, and starts again.
    ///
    /// # Errors
    ///
    /// Returns an error if the parts do not make up the announced document.
    pub fn take(&mut self) -> Result<Option<PackedDocument>, DocumentError> {
        if self.total == 0 || self.bytes.len() < self.total {
            return Ok(None);
        }
        let Self { id, bytes, .. } = std::mem::take(self);
        let packed = PackedDocument::from_bytes(id.version, bytes);
        match packed.id == id {
            true => Ok(Some(packed)),
            false => Err(DocumentError::Damaged),
        }
    }
}
