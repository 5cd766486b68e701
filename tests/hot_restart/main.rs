//! Hot restarts under load: real processes on one listener, and scripted processes at the other end of the link.

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

/// A scripted process at the other end of the link. Descriptors that come with frames are closed.
struct ScriptedProcess {
    stream: UnixStream,
    input: Vec<u8>,
}

impl ScriptedProcess {
    fn on(stream: UnixStream) -> ScriptedProcess {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        ScriptedProcess { stream, input: Vec::new() }
    }

    fn connect(shared: &SharedListener) -> ScriptedProcess {
        ScriptedProcess::on(UnixStream::connect(shared.hot_restart_socket()).unwrap())
    }

    fn send(&mut self, frame: &Frame) {
        self.stream.write_all(&frame.encode()).unwrap();
    }

    fn receive(&mut self) -> Frame {
        loop {
            if let Some((frame, length)) = Frame::decode(&self.input).unwrap() {
                self.input.drain(..length);
                return frame;
            }
            let mut bytes = [0; 4096];
            let n = self.stream.read(&mut bytes).expect("a frame");
            assert!(n > 0, "the link was closed");
            self.input.extend_from_slice(&bytes[..n]);
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

/// A process without a predecessor that serves, and its executor.
fn start_first(shared: &SharedListener) -> (WorkerUnderTest, Executor) {
    let predecessor = WORKER.start_on(shared, |_| {});
    let executor = predecessor.accept_link();
    predecessor.wait_ready();
    (predecessor, executor)
}

/// A successor that has taken over, and its executor.
fn start_successor(shared: &SharedListener) -> (WorkerUnderTest, Executor) {
    let successor = WORKER.start_on(shared, |_| {});
    let executor = successor.accept_link();
    successor.wait_ready();
    (successor, executor)
}

fn job(command: &Value) -> &Value {
    &command["job"]
}
