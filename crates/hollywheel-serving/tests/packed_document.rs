//! Tests of compressed documents and their transfer in parts.

use hollywheel_serving::{
    DocumentAssembly, DocumentError, DocumentId, DocumentPart, PART_BYTES, PackedDocument,
};
use hollywheel_types::ConfigVersion;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Returns a document that compresses to several parts.
fn document(seed: u64) -> Vec<u8> {
    let mut random = StdRng::seed_from_u64(seed);
    (0..PART_BYTES * 5).map(|_| random.random::<u8>()).collect()
}

fn pack(version: u64, seed: u64) -> PackedDocument {
    PackedDocument::pack(ConfigVersion(version), &document(seed))
}

/// Adds the next part that a host gives; returns whether it was accepted.
fn add_next(assembly: &mut DocumentAssembly, source: &PackedDocument) -> bool {
    let (id, offset) = assembly.progress();
    assembly.add(&source.part(id, offset))
}

#[test]
fn repetitive_document_is_smaller_in_packed_form() {
    let text = r#"{"name":"r-0","kind":"idempotent","timeout-ms":1200}"#.repeat(20_000);
    let packed = PackedDocument::pack(ConfigVersion(1), text.as_bytes());
    assert!(packed.size() < text.len() / 10, "{} bytes", packed.size());
    assert_eq!(packed.unpack().unwrap(), text.as_bytes());
}

#[test]
fn parts_from_several_hosts_make_up_the_document() {
    let (first, second) = (pack(7, 1), pack(7, 1));
    let mut assembly = DocumentAssembly::default();
    let mut calls = 0;
    let packed = loop {
        let source = if calls % 2 == 0 { &first } else { &second };
        assert!(add_next(&mut assembly, source));
        calls += 1;
        if let Some(packed) = assembly.take().unwrap() {
            break packed;
        }
    };
    assert_eq!(calls, first.size().div_ceil(PART_BYTES));
    assert_eq!(packed, first);
    assert_eq!(packed.unpack().unwrap(), document(1));
}

#[test]
fn newer_document_replaces_a_partial_one_and_an_older_one_does_not() {
    let (old, new) = (pack(7, 1), pack(8, 2));
    let mut assembly = DocumentAssembly::default();
    assert!(add_next(&mut assembly, &old));
    assert!(add_next(&mut assembly, &new));
    assert_eq!(assembly.progress(), (new.id(), PART_BYTES));
    assert!(!add_next(&mut assembly, &old));
    assert_eq!(assembly.progress(), (new.id(), PART_BYTES));
}

#[test]
fn other_compression_of_the_same_version_starts_again() {
    let (first, second) = (pack(7, 1), pack(7, 2));
    let mut assembly = DocumentAssembly::default();
    assert!(add_next(&mut assembly, &first));
    assert!(add_next(&mut assembly, &second));
    assert_eq!(assembly.progress(), (second.id(), PART_BYTES));
}

#[test]
fn unfitting_parts_are_rejected() {
    let packed = pack(7, 1);
    let part = packed.part(DocumentId::default(), 0);
    let mut assembly = DocumentAssembly::default();
    let refused = [
        DocumentPart {
            bytes: Vec::new(),
            ..part.clone()
        },
        DocumentPart {
            offset: 1,
            ..part.clone()
        },
        DocumentPart {
            total: usize::MAX,
            ..part.clone()
        },
        DocumentPart {
            total: 10,
            ..part.clone()
        },
    ];
    for part in refused {
        assert!(!assembly.add(&part), "{:?}", (part.offset, part.total));
    }
    assert_eq!(assembly.take(), Ok(None));
    assert!(assembly.add(&part), "the first part after unfitting ones");
    assert!(!assembly.add(&part), "the same part again");
}

#[test]
fn damaged_document_is_not_taken() {
    let packed = pack(7, 1);
    let mut assembly = DocumentAssembly::default();
    let taken = loop {
        let (id, offset) = assembly.progress();
        let mut part = packed.part(id, offset);
        part.bytes[0] ^= 1;
        assert!(assembly.add(&part));
        let taken = assembly.take();
        if taken != Ok(None) {
            break taken;
        }
    };
    assert_eq!(taken, Err(DocumentError::Damaged));
    assert_eq!(assembly.progress(), (DocumentId::default(), 0));
}
