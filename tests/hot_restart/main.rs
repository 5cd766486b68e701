//! Hot restarts under load: worker processes that share listeners, and scripted processes in the role of a predecessor
//! or successor.

mod chains;
mod lifecycle;
mod peers;
mod requests;

use port_worker::hot_restart::frame::Frame;
use serde_json::Value;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use test_support::{Executor, RequestBuilder, SharedListener, WorkerProgram, WorkerUnderTest, TIMEOUT};

/// The program under test.
const WORKER: WorkerProgram = WorkerProgram::new(env!("CARGO_BIN_EXE_port-worker"));

/// A scripted predecessor or successor at the other end of the hot restart link. Descriptors that come with frames are
/// closed.
struct ScriptedProcess {
    stream: UnixStream,
    buffer: Vec<u8>,
}

impl ScriptedProcess {
    fn new(stream: UnixStream) -> ScriptedProcess {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        ScriptedProcess { stream, buffer: Vec::new() }
    }

    fn connect(shared: &SharedListener) -> ScriptedProcess {
        ScriptedProcess::new(UnixStream::connect(shared.hot_restart_socket()).unwrap())
    }

    fn send(&mut self, frame: &Frame) {
        self.stream.write_all(&frame.encode()).unwrap();
    }

    fn receive(&mut self) -> Frame {
        loop {
            if let Some((frame, length)) = Frame::decode(&self.buffer).unwrap() {
                self.buffer.drain(..length);
                return frame;
            }
            let mut chunk = [0; 4096];
            let n = self.stream.read(&mut chunk).expect("no frame was received");
            assert!(n > 0, "the link was closed before a complete frame was received");
            self.buffer.extend_from_slice(&chunk[..n]);
        }
    }

    fn send_hello(&mut self, version: u32) {
        let (classes, tenants) = (vec!["look".into(), "order".into()], vec!["acme".into()]);
        self.send(&Frame::Hello { version, name: "n1".into(), classes, tenants });
    }
}

fn order(key: &str) -> RequestBuilder<'_> {
    RequestBuilder::new("order").key(key)
}

fn retry(key: &str) -> RequestBuilder<'_> {
    order(key).retry()
}

/// Starts a worker that has no predecessor and accepts its link as an executor; waits until the worker is ready.
fn start_first(shared: &SharedListener) -> (WorkerUnderTest, Executor) {
    let predecessor = WORKER.start_on(shared, |_| {});
    let executor = predecessor.accept_link();
    predecessor.wait_ready();
    (predecessor, executor)
}

/// Starts a successor and accepts its link as an executor; waits until the successor has taken over.
fn start_successor(shared: &SharedListener) -> (WorkerUnderTest, Executor) {
    let successor = WORKER.start_on(shared, |_| {});
    let executor = successor.accept_link();
    successor.wait_ready();
    (successor, executor)
}

fn job(command: &Value) -> &Value {
    &command["job"]
}
