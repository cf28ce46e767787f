//! Log output: one JSON object per line on standard error, or on standard output for fleets.
//!
//! The format of a line is `{"time_unix_ms":..,"level":..,"event":..,"fields":{..}}`. Each event name is written a limited
//! number of times per interval. The first line of a later interval has the number of suppressed events in the key
//! `suppressed`; if no such line follows, [`Writer::report_suppressed`] writes the number.

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

/// Maximum length of a written line, in bytes, including the newline. It is `PIPE_BUF` on Linux: a writable pipe accepts
/// this much without blocking.
const LINE_BYTES_MAX: usize = 4096;

/// Writes log events without blocking on the reader of the log: a line that cannot be written immediately is dropped and
/// counted. A writer is used by one thread.
pub struct Writer {
    logger: Arc<Logger>,
    limiter: RateLimiter,
    output: Destination,
    dropped: u64,
}

impl Writer {
    /// Creates a writer to standard error.
    ///
    /// # Errors
    ///
    /// Returns an error if the logger cannot be built.
    pub fn standard_error(settings: &settings::Log) -> eyre::Result<Writer> {
        let sink = StdStreamSink::builder().stderr().style_mode(StyleMode::Never).build_arc()?;
        Ok(Writer { output: Destination::StandardError, ..Writer::with_sink(settings, sink)? })
    }

    /// Creates a writer to standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if the logger cannot be built.
    pub fn standard_output(settings: &settings::Log) -> eyre::Result<Writer> {
        let sink = StdStreamSink::builder().stdout().style_mode(StyleMode::Never).build_arc()?;
        Ok(Writer { output: Destination::StandardOutput, ..Writer::with_sink(settings, sink)? })
    }

    /// Creates a writer to an open file or pipe.
    ///
    /// # Errors
    ///
    /// Returns an error if the logger cannot be built.
    pub fn to_file(settings: &settings::Log, file: impl Into<File>) -> eyre::Result<Writer> {
        let file = file.into();
        let sink = WriteSink::builder().target(file.try_clone()?).build_arc()?;
        let writer = Writer::with_sink(settings, sink)?;
        Ok(Writer { output: Destination::File(file), ..writer })
    }

    /// Creates a writer to `sink`, which must not block, and replaces its formatter.
    ///
    /// # Errors
    ///
    /// Returns an error if the logger cannot be built.
    pub fn with_sink<S: Sink + SinkPropAccess + 'static>(
        settings: &settings::Log,
        sink: Arc<S>,
    ) -> Result<Writer, spdlog::Error> {
        sink.set_formatter(Box::new(PayloadFormatter));
        let logger = Logger::builder()
            .level_filter(LevelFilter::MoreSevereEqual(spdlog_level(settings.level)))
            .flush_level_filter(LevelFilter::All)
            .sink(sink)
            .build_arc()?;
        let limiter = RateLimiter::new(settings.repeat_limit, settings.repeat_interval);
        Ok(Writer { logger, limiter, output: Destination::NonBlocking, dropped: 0 })
    }

    /// Writes one event, unless its level is filtered out or the rate limit of its name is reached.
    pub fn write(&mut self, log: &Log, now: Instant, time: SystemTime) {
        let level = spdlog_level(log.level);
        if !self.logger.should_log(level) {
            return;
        }
        if let Some(suppressed) = self.limiter.admit(log.event, now) {
            self.write_line(log, suppressed, time);
        }
    }

    /// Writes the number of suppressed events of each name whose interval has ended. Call this every few seconds.
    pub fn report_suppressed(&mut self, now: Instant, time: SystemTime) {
        for (event, suppressed) in self.limiter.take_expired(now) {
            let fields = vec![("name", event.to_owned())];
            let log = Log { level: Level::Warn, event: SUPPRESSED_EVENT, fields };
            self.write_line(&log, suppressed, time);
        }
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    fn write_line(&mut self, log: &Log, suppressed: u64, time: SystemTime) {
        let text = format_line(log, suppressed, time);
        if self.has_capacity(text.len() + 1) {
            spdlog::log!(logger: self.logger, spdlog_level(log.level), "{text}");
        } else {
            self.dropped += 1;
        }
    }

    /// Returns whether a line of this length, in bytes, can be written without blocking.
    fn has_capacity(&self, length: usize) -> bool {
        let ready = match &self.output {
            Destination::StandardOutput => is_writable(io::stdout()),
            Destination::StandardError => is_writable(io::stderr()),
            Destination::File(file) => is_writable(file),
            Destination::NonBlocking => return true,
        };
        length <= LINE_BYTES_MAX && ready
    }
}

enum Destination {
    StandardOutput,
    StandardError,
    File(File),
    /// A sink that never blocks.
    NonBlocking,
}

/// Returns whether a write of up to [`LINE_BYTES_MAX`] bytes does not block.
fn is_writable(output: impl AsFd) -> bool {
    let mut entries = [PollFd::new(&output, PollFlags::OUT)];
    let ready = poll(&mut entries, Some(&Timespec::default()));
    ready.is_ok() && entries.iter().all(|entry| entry.revents() == PollFlags::OUT)
}

/// Rate limiter with a separate window for each event name.
pub struct RateLimiter {
    limit: u32,
    interval: Duration,
    events: BTreeMap<&'static str, Window>,
}

/// Current interval of one event name.
struct Window {
    start: Instant,
    written: u32,
    suppressed: u64,
}

impl RateLimiter {
    /// Creates a limiter that admits `limit` events of each name per `interval`. The interval starts with the first event of
    /// that name.
    pub fn new(limit: u32, interval: Duration) -> RateLimiter {
        RateLimiter { limit, interval, events: BTreeMap::new() }
    }

    /// Returns `Some` with the number of events suppressed since the last admitted one if the event may be written, or
    /// `None` if it is suppressed as well.
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

    /// Returns and resets the counts of suppressed events whose interval has ended, ordered by name.
    pub fn take_expired(&mut self, now: Instant) -> Vec<(&'static str, u64)> {
        let interval = self.interval;
        let has_ended = |window: &Window| now.saturating_duration_since(window.start) >= interval;
        self.events
            .iter_mut()
            .filter(|(_, window)| window.suppressed > 0 && has_ended(window))
            .map(|(event, window)| (*event, std::mem::take(&mut window.suppressed)))
            .collect()
    }
}

/// Formats one event as a JSON line, without the newline. `suppressed` is left out if it is zero.
pub fn format_line(log: &Log, suppressed: u64, time: SystemTime) -> String {
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

/// Serializes as a JSON object that keeps the order of the fields.
struct Fields<'a>(&'a [(&'static str, String)]);

impl Serialize for Fields<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.0.iter().map(|(name, value)| (name, value)))
    }
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

fn spdlog_level(level: Level) -> spdlog::Level {
    match level {
        Level::Error => spdlog::Level::Error,
        Level::Warn => spdlog::Level::Warn,
        Level::Info => spdlog::Level::Info,
        Level::Debug => spdlog::Level::Debug,
    }
}

/// Writes the payload, which is a complete JSON object, and a newline.
#[derive(Clone)]
struct PayloadFormatter;

impl Formatter for PayloadFormatter {
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
