//! Tests of the program `shallotpost-standin`.
#![allow(clippy::unwrap_used)]

use std::fs;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_shallotpost-standin");

/// Guards against a help text whose example the program refuses, and against a program that ignores SIGTERM.
#[test]
fn the_example_runs_until_a_signal() {
    let help = Command::new(PROGRAM).arg("--help").output().unwrap();
    assert!(help.status.success());
    let text = String::from_utf8(help.stdout).unwrap();
    let example = &text[text.find("  {").unwrap()..=text.rfind("  }").unwrap() + 2];
    let settings = example.replace(":7100", ":0").replace(":7201", ":0");
    assert_ne!(settings, example);
    let path = format!("{}/standin-{}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    fs::write(&path, settings).unwrap();
    let mut command = Command::new(PROGRAM);
    let mut program = command.args(["--settings", &path]).stdout(Stdio::piped()).spawn().unwrap();
    let mut lines = BufReader::new(program.stdout.take().unwrap()).lines();
    for name in ["platform", "worker"] {
        let line = lines.next().unwrap().unwrap();
        let (kind, address) = line.split_once(' ').unwrap();
        assert_eq!(kind, name);
        let list = ureq::get(format!("http://{address}/list")).call();
        assert_eq!(list.is_ok(), name == "platform", "{list:?}");
    }
    let sent = Command::new("kill").args(["-TERM", &program.id().to_string()]).status().unwrap();
    assert!(sent.success());
    assert!(program.wait().unwrap().success());
    fs::remove_file(path).unwrap();
}

/// Guards against invalid arguments that are ignored or reported without a hint.
#[test]
fn invalid_arguments_are_refused() {
    for (arguments, expected) in [
        (&[][..], "--help"),
        (&["--colour"], "colour"),
        (&["--settings", "/nonexistent/file"], "cannot read"),
        (&["--settings", PROGRAM], "cannot read"),
    ] {
        let output = Command::new(PROGRAM).args(arguments).output().unwrap();
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && text.contains(expected), "{arguments:?}: {text}");
    }
}
