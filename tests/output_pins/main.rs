//! Compares the programs' output byte for byte with the fixtures under `tests/fixtures/output`: console responses, exit
//! statuses and error lines, the simulator adapter's replies, and the responses of the HTTP/1.1 frontend.
//!
//! To regenerate the fixtures from the current programs, run with `UPDATE_OUTPUT_FIXTURES=1` and review the difference.
//! Such a run fails, because it compares nothing.

mod console;
mod frontend;
mod simulator_adapter;
mod startup;

use std::fmt::Write;
use std::path::PathBuf;
use std::process::Output;
use test_support::{unique_request_id, WorkerProgram};

/// The program under test.
const WORKER: WorkerProgram = WorkerProgram::new(env!("CARGO_BIN_EXE_port-worker"));

/// The names that the programs use in their messages, and the path of the simulator adapter.
const WORKER_NAME: &str = "port-worker";
const SIMULATOR_ADAPTER: &str = env!("CARGO_BIN_EXE_simulator-adapter");
const SIMULATOR_ADAPTER_NAME: &str = "simulator-adapter";

const UPDATE_VARIABLE: &str = "UPDATE_OUTPUT_FIXTURES";

/// An operator's file with two class pools, one for each class of `settings`.
const POOLS: &str = "[pools]\n[[pools.pool]]\nname = \"cheap\"\nclasses = [\"look\"]\n\
    [[pools.pool]]\nname = \"heavy\"\nclasses = [\"order\"]\nguarantee = 0.5\n";

/// The output of a series of cases, each under a title.
#[derive(Default)]
struct Transcript {
    text: String,
}

impl Transcript {
    fn add_title(&mut self, title: &str) {
        if !self.text.is_empty() {
            self.text.push('\n');
        }
        writeln!(self.text, "== {title}").unwrap();
    }

    /// Adds bytes sent on the wire, one line each. Non-printable characters are escaped, so that line ends are visible
    /// in the fixture.
    fn add_bytes(&mut self, title: &str, bytes: &[u8]) {
        self.add_title(title);
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            writeln!(self.text, "{}", line.escape_ascii()).unwrap();
        }
    }

    /// Adds an exit status and both output streams.
    fn add_exit(&mut self, title: &str, status: Option<i32>, stdout: &str, stderr: &str) {
        self.add_title(title);
        let status = status.map_or("none".to_owned(), |code| code.to_string());
        write!(self.text, "status {status}\nstdout {stdout:?}\nstderr\n{stderr}").unwrap();
    }

    /// Compares the transcript with the fixture.
    fn check(&self, fixture: &str) {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/output").join(fixture);
        if std::env::var_os(UPDATE_VARIABLE).is_some() {
            std::fs::write(&path, &self.text).unwrap();
            panic!("{fixture} is written; run again without {UPDATE_VARIABLE}");
        }
        let expected = std::fs::read_to_string(&path).unwrap();
        for (number, (found, expected)) in self.text.lines().zip(expected.lines()).enumerate() {
            assert_eq!(found, expected, "{fixture}, line {}", number + 1);
        }
        assert_eq!(self.text, expected, "{fixture}");
    }
}

/// A temporary folder, which is removed when this value is dropped.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new() -> TemporaryFolder {
        let folder =
            std::env::temp_dir().join(format!("output-pins-{}-{}", std::process::id(), unique_request_id()));
        std::fs::create_dir_all(&folder).unwrap();
        TemporaryFolder(folder)
    }

    fn path(&self, file: &str) -> String {
        self.0.join(file).to_str().unwrap().to_owned()
    }

    /// Writes a file and returns its path.
    fn write(&self, file: &str, text: &str) -> String {
        std::fs::write(self.0.join(file), text).unwrap();
        self.path(file)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Replaces the text after `prefix` in each line that contains it.
fn mask_after(text: &str, prefix: &str) -> String {
    let mask_line = |line: &str| match line.split_once(prefix) {
        Some((before, value)) => {
            let end = if value.ends_with("\r\n") { "\r\n" } else { "\n" };
            format!("{before}{prefix}<varies>{end}")
        }
        None => line.to_owned(),
    };
    text.split_inclusive('\n').map(mask_line).collect()
}

/// Adds a failed start to the transcript, with the folder's path and the program's name masked.
fn add_failure(
    transcript: &mut Transcript,
    title: &str,
    folder: &TemporaryFolder,
    program: &str,
    output: &Output,
) {
    let stdout = String::from_utf8(output.stdout.clone()).unwrap();
    let stderr = String::from_utf8(output.stderr.clone()).unwrap();
    assert_eq!(stderr.lines().count(), 1, "{title}: {stderr}");
    assert!(stderr.ends_with('\n'), "{title}: {stderr}");
    let rest = stderr.strip_prefix(&format!("{program}: ")).unwrap_or_else(|| panic!("{title}: {stderr}"));
    let rest = rest.replace(folder.0.to_str().unwrap(), "<folder>");
    let rest = rest.replace(&format!("usage: {program} "), "usage: <program> ");
    transcript.add_exit(title, output.status.code(), &stdout, &format!("<program>: {rest}"));
}
