//! Replies and errors of the simulator adapter.

use crate::{add_failure, TemporaryFolder, Transcript, SIMULATOR_ADAPTER, SIMULATOR_ADAPTER_NAME};
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter on this input and waits for it to exit.
fn run_adapter(input: &str) -> Output {
    let mut command = Command::new(SIMULATOR_ADAPTER);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    // The adapter may exit at the first malformed line, before it has read the others.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

const ADAPTER_PROVISION: &str = r#"{"clockS":1.5,"workers":[{"workerId":4,"items":[{"cmd":"Provision","prng":7,"options":{"domain":{"nCores":2,"heapKb":50000.0,"runFactor":4.0},"contract":{"fallMultiple":4.0,"tipAfterS":2.0},"profiles":[{"credit":1.0,"deadlineS":3.0,"effect":"safe","targetS":1.0},{"credit":5.0,"deadlineS":3.0,"effect":"keyed","targetS":1.0,"windowS":8.0}],"servers":2,"periodS":0.002}},{"cmd":"Req","req":"t/aa","tierClass":0,"kb":10.0,"queuedForS":0.001}]}]}"#;

/// One batch for the worker of `ADAPTER_PROVISION`.
fn batch(clock_s: f64, items: &str) -> String {
    format!(r#"{{"clockS":{clock_s},"workers":[{{"workerId":4,"items":[{items}]}}]}}"#)
}

#[test]
fn simulator_adapter_replies_match_the_fixture() {
    let lines = [
        r#"{"clockS":1.0,"workers":[]}"#.to_owned(),
        ADAPTER_PROVISION.to_owned(),
        String::new(),
        batch(1.6, r#"{"cmd":"AtCall","req":"t/aa"}"#),
        batch(1.7, r#"{"cmd":"DepReply","req":"t/aa","disposition":"OK"}"#),
        batch(1.8, r#"{"cmd":"Ended","req":"t/aa","disposition":"OK","elapsedS":0.1}"#),
        batch(1.9, r#"{"cmd":"Req","req":"k1","tierClass":1,"kb":5.0,"write":true}"#),
        batch(2.0, r#"{"cmd":"Req","req":"k2","tierClass":1,"kb":5.0,"earlier":"k1","isRetry":true}"#),
        batch(2.1, r#"{"cmd":"Ended","req":"k1","disposition":"OK"}"#),
        batch(2.2, r#"{"cmd":"Req","req":"gone","tierClass":0,"kb":5.0},{"cmd":"Dropped","req":"gone"}"#),
        batch(2.3, r#"{"cmd":"DeadlineHit","nonce":"wake","gauge":[0.5,1.0]}"#),
        batch(2.4, r#"{"cmd":"Req","req":"late","tierClass":0,"kb":5.0,"queuedForS":2.99}"#),
        batch(2.5, r#"{"cmd":"Sigterm","remainingS":0.5}"#),
        batch(2.9, r#"{"cmd":"DeadlineHit","nonce":"wake"}"#),
        batch(3.0, r#"{"cmd":"Req","req":"after","tierClass":0,"kb":5.0}"#),
        batch(3.1, r#"{"cmd":"Stop"}"#),
    ];
    let output = run_adapter(&format!("{}\n", lines.join("\n")));
    let mut transcript = Transcript::default();
    let (stdout, stderr) =
        (String::from_utf8(output.stdout).unwrap(), String::from_utf8(output.stderr).unwrap());
    transcript.add_exit("a short exchange", output.status.code(), "", &stderr);
    let mut replies = stdout.split_inclusive('\n');
    for line in lines.iter().filter(|line| !line.is_empty()) {
        transcript.add_title(line);
        transcript.text.push_str(replies.next().expect("a reply"));
    }
    assert_eq!(replies.next(), None);
    transcript.check("simulator_adapter_replies.txt");
}

#[test]
fn simulator_adapter_errors_match_the_fixture() {
    let mut transcript = Transcript::default();
    let folder = TemporaryFolder::new();
    for (title, line) in [
        ("no JSON", "not json".to_owned()),
        ("JSON that ends early", r#"{"clockS":1.0,"#.to_owned()),
        ("no clock", r#"{"workers":[]}"#.to_owned()),
        ("clock of a wrong type", r#"{"clockS":"x","workers":[]}"#.to_owned()),
        ("unknown command", batch(1.6, r#"{"cmd":"Nonsense"}"#)),
        ("request without a name", batch(1.6, r#"{"cmd":"Req","tierClass":0,"kb":1.0}"#)),
        ("unknown class", batch(1.6, r#"{"cmd":"Req","req":"a","tierClass":9,"kb":1.0}"#)),
        ("unknown disposition", batch(1.6, r#"{"cmd":"Ended","req":"a","disposition":"ODD"}"#)),
        ("event for a missing instance", batch(1.6, r#"{"cmd":"AtCall","req":"a"}"#).replace(":4,", ":9,")),
        ("stop of a missing instance", batch(1.6, r#"{"cmd":"Stop"}"#).replace(":4,", ":9,")),
    ] {
        let output = run_adapter(&format!("{ADAPTER_PROVISION}\n{line}\n"));
        add_failure(&mut transcript, title, &folder, SIMULATOR_ADAPTER_NAME, &output);
    }
    transcript.check("simulator_adapter_errors.txt");
}
