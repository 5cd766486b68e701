use super::super::tests::VALID;
use super::*;

#[test]
fn an_operators_file_is_checked_against_the_platforms_settings() {
    let config = Config::decode(VALID).unwrap();
    let valid = "[ajp]\nlisten = \"127.0.0.1:0\"\n[[ajp.route]]\npath = \"/p/\"\nclass = \"a\"\n";
    let ajp = OperatorSettings::decode(valid, &config).unwrap().ajp.unwrap();
    assert_eq!((ajp.class_of("/p/x"), ajp.class_of("/p"), ajp.class_of("/px")), (Some("a"), Some("a"), None));
    for (text, expected) in [
        (valid.replace("\"a\"", "\"b\""), "class"),
        (valid.replace("[[ajp.route]]", "[[ajp.other]]"), "route"),
        (format!("{valid}[[ajp.tenant]]\nremote_user = \"u\"\ntenant = \"t\"\n"), "tenant"),
        ("[backend]\nservers = []\n".to_owned(), "servers"),
        (
            "[http2]\nlisten = \"127.0.0.1:0\"\nstreams = 0\n".to_owned(),
            "http2.streams is 0; expected 1 to 1000",
        ),
        (
            "[http2]\nlisten = \"127.0.0.1:0\"\nnewcomers = 0\n".to_owned(),
            "http2.newcomers is 0; expected 1 to 65536",
        ),
        ("[http2]\nlisten = \"here\"\n".to_owned(), "line 2"),
        ("[ajp".to_owned(), "line 1"),
    ] {
        let error = OperatorSettings::decode(&text, &config).unwrap_err().to_string();
        assert!(error.contains(expected) && !error.contains('\n'), "{error}");
    }
    assert!(OperatorSettings::decode("", &config).unwrap().ajp.is_none());
}

#[test]
fn an_unknown_block_or_key_is_rejected_with_its_line() {
    let config = Config::decode(VALID).unwrap();
    let ajp = "[ajp]\nlisten = \"127.0.0.1:0\"\n[[ajp.route]]\npath = \"/p\"\nclass = \"a\"\n";
    let backend = "[backend]\nservers = [\"127.0.0.1:1\"]\n";
    let directory = "[directory]\naddress = \"127.0.0.1:1\"\nbase = \"o=x\"\nidentity = \"remote-user\"\n\
            identity_attribute = \"uid\"\ntenant_attribute = \"o\"\n";
    let pools = "[pools]\n[[pools.pool]]\nname = \"p\"\nclasses = [\"a\"]\n";
    for (text, unknown, line) in [
        ("[nonsense]\n".to_owned(), "nonsense", 1),
        // If this key were ignored, the frontend would not require a secret.
        (ajp.replace("[[", "secrt = \"x\"\n[["), "secrt", 3),
        (format!("{ajp}clas = \"a\"\n"), "clas", 6),
        (format!("{ajp}[[ajp.tenant]]\nremote_usr = \"u\"\ntenant = \"t\"\n"), "remote_usr", 7),
        (format!("{ajp}[ajp.tls]\n"), "tls", 6),
        (format!("{backend}secret_ = \"x\"\n"), "secret_", 3),
        (format!("{directory}timeout = 5\n"), "timeout", 7),
        (pools.replace("[pools]\n", "[pools]\nwindow = 5\n"), "window", 2),
        (pools.replace("[pools]\n", "[pools]\n[pools.reserv]\nslots = 1\n"), "reserv", 2),
        (pools.replace("[pools]\n", "[pools.reserve]\npool = \"p\"\nslot = 1\n"), "slot", 3),
        (format!("{pools}guaranty = 0.5\n"), "guaranty", 5),
        ("[http2]\nlisten = \"127.0.0.1:0\"\nstream = 5\n".to_owned(), "stream", 3),
    ] {
        let error = OperatorSettings::decode(&text, &config).expect_err(unknown).to_string();
        let expected = format!("line {line}: unknown field `{unknown}`");
        assert!(error.starts_with(&expected) && !error.contains('\n'), "{expected}: {error}");
    }
}

#[test]
fn the_shipped_ajp_and_http2_files_are_valid() {
    let config = Config::decode(include_str!("../../../examples/config.json")).unwrap();
    let text = include_str!("../../../deploy/ajp.toml");
    let operator = OperatorSettings::decode(text, &config).unwrap();
    assert!(operator.ajp.is_some() && operator.backend.is_none() && operator.directory.is_none());
    let http2 =
        OperatorSettings::decode(include_str!("../../../deploy/http2.toml"), &config).unwrap().http2.unwrap();
    // The shipped file gives the defaults explicitly.
    let defaults = OperatorSettings::decode("[http2]\nlisten = \"127.0.0.1:7002\"\n", &config).unwrap().http2;
    assert_eq!(Some(http2), defaults);
    // The blocks that are commented out must be valid, too.
    let uncommented: String = text
        .lines()
        .map(|l| l.strip_prefix('#').filter(|r| !r.starts_with(' ')).unwrap_or(l))
        .fold(String::new(), |all, line| all + line + "\n");
    let operator = OperatorSettings::decode(&uncommented, &config).unwrap();
    assert_eq!(operator.backend.unwrap().path_of("port-submit"), "/porting/submit");
    assert_eq!(operator.directory.unwrap().identity, crate::config::Identity::RemoteUser);
}
