//! The transport that stands between the codec and the loop: bytes that the loop has read go in, bytes that it is to
//! write come out. Both sides are bounded, so that a peer that does not read stops the codec, not the memory.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that wait for the codec, and for the loop, at most.
pub const INPUT_MOST: usize = 16 * 1024;
pub const OUTPUT_MOST: usize = 64 * 1024;

#[derive(Default)]
struct Shared {
    input: VecDeque<u8>,
    output: Vec<u8>,
    ended: bool,
}

/// One end of the pipe; the codec has a clone of it.
#[derive(Clone, Default)]
pub struct Pipe(Rc<RefCell<Shared>>);

impl Pipe {
    /// How many more bytes the codec's side takes now.
    pub fn room(&self) -> usize {
        INPUT_MOST.saturating_sub(self.0.borrow().input.len())
    }

    /// Bytes that the codec has not taken yet.
    pub fn unread(&self) -> usize {
        self.0.borrow().input.len()
    }

    pub fn feed(&self, bytes: &[u8]) {
        self.0.borrow_mut().input.extend(bytes);
    }

    /// The peer will send no more.
    pub fn end(&self) {
        self.0.borrow_mut().ended = true;
    }

    /// What is to be written.
    pub fn drain(&self) -> Vec<u8> {
        std::mem::take(&mut self.0.borrow_mut().output)
    }
}

impl AsyncRead for Pipe {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut shared = self.0.borrow_mut();
        if shared.input.is_empty() {
            return if shared.ended { Poll::Ready(Ok(())) } else { Poll::Pending };
        }
        let (first, _) = shared.input.as_slices();
        let n = first.len().min(buf.remaining());
        buf.put_slice(&first[..n]);
        shared.input.drain(..n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Pipe {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let mut shared = self.0.borrow_mut();
        let n = buf.len().min(OUTPUT_MOST.saturating_sub(shared.output.len()));
        if n == 0 && !buf.is_empty() {
            return Poll::Pending;
        }
        shared.output.extend_from_slice(&buf[..n]);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
