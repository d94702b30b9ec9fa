//! The read buffer of a connection: it grows on demand up to a bound that the caller gives, and is compacted in place.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;

/// Longest line of the line protocols, its line end included, in bytes.
pub const MAX_LINE_BYTES: usize = 4096;
/// Smallest free space offered to a read, in bytes.
const READ_BYTES: usize = 1024;

/// Bytes that have been read from a connection and not been consumed.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// Number of bytes at the front that have been consumed.
    start: usize,
}

impl Buffer {
    /// Returns the bytes that have not been consumed.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Drops the first `n` bytes.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.bytes.len());
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            // Releases the memory of a buffer that had to grow: most connections are idle most of the time.
            self.bytes.shrink_to(2 * READ_BYTES);
        }
    }

    /// Reserves space for a read, up to `max_bytes` in the buffer.
    fn reserve(&mut self, max_bytes: usize) {
        if self.bytes.capacity() - self.bytes.len() < READ_BYTES {
            self.bytes.drain(..self.start);
            self.start = 0;
            let room = max_bytes.saturating_sub(self.bytes.len()).min(self.bytes.len().max(READ_BYTES));
            self.bytes.reserve_exact(room.max(1));
        }
    }

    /// Reads the bytes that are available without waiting into a buffer that holds fewer than `max_bytes`. Returns 0 at
    /// the end of the stream.
    pub fn try_read(&mut self, stream: &TcpStream, max_bytes: usize) -> io::Result<usize> {
        self.reserve(max_bytes);
        stream.try_read_buf(&mut self.bytes)
    }

    /// Waits for bytes from any stream and reads them. Returns 0 at its end.
    pub async fn read_from(
        &mut self,
        from: &mut (impl AsyncRead + Unpin),
        max_bytes: usize,
    ) -> io::Result<usize> {
        self.reserve(max_bytes);
        from.read_buf(&mut self.bytes).await
    }

    /// Returns the length of the first line, its line end included; none where it is not complete.
    pub fn first_line_len(&self) -> Option<usize> {
        self.data().iter().position(|&b| b == b'\n').map(|i| i + 1)
    }
}

/// Returns a line without its line end.
pub fn strip_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}
