//! The in-memory transport between the event loop and the codec: received bytes go in, bytes to send come out. Both
//! directions are bounded, so that a peer that doesn't read stalls the codec instead of using more memory.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Limit on the received bytes that wait for the codec.
pub const MAX_INPUT_BYTES: usize = 16 * 1024;
/// Limit on the codec's output that waits for the event loop (bytes).
pub const MAX_OUTPUT_BYTES: usize = 64 * 1024;

#[derive(Default)]
struct Buffers {
    input: VecDeque<u8>,
    output: Vec<u8>,
    input_ended: bool,
}

/// The pipe; the event loop and the codec each hold a clone.
#[derive(Clone, Default)]
pub struct Pipe(Rc<RefCell<Buffers>>);

impl Pipe {
    /// The number of bytes that can be fed to the codec now.
    pub fn free_bytes(&self) -> usize {
        MAX_INPUT_BYTES.saturating_sub(self.0.borrow().input.len())
    }

    /// The number of bytes that the codec has not read yet.
    pub fn unread(&self) -> usize {
        self.0.borrow().input.len()
    }

    /// Passes bytes to the codec. The caller must not exceed [`Pipe::free_bytes`].
    pub fn feed(&self, bytes: &[u8]) {
        self.0.borrow_mut().input.extend(bytes);
    }

    /// Signals that the peer will send no more.
    pub fn end(&self) {
        self.0.borrow_mut().input_ended = true;
    }

    /// Takes the codec's output.
    pub fn drain(&self) -> Vec<u8> {
        std::mem::take(&mut self.0.borrow_mut().output)
    }
}

impl AsyncRead for Pipe {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut buffers = self.0.borrow_mut();
        if buffers.input.is_empty() {
            return if buffers.input_ended { Poll::Ready(Ok(())) } else { Poll::Pending };
        }
        let (first, _) = buffers.input.as_slices();
        let length = first.len().min(buf.remaining());
        buf.put_slice(&first[..length]);
        buffers.input.drain(..length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Pipe {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let mut buffers = self.0.borrow_mut();
        let length = buf.len().min(MAX_OUTPUT_BYTES.saturating_sub(buffers.output.len()));
        if length == 0 && !buf.is_empty() {
            return Poll::Pending;
        }
        buffers.output.extend_from_slice(&buf[..length]);
        Poll::Ready(Ok(length))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
