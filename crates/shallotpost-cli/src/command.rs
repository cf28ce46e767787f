//! Command line: global options, dispatch and help.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use getopts::{Matches, Options};
use serde::Serialize;
use shallotpost_protocol::identity::{WorkId, is_name};
use shallotpost_protocol::resource::Kind;

use crate::client::Client;
use crate::commands;
use crate::document;
use crate::error::Error;
use crate::secret::Key;
use crate::{Environment, KEY_VARIABLE, SERVERS_VARIABLE};

/// A command of the tool.
pub struct Command {
    /// Name, one or two words.
    pub name: &'static str,
    /// Arguments, for the usage line.
    pub arguments: &'static str,
    /// What it does, in one line.
    pub summary: &'static str,
    /// A complete command line.
    pub example: &'static str,
    /// Adds its own options.
    pub options: fn(&mut Options),
    /// Fewest and most arguments.
    pub counts: (usize, usize),
    /// Runs it.
    pub run: fn(&mut Context) -> Result<(), Error>,
}

/// What a command works with.
pub struct Context<'a> {
    /// Name of the command.
    pub command: &'static str,
    /// Parsed options and arguments.
    pub matches: Matches,
    /// Client of the entry hosts.
    pub client: Client,
    /// Process environment.
    pub environment: &'a Environment,
    json: bool,
    out: &'a mut dyn Write,
}

impl Context<'_> {
    /// Prints the reply as one line of JSON, or the text for people.
    ///
    /// # Errors
    ///
    /// The output cannot be written.
    pub fn show<T: Serialize>(&mut self, reply: &T, text: &str) -> Result<(), Error> {
        if self.json {
            serde_json::to_writer(&mut *self.out, reply).map_err(std::io::Error::from)?;
            writeln!(self.out)?;
        } else {
            self.out.write_all(text.as_bytes())?;
        }
        self.out.flush()?;
        Ok(())
    }

    /// Output for bytes.
    pub fn out(&mut self) -> &mut dyn Write {
        &mut *self.out
    }

    /// Pauses where an entry host ended a long poll well before its time, so that the command does not flood it.
    pub fn pause_after(&self, started: Instant, wait: Duration) {
        if started.elapsed() < wait / 2 {
            thread::sleep(self.environment.poll_interval);
        }
    }

    /// A wrong command line.
    pub fn usage(&self, message: impl Into<String>) -> Error {
        Error::usage(self.command, message)
    }

    /// Argument by position; the count was checked before.
    pub fn argument(&self, index: usize) -> &str {
        self.matches.free.get(index).map_or("", String::as_str)
    }

    /// Argument that is a name.
    ///
    /// # Errors
    ///
    /// It is not one.
    pub fn name(&self, index: usize) -> Result<String, Error> {
        let text = self.argument(index);
        if is_name(text) { Ok(text.to_owned()) } else { Err(self.not_a_name(text)) }
    }

    /// Option that is a name.
    ///
    /// # Errors
    ///
    /// It is not one.
    pub fn name_option(&self, option: &str) -> Result<Option<String>, Error> {
        match self.matches.opt_str(option) {
            Some(text) if !is_name(&text) => Err(self.not_a_name(&text)),
            text => Ok(text),
        }
    }

    fn not_a_name(&self, text: &str) -> Error {
        self.usage(format!(
            "{text:?} is not a name: 1 to 64 letters, digits, '-', '_' or '.', not starting with a dot"
        ))
    }

    /// Argument that is a work id, `<team>/<id>`.
    ///
    /// # Errors
    ///
    /// It is not one.
    pub fn work(&self, index: usize) -> Result<WorkId, Error> {
        self.argument(index).parse().map_err(|_| {
            self.usage(format!(
                "{:?} is not a work id of the form <team>/<id>",
                self.argument(index)
            ))
        })
    }

    /// Argument that is a kind of resource.
    ///
    /// # Errors
    ///
    /// It is not one.
    pub fn kind(&self, index: usize) -> Result<Kind, Error> {
        let text = self.argument(index);
        text.parse().map_err(|_| self.usage(document::unknown_kind(text)))
    }

    /// Option that is a whole number.
    ///
    /// # Errors
    ///
    /// It is not one.
    pub fn number(&self, option: &str) -> Result<Option<u64>, Error> {
        let Some(text) = self.matches.opt_str(option) else { return Ok(None) };
        match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(self.usage(format!("--{option} {text:?} is not a whole number"))),
        }
    }

    /// Option that is a number of seconds.
    ///
    /// # Errors
    ///
    /// It is not one.
    pub fn seconds(&self, option: &str) -> Result<Option<Duration>, Error> {
        Ok(self.number(option)?.map(Duration::from_secs))
    }
}

/// Parses the command line and runs the command.
///
/// # Errors
///
/// The command line is wrong, or the command failed.
pub fn dispatch(
    arguments: &[String],
    environment: &Environment,
    out: &mut dyn Write,
) -> Result<(), Error> {
    let mut global = global_options();
    global.parsing_style(getopts::ParsingStyle::StopAtFirstFree);
    let before = global.parse(arguments).map_err(|fail| Error::usage("", fail.to_string()))?;
    let Some((command, rest)) = find(&before.free)? else {
        out.write_all(help(&before.free).as_bytes())?;
        let asked = before.opt_present("help") || !before.free.is_empty();
        return if asked { Ok(()) } else { Err(Error::usage("", "no command is given")) };
    };
    let mut options = global_options();
    (command.options)(&mut options);
    let matches =
        options.parse(rest).map_err(|fail| Error::usage(command.name, fail.to_string()))?;
    if before.opt_present("help") || matches.opt_present("help") {
        out.write_all(command_help(command, &options).as_bytes())?;
        return Ok(());
    }
    let (fewest, most) = command.counts;
    if !(fewest..=most).contains(&matches.free.len()) {
        let message = format!("expected arguments: {}", command.arguments);
        return Err(Error::usage(command.name, message));
    }
    let client = client(command, &[&before, &matches], environment)?;
    let json = before.opt_present("json") || matches.opt_present("json");
    let mut context = Context { command: command.name, matches, client, environment, json, out };
    (command.run)(&mut context)
}

/// The command that the free arguments name, and its own arguments; `None` where help is asked for.
fn find(free: &[String]) -> Result<Option<(&'static Command, &[String])>, Error> {
    let Some(first) = free.first() else { return Ok(None) };
    if first == "help" {
        return Ok(None);
    }
    let words = |count: usize| free.get(..count).map(|words| words.join(" "));
    for count in [2, 1] {
        let named = |command: &&&Command| Some(command.name) == words(count).as_deref();
        if let Some(command) = commands::ALL.iter().find(named) {
            return Ok(Some((command, &free[count..])));
        }
    }
    let family = format!("{first} ");
    let members: Vec<&str> = commands::ALL
        .iter()
        .map(|command| command.name)
        .filter(|name| name.starts_with(&family))
        .collect();
    let message = if members.is_empty() {
        format!("there is no command {first:?}")
    } else {
        format!("{first:?} needs a second word: {}", members.join(", "))
    };
    Err(Error::usage("", message))
}

fn global_options() -> Options {
    let mut options = Options::new();
    options.optmulti("", "server", "base URL of an entry host; may be repeated", "URL");
    options.optopt(
        "",
        "key",
        "key, <name>.<secret>; visible to other users of this machine",
        "KEY",
    );
    options.optopt("", "key-file", "file that holds the key", "FILE");
    options.optflag("", "json", "print JSON for programs");
    options.optflag("h", "help", "print help");
    options
}

fn client(
    command: &Command,
    matches: &[&Matches],
    environment: &Environment,
) -> Result<Client, Error> {
    let usage = |message: String| Error::usage(command.name, message);
    let given: Vec<String> =
        matches.iter().flat_map(|matches| matches.opt_strs("server")).collect();
    let from_variable = || environment.servers.iter().flat_map(|text| text.split(','));
    let listed: Vec<String> = match given.is_empty() {
        true => from_variable().map(|url| url.trim().to_owned()).collect(),
        false => given,
    };
    let mut servers = Vec::new();
    for url in listed.iter().filter(|url| !url.is_empty()) {
        let address = url.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
        match address {
            Some(address) if !address.is_empty() && !address.contains(['/', '?', '#', '@']) => {
                servers.push(format!("http://{address}"));
            }
            _ => return Err(usage(format!("{url:?} is not a URL of the form http://<ip>:<port>"))),
        }
    }
    if servers.is_empty() {
        return Err(usage(format!("no entry host is given; use --server or {SERVERS_VARIABLE}")));
    }
    Ok(Client::new(servers, key(command, matches, environment)?))
}

/// The key from `--key`, `--key-file` or the environment. Messages never repeat it.
fn key(
    command: &Command,
    matches: &[&Matches],
    environment: &Environment,
) -> Result<Option<Key>, Error> {
    let option = |name: &str| matches.iter().find_map(|matches| matches.opt_str(name));
    let malformed = |origin: &str| {
        Error::usage(command.name, format!("{origin} is not a key of the form <name>.<secret>"))
    };
    match (option("key"), option("key-file"), &environment.key) {
        (Some(_), Some(_), _) => {
            Err(Error::usage(command.name, "--key and --key-file exclude each other"))
        }
        (Some(text), None, _) => Key::parse(&text).map(Some).ok_or_else(|| malformed("--key")),
        (None, Some(path), _) => match Key::read(&path) {
            Ok(Some(key)) => Ok(Some(key)),
            Ok(None) => Err(malformed(&format!("the content of {path}"))),
            Err(source) => Err(Error::File { path, source }),
        },
        (None, None, Some(text)) => {
            Key::parse(text).map(Some).ok_or_else(|| malformed(KEY_VARIABLE))
        }
        (None, None, None) => Ok(None),
    }
}

/// Help of the whole tool, or of the command after the word `help`.
fn help(free: &[String]) -> String {
    if let Ok(Some((command, _))) = find(free.get(1..).unwrap_or_default()) {
        let mut options = global_options();
        (command.options)(&mut options);
        return command_help(command, &options);
    }
    let width = commands::ALL.iter().map(|command| command.name.len()).max().unwrap_or(0);
    let list: String = commands::ALL
        .iter()
        .map(|command| format!("    {:width$}  {}\n", command.name, command.summary))
        .collect();
    let brief = format!(
        "Usage: shallotpost [options] <command> [arguments]\n\nCommands:\n{list}\n\
         `shallotpost <command> --help` shows the options of a command and an example.\n\
         {SERVERS_VARIABLE} holds URLs of entry hosts, separated by commas; {KEY_VARIABLE} holds the key."
    );
    global_options().usage(&brief)
}

fn command_help(command: &Command, options: &Options) -> String {
    let brief = format!(
        "{}\n\nUsage: shallotpost {} [options] {}\n\nExample:\n    {}",
        command.summary, command.name, command.arguments, command.example
    );
    options.usage(&brief)
}
