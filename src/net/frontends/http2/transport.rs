//! The transport between the codec and the event loop: bytes that the loop has read go in, bytes that it is to write
//! come out. Both directions are bounded, so that a peer that doesn't read stops the codec and takes no more memory.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that wait for the codec at most.
pub const MAX_INPUT_BYTES: usize = 16 * 1024;
/// Bytes that wait for the event loop at most.
pub const MAX_OUTPUT_BYTES: usize = 64 * 1024;

#[derive(Default)]
struct Buffers {
    input: VecDeque<u8>,
    output: Vec<u8>,
    input_ended: bool,
}

/// One end of the pipe; the codec has a clone of it.
#[derive(Clone, Default)]
pub struct Pipe(Rc<RefCell<Buffers>>);

impl Pipe {
    /// How many more bytes may be fed to the codec now.
    pub fn free_bytes(&self) -> usize {
        MAX_INPUT_BYTES.saturating_sub(self.0.borrow().input.len())
    }

    /// Bytes that the codec has not read yet.
    pub fn unread(&self) -> usize {
        self.0.borrow().input.len()
    }

    /// Hands bytes to the codec; the caller keeps within [`Pipe::free_bytes`].
    pub fn feed(&self, bytes: &[u8]) {
        self.0.borrow_mut().input.extend(bytes);
    }

    /// The peer will send no more.
    pub fn end(&self) {
        self.0.borrow_mut().input_ended = true;
    }

    /// Takes what the codec has written.
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
