//! Tests of the command line: options, arguments, help and usage errors.
#![allow(clippy::unwrap_used)]

mod fake;

use fake::{CLOSED, Fake, KEY, code, run, run_words};
use shallotpost_cli::commands;
use shallotpost_cli::error::EXIT_USAGE;
use shallotpost_cli::{Environment, execute};

/// Invalid command lines and a part of their message.
const INVALID: [(&str, &str); 36] = [
    ("frobnicate", "no command \"frobnicate\""),
    ("key", "needs a second word: key grant, key withdraw, key rotate"),
    ("object", "object put, object get"),
    ("--colour overview", "colour"),
    ("overview --colour", "colour"),
    ("overview extra", "expected arguments"),
    ("get team", "expected arguments"),
    ("get tribe x", "\"tribe\" is not a kind"),
    ("get team ../x", "is not a name"),
    ("get team a/b", "is not a name"),
    ("list work", "needs a team"),
    ("list team x", "use --prefix"),
    ("list team --prefix a&b", "is not a name"),
    ("delete team x --revision new", "not a whole number"),
    ("apply", "-f is required"),
    ("watch --from x", "not a whole number"),
    ("force newest", "not a revision"),
    ("wait day-17", "<team>/<id>"),
    ("cancel intake/", "<team>/<id>"),
    ("status a/b/c", "<team>/<id>"),
    ("submit -- true", "--team or --file"),
    ("submit --team intake", "command of the work is missing"),
    ("submit --team intake --class wide -- true", "not a class"),
    ("submit --team intake --class gang -- true", "needs --tasks"),
    ("submit --team intake --class batch --tasks 2 -- true", "leave --tasks out"),
    ("submit --team intake --processors 1.2345 -- true", "number of cores"),
    ("submit --team intake --processors 1. -- true", "number of cores"),
    ("submit --team intake --processors -1 -- true", "number of cores"),
    ("submit --team intake --attempts 4294967296 -- true", "too large"),
    ("submit -f spec.json --team intake", "--team and --file exclude"),
    ("submit -f spec.json -- true", "a command and --file exclude"),
    ("key grant k", "--team or --operator"),
    ("key grant k --team t --operator", "--team or --operator"),
    ("--server ftp://10.0.0.1:8080 overview", "http://<ip>:<port>"),
    ("--server http://10.0.0.1:8080/v1 overview", "http://<ip>:<port>"),
    ("--key nodot overview", "<name>.<secret>"),
];

/// Guards against an invalid command line that is accepted, or reported without a hint.
#[test]
fn invalid_command_lines_are_usage_errors() {
    for (line, text) in INVALID {
        let (result, out) = run(&[CLOSED], line);
        assert_eq!(code(&result), EXIT_USAGE, "{line}: {result:?}");
        let message = result.unwrap_err().render(false);
        assert!(message.contains(text), "{line}: {message}");
        assert!(message.contains("--help"), "the help names the next step: {message}");
        assert_eq!(out, "", "{line}");
    }
}

/// Guards against a message that contains the text of a malformed key: messages may end up in logs.
#[test]
fn malformed_keys_are_not_repeated() {
    for words in [["--key", "swordfish"], ["--key", "two words.x"]] {
        let (result, _) = run_words(&[CLOSED], &[&words[..], &["overview"]].concat());
        let message = result.unwrap_err().render(false);
        assert!(!message.contains(words[1]), "{message}");
    }
}

/// Guards against an example in the help that the tool itself does not accept.
#[test]
fn every_command_has_help_with_an_example_that_parses() {
    for command in commands::ALL {
        let (result, help) = run(&[CLOSED], &format!("{} --help", command.name));
        assert_eq!(code(&result), 0, "{}", command.name);
        assert!(help.contains(command.example), "{help}");
        let (_, same) = run(&[CLOSED], &format!("help {}", command.name));
        assert_eq!(same, help);
        let example = command.example.split(" > ").next().unwrap();
        let words = example.strip_prefix("shallotpost ").unwrap();
        assert!(words.starts_with(command.name), "{example}");
        // Without an entry host the command line is parsed but nothing is sent.
        let (result, _) = run(&[], words);
        let message = result.unwrap_err().to_string();
        assert!(message.contains("no entry host is given"), "{example}: {message}");
    }
}

#[test]
fn general_help_lists_every_command() {
    let (result, help) = run(&[CLOSED], "--help");
    assert_eq!(code(&result), 0);
    for command in commands::ALL {
        assert!(help.contains(&format!("    {}", command.name)), "{} in {help}", command.name);
    }
    let (result, _) = run_words(&[CLOSED], &[]);
    assert_eq!(code(&result), EXIT_USAGE, "no command at all");
}

/// Guards against servers or a key of the environment that take precedence over options.
#[test]
fn servers_and_keys_come_from_options_before_the_environment() {
    let directory = fake::Directory::new("keys");
    let file = directory.file("key", b"file.secret\n");
    let cases = [
        (vec!["overview"], KEY),
        (vec!["--key", "option.secret", "overview"], "option.secret"),
        (vec!["overview", "--key", "option.secret"], "option.secret"),
        (vec!["--key-file", &file, "overview"], "file.secret"),
    ];
    for (words, expected) in cases {
        let fake = Fake::start([]);
        let url = fake.url();
        // The environment names a host that must not be contacted.
        let words = [&["--server", &url][..], &words].concat();
        let _ = run_words(&[CLOSED], &words);
        let requests = fake.requests();
        let header = ("authorization".to_owned(), format!("Bearer {expected}"));
        assert!(requests[0].headers.contains(&header), "{words:?}: {:?}", requests[0].headers);
    }
    let (result, _) = run(&[CLOSED], &format!("--key a.b --key-file {file} overview"));
    assert_eq!(code(&result), EXIT_USAGE);
}

#[test]
fn missing_entry_hosts_are_a_usage_error() {
    let environment = Environment { servers: None, key: None, ..fake::environment(&[]) };
    let error = execute(&["overview".to_owned()], &environment, &mut Vec::new()).unwrap_err();
    assert_eq!(error.exit_code(), EXIT_USAGE);
    assert!(error.to_string().contains("SHALLOTPOST_SERVERS"), "{error}");
}
