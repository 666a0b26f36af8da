//! Bytes that are kept until all of them have arrived.

use bytes::{Bytes, BytesMut};

/// Size of a block, unless a chunk is larger.
const BLOCK_BYTES: usize = 64 << 10;

/// Bytes in blocks of one size, which needn't be copied to grow, and whose memory is used again;
/// small chunks, each with its own overhead, would take many times their size.
#[derive(Debug, Default)]
pub(crate) struct Blocks {
    full: Vec<Bytes>,
    last: BytesMut,
}

impl Blocks {
    /// Appends bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        if self.last.capacity() - self.last.len() < bytes.len() {
            let size = BLOCK_BYTES.max(bytes.len());
            let last = std::mem::replace(&mut self.last, BytesMut::with_capacity(size));
            self.full.push(last.freeze());
        }
        self.last.extend_from_slice(bytes);
    }

    /// The bytes in order.
    pub(crate) fn into_parts(self) -> impl Iterator<Item = Bytes> {
        let parts = self.full.into_iter().chain([self.last.freeze()]);
        parts.filter(|part| !part.is_empty())
    }
}
