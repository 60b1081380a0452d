//! Encoding of blocks `magic | crc32 | version | body`: segment header, hard state, snapshot.

use bincode::config::{Configuration, Fixint, LittleEndian};
use bincode::{Decode, Encode};

use super::{FORMAT_VERSION, FormatError, HardState, Position, SEGMENT_HEADER_LEN, Snapshot};

const SEGMENT_MAGIC: [u8; 8] = *b"azlugseg";
const HARD_STATE_MAGIC: [u8; 8] = *b"azlughst";
const SNAPSHOT_MAGIC: [u8; 8] = *b"azlugsnp";
const PREFIX_LEN: usize = 16;

/// Fixed-width integers keep the segment header at a fixed length.
const CONFIG: Configuration<LittleEndian, Fixint> = bincode::config::standard()
    .with_little_endian()
    .with_fixed_int_encoding();

/// Header of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Encode, Decode)]
pub struct SegmentHeader {
    /// Cluster to which the log belongs.
    pub cluster: u128,
    /// Generation of all records in the segment; each new segment increments it.
    pub generation: u64,
    /// Generation and final length of the previous segment; both 0 if there is none.
    pub previous: Position,
    /// Index of the last entry before this segment.
    pub last_index: u64,
    /// Term of that entry.
    pub last_term: u64,
}

#[derive(Encode, Decode)]
struct HardStateBody {
    cluster: u128,
    state: HardState,
    synced: Position,
}

#[derive(Encode, Decode)]
struct SnapshotHeader {
    cluster: u128,
    index: u64,
    term: u64,
}

/// Length of a [`SnapshotHeader`]: cluster id, index, term.
const SNAPSHOT_HEADER_LEN: usize = 32;

impl SegmentHeader {
    /// Encodes the header into [`SEGMENT_HEADER_LEN`] bytes.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        encode_block(SEGMENT_MAGIC, &encode_body(self), &[])
    }

    /// Decodes the header at the start of a segment.
    ///
    /// # Errors
    /// The header is damaged, has another format version or belongs to another cluster.
    pub fn decode(file: &str, bytes: &[u8], cluster: u128) -> Result<Self, FormatError> {
        let bytes = bytes.get(..SEGMENT_HEADER_LEN).ok_or_else(|| {
            FormatError::corrupt(file, bytes.len() as u64, "the segment header is incomplete")
        })?;
        let header: Self = decode_body(file, decode_block(file, SEGMENT_MAGIC, bytes)?)?;
        check_cluster(file, header.cluster, cluster)?;
        Ok(header)
    }
}

/// Encodes the hard-state file. `synced` is a position up to which the journal was synced.
#[must_use]
pub fn encode_hard_state(cluster: u128, state: HardState, synced: Position) -> Vec<u8> {
    encode_block(
        HARD_STATE_MAGIC,
        &encode_body(&HardStateBody {
            cluster,
            state,
            synced,
        }),
        &[],
    )
}

/// Decodes the hard-state file.
///
/// # Errors
/// The file is damaged, has another format version or belongs to another cluster.
pub fn decode_hard_state(
    file: &str,
    bytes: &[u8],
    cluster: u128,
) -> Result<(HardState, Position), FormatError> {
    let body: HardStateBody = decode_body(file, decode_block(file, HARD_STATE_MAGIC, bytes)?)?;
    check_cluster(file, body.cluster, cluster)?;
    Ok((body.state, body.synced))
}

/// Encodes a snapshot file.
#[must_use]
pub fn encode_snapshot(cluster: u128, snapshot: &Snapshot) -> Vec<u8> {
    let head = SnapshotHeader {
        cluster,
        index: snapshot.index,
        term: snapshot.term,
    };
    encode_block(SNAPSHOT_MAGIC, &encode_body(&head), &snapshot.payload)
}

/// Length of a snapshot file with a payload of this length, in bytes.
#[must_use]
pub fn snapshot_len(payload: usize) -> usize {
    PREFIX_LEN + SNAPSHOT_HEADER_LEN + payload
}

/// Decodes a snapshot file.
///
/// # Errors
/// The file is damaged, has another format version or belongs to another cluster.
pub fn decode_snapshot(file: &str, bytes: &[u8], cluster: u128) -> Result<Snapshot, FormatError> {
    let body = decode_block(file, SNAPSHOT_MAGIC, bytes)?;
    let Some((head, payload)) = body.split_at_checked(SNAPSHOT_HEADER_LEN) else {
        return Err(FormatError::corrupt(
            file,
            bytes.len() as u64,
            "the snapshot is incomplete",
        ));
    };
    let head: SnapshotHeader = decode_body(file, head)?;
    check_cluster(file, head.cluster, cluster)?;
    Ok(Snapshot {
        index: head.index,
        term: head.term,
        payload: payload.to_vec(),
    })
}

fn encode_body<T: Encode>(value: &T) -> Vec<u8> {
    bincode::encode_to_vec(value, CONFIG).expect("encoding integers into a Vec cannot fail")
}

fn encode_block(magic: [u8; 8], head: &[u8], rest: &[u8]) -> Vec<u8> {
    let version = FORMAT_VERSION.to_le_bytes();
    let mut hasher = crc32fast::Hasher::new();
    for part in [&version[..], head, rest] {
        hasher.update(part);
    }
    let mut out = Vec::with_capacity(PREFIX_LEN + head.len() + rest.len());
    for part in [
        &magic[..],
        &hasher.finalize().to_le_bytes(),
        &version,
        head,
        rest,
    ] {
        out.extend_from_slice(part);
    }
    out
}

/// Checks magic, checksum and version, and returns the body. The checksum is checked before the
/// version so that a damaged version field is reported as damage; later format versions must keep
/// the layout of these first 16 bytes.
fn decode_block<'a>(file: &str, magic: [u8; 8], bytes: &'a [u8]) -> Result<&'a [u8], FormatError> {
    if bytes.len() < PREFIX_LEN {
        return Err(FormatError::corrupt(
            file,
            bytes.len() as u64,
            "the file is incomplete",
        ));
    }
    if bytes[..8] != magic {
        return Err(FormatError::corrupt(
            file,
            0,
            "the magic bytes do not match",
        ));
    }
    let field = |at: usize| [bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]];
    if crc32fast::hash(&bytes[12..]) != u32::from_le_bytes(field(8)) {
        return Err(FormatError::corrupt(file, 8, "the checksum does not match"));
    }
    let found = u32::from_le_bytes(field(12));
    if found != FORMAT_VERSION {
        return Err(FormatError::UnsupportedVersion {
            file: file.to_owned(),
            found,
            expected: FORMAT_VERSION,
        });
    }
    Ok(&bytes[PREFIX_LEN..])
}

fn decode_body<T: Decode<()>>(file: &str, bytes: &[u8]) -> Result<T, FormatError> {
    match bincode::decode_from_slice(bytes, CONFIG) {
        Ok((value, used)) if used == bytes.len() => Ok(value),
        _ => Err(FormatError::corrupt(
            file,
            PREFIX_LEN as u64,
            "the content cannot be decoded",
        )),
    }
}

fn check_cluster(file: &str, found: u128, expected: u128) -> Result<(), FormatError> {
    if found == expected {
        return Ok(());
    }
    Err(FormatError::WrongCluster {
        file: file.to_owned(),
        found,
        expected,
    })
}
