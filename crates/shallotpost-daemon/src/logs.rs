//! Log output: one JSON object a line on standard error, or on standard output for fleets.
//!
//! A line reads `{"time_unix_ms":..,"level":..,"event":..,"fields":{..}}`. An event name that repeats too often is
//! written a limited number of times per interval. The first line of a later interval carries the number of events that
//! were left out as `suppressed`; [`Writer::report_suppressed`] writes the number where no such line follows.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use serde::{Serialize, Serializer};
use shallotpost_protocol::port::{Level, Log};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{Sink, SinkPropAccess, StdStreamSink, WriteSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{LevelFilter, Logger, Record, StringBuf};

use crate::settings;

/// Event name of the lines of [`Writer::report_suppressed`].
pub const SUPPRESSED_EVENT: &str = "events_suppressed";

/// Longest line that is written, in bytes with the line end. A pipe that has room takes this much without blocking: it is
/// `PIPE_BUF` on Linux.
const LINE_MAX: usize = 4096;

/// Writes log events. It belongs to one thread, and does not wait for the reader of the log: lines for which there is no
/// room are dropped and counted.
pub struct Writer {
    logger: Arc<Logger>,
    limiter: Limiter,
    output: Target,
    dropped: u64,
}

impl Writer {
    /// A writer to standard error.
    ///
    /// # Errors
    ///
    /// The logger cannot be built.
    pub fn standard_error(settings: &settings::Log) -> eyre::Result<Writer> {
        let sink = StdStreamSink::builder().stderr().style_mode(StyleMode::Never).build_arc()?;
        Ok(Writer { output: Target::StandardError, ..Writer::with_sink(settings, sink)? })
    }

    /// A writer to standard output.
    ///
    /// # Errors
    ///
    /// The logger cannot be built.
    pub fn standard_output(settings: &settings::Log) -> eyre::Result<Writer> {
        let sink = StdStreamSink::builder().stdout().style_mode(StyleMode::Never).build_arc()?;
        Ok(Writer { output: Target::StandardOutput, ..Writer::with_sink(settings, sink)? })
    }

    /// A writer to an open file or pipe.
    ///
    /// # Errors
    ///
    /// The logger cannot be built.
    pub fn to_file(settings: &settings::Log, file: impl Into<File>) -> eyre::Result<Writer> {
        let file = file.into();
        let sink = WriteSink::builder().target(file.try_clone()?).build_arc()?;
        let writer = Writer::with_sink(settings, sink)?;
        Ok(Writer { output: Target::File(file), ..writer })
    }

    /// A writer to `sink`; replaces the formatter of the sink.
    ///
    /// # Errors
    ///
    /// The logger cannot be built.
    pub fn with_sink<S: Sink + SinkPropAccess + 'static>(
        settings: &settings::Log,
        sink: Arc<S>,
    ) -> Result<Writer, spdlog::Error> {
        sink.set_formatter(Box::new(Payload));
        let logger = Logger::builder()
            .level_filter(LevelFilter::MoreSevereEqual(severity(settings.level)))
            .flush_level_filter(LevelFilter::All)
            .sink(sink)
            .build_arc()?;
        let limiter = Limiter::new(settings.repeat_limit, settings.repeat_interval);
        Ok(Writer { logger, limiter, output: Target::Unblocking, dropped: 0 })
    }

    /// Writes one event, unless its level is filtered or its name repeats too often.
    pub fn write(&mut self, log: &Log, now: Instant, time: SystemTime) {
        let level = severity(log.level);
        if !self.logger.should_log(level) {
            return;
        }
        if let Some(suppressed) = self.limiter.admit(log.event, now) {
            self.put(log, suppressed, time);
        }
    }

    /// Writes the number of suppressed events of each name whose interval is over. Call it about once a second.
    pub fn report_suppressed(&mut self, now: Instant, time: SystemTime) {
        for (event, suppressed) in self.limiter.lapsed(now) {
            let fields = vec![("name", event.to_owned())];
            let log = Log { level: Level::Warn, event: SUPPRESSED_EVENT, fields };
            self.put(&log, suppressed, time);
        }
    }

    /// Takes the number of lines that were dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    fn put(&mut self, log: &Log, suppressed: u64, time: SystemTime) {
        let text = line(log, suppressed, time);
        if self.has_room(text.len() + 1) {
            spdlog::log!(logger: self.logger, severity(log.level), "{text}");
        } else {
            self.dropped += 1;
        }
    }

    /// Whether a line of this length can be written without waiting.
    fn has_room(&self, length: usize) -> bool {
        let ready = match &self.output {
            Target::StandardOutput => is_writable(io::stdout()),
            Target::StandardError => is_writable(io::stderr()),
            Target::File(file) => is_writable(file),
            Target::Unblocking => return true,
        };
        length <= LINE_MAX && ready
    }
}

/// Where lines go.
enum Target {
    StandardOutput,
    StandardError,
    File(File),
    /// A sink that never blocks.
    Unblocking,
}

/// Whether a write of up to [`LINE_MAX`] bytes does not wait.
fn is_writable(target: impl AsFd) -> bool {
    let mut entries = [PollFd::new(&target, PollFlags::OUT)];
    let ready = poll(&mut entries, Some(&Timespec::default()));
    ready.is_ok() && entries.iter().all(|entry| entry.revents() == PollFlags::OUT)
}

/// Limits how often one event name is written.
pub struct Limiter {
    limit: u32,
    interval: Duration,
    events: BTreeMap<&'static str, Window>,
}

/// The current interval of one event name.
struct Window {
    start: Instant,
    written: u32,
    suppressed: u64,
}

impl Limiter {
    /// Admits `limit` events of each name in each `interval`, which starts with the first event of that name.
    pub fn new(limit: u32, interval: Duration) -> Limiter {
        Limiter { limit, interval, events: BTreeMap::new() }
    }

    /// Whether the event is written: `Some` with the number suppressed before it, `None` if it is suppressed too.
    pub fn admit(&mut self, event: &'static str, now: Instant) -> Option<u64> {
        let window =
            self.events.entry(event).or_insert(Window { start: now, written: 0, suppressed: 0 });
        if now.saturating_duration_since(window.start) >= self.interval {
            window.start = now;
            window.written = 0;
        }
        if window.written >= self.limit {
            window.suppressed += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.suppressed))
    }

    /// Takes the counts of suppressed events whose interval is over, in the order of the names.
    pub fn lapsed(&mut self, now: Instant) -> Vec<(&'static str, u64)> {
        let interval = self.interval;
        let over = |window: &Window| now.saturating_duration_since(window.start) >= interval;
        self.events
            .iter_mut()
            .filter(|(_, window)| window.suppressed > 0 && over(window))
            .map(|(event, window)| (*event, std::mem::take(&mut window.suppressed)))
            .collect()
    }
}

/// The line of one event, without the line end.
pub fn line(log: &Log, suppressed: u64, time: SystemTime) -> String {
    let unix = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let line = Line {
        time_unix_ms: u64::try_from(unix.as_millis()).unwrap_or(u64::MAX),
        level: log.level.to_string(),
        event: log.event,
        fields: Fields(&log.fields),
        suppressed,
    };
    serde_json::to_string(&line).unwrap_or_default()
}

#[derive(Serialize)]
struct Line<'a> {
    time_unix_ms: u64,
    level: String,
    event: &'static str,
    fields: Fields<'a>,
    #[serde(skip_serializing_if = "is_zero")]
    suppressed: u64,
}

/// Serialises as an object that keeps the order of the fields.
struct Fields<'a>(&'a [(&'static str, String)]);

impl Serialize for Fields<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.0.iter().map(|(name, value)| (name, value)))
    }
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

fn severity(level: Level) -> spdlog::Level {
    match level {
        Level::Error => spdlog::Level::Error,
        Level::Warn => spdlog::Level::Warn,
        Level::Info => spdlog::Level::Info,
        Level::Debug => spdlog::Level::Debug,
    }
}

/// Writes the payload, which is a complete JSON object, and a line end.
#[derive(Clone)]
struct Payload;

impl Formatter for Payload {
    fn format(
        &self,
        record: &Record,
        dest: &mut StringBuf,
        _context: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        dest.push_str(record.payload());
        dest.push('\n');
        Ok(())
    }
}
