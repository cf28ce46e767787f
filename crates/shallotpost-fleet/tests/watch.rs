//! Calls of a watch and the age of what they returned. Guards against an age that is too low, and against calls that cease
//! or pile up while the store is silent or refuses.

use std::time::Duration;

use proptest::prelude::*;

use shallotpost_fleet::port::Uptime;
use shallotpost_fleet::watch::{LATE_AFTER, Poll, RETRY_DELAY, Watch};

const WAIT: Duration = Duration::from_millis(1200);
const TICK: Duration = Duration::from_millis(20);

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns a watch that has read the table at `now`.
fn watch(now: Uptime) -> Watch {
    let mut watch = Watch::new(WAIT, Duration::ZERO);
    let read = watch.poll(now).expect("a read");
    assert_eq!((read.after, read.wait, read.attempt), (None, Duration::ZERO, 0));
    assert_eq!(watch.answered(read, now, 7, true), Some(0));
    watch
}

/// Returns the calls that are sent from `from` to `to` if none is answered.
fn sent(watch: &mut Watch, from: Uptime, to: Uptime) -> Vec<Poll> {
    let ticks = (0..).map(|tick| from + TICK * tick).take_while(|now| *now <= to);
    ticks.filter_map(|now| watch.poll(now)).collect()
}

/// A feed without changes shows that there were none until the end of its wait, but not until its answer arrived.
#[test]
fn unchanged_feed() {
    let mut watch = watch(ms(1000));
    let feed = watch.poll(ms(1010)).expect("a feed");
    assert_eq!((feed.after, feed.wait), (Some(7), WAIT));
    assert_eq!(watch.answered(feed, ms(1010) + WAIT + ms(500), 7, false), Some(7));
    assert_eq!(watch.age(ms(1010) + WAIT + ms(500)), ms(500));
}

/// A change that was returned early, or an empty answer before the end of the wait, shows nothing beyond the time of the call.
#[test]
fn early_answers() {
    for changed in [false, true] {
        let mut watch = watch(ms(1000));
        let feed = watch.poll(ms(1000)).expect("a feed");
        watch.answered(feed, ms(1400), 9, changed);
        assert_eq!(watch.age(ms(1400)), ms(400));
    }
}

/// A late feed is followed by calls on other paths that do not wait; the answer to one of them replaces those before it.
#[test]
fn late_feed() {
    let mut watch = watch(ms(0));
    let calls = sent(&mut watch, ms(0), WAIT + LATE_AFTER * 2);
    let attempts: Vec<u32> = calls.iter().map(|call| call.attempt).collect();
    assert_eq!(attempts, [0, 1, 2]);
    assert!(calls[1..].iter().all(|call| call.wait.is_zero()));
    let now = WAIT + LATE_AFTER * 2 + ms(10);
    assert_eq!(watch.answered(calls[2], now, 9, false), Some(7));
    assert_eq!(watch.answered(calls[0], now, 8, true), None);
    assert!(!watch.failed(calls[1], now, false));
    assert_eq!(watch.poll(now).map(|call| (call.after, call.attempt)), Some((Some(9), 0)));
}

/// While the store is silent, a call is sent as often as calls end, so that the first one that can be answered is soon sent.
#[test]
fn silence_lasts() {
    let mut watch = watch(ms(0));
    let mut in_flight: Vec<Poll> = Vec::new();
    let mut last = Uptime::ZERO;
    for tick in 0..1000u32 {
        let now = TICK * tick;
        let ended = |poll: &Poll| now >= poll.sent + poll.wait + ms(1200);
        for poll in in_flight.extract_if(.., |poll| ended(poll)) {
            watch.failed(poll, now, false);
        }
        if let Some(poll) = watch.poll(now) {
            in_flight.push(poll);
            last = now;
        }
        assert!(in_flight.len() <= 5);
        assert!(now < last + WAIT + LATE_AFTER + TICK && (now < ms(2000) || now < last + ms(500)));
    }
    assert!(!watch.is_refused());
}

/// Each call after the first one takes another path, also if a call fails while an earlier one is late.
#[test]
fn attempts() {
    let mut watch = watch(ms(0));
    let feed = watch.poll(ms(0)).expect("a feed");
    let mut now = feed.wait + LATE_AFTER;
    for attempt in 1..=4 {
        let poll = watch.poll(now).expect("a call");
        assert_eq!(poll.attempt, attempt);
        watch.failed(poll, now, true);
        now += RETRY_DELAY;
    }
}

/// Refused calls are repeated after a delay, not at once, also while an earlier call is late.
#[test]
fn refusals() {
    let mut watch = watch(ms(0));
    let feed = watch.poll(ms(0)).expect("a feed");
    let late = feed.wait + LATE_AFTER;
    let mut count = 0u32;
    for tick in 0..50u32 {
        let now = late + TICK * tick;
        if let Some(poll) = watch.poll(now) {
            count += 1;
            watch.failed(poll, now, true);
        }
    }
    let most = (TICK * 50).as_millis() / RETRY_DELAY.as_millis() + 1;
    assert!(u128::from(count) <= most, "{count} calls");
    // The feed may still be answered.
    assert!(!watch.is_refused());
    let now = late + TICK * 50;
    watch.failed(feed, now, false);
    for number in 1..=2u32 {
        assert!(!watch.is_refused());
        let poll = watch.poll(now + RETRY_DELAY * number).expect("a call");
        watch.failed(poll, now + RETRY_DELAY * number, true);
    }
    assert!(watch.is_refused());
}

/// After a loss of the history the whole table is read, and answers to earlier feeds do not count.
#[test]
fn lost_history() {
    let mut watch = watch(ms(0));
    let calls = sent(&mut watch, ms(0), WAIT + LATE_AFTER);
    let now = WAIT + LATE_AFTER + ms(5);
    assert!(watch.history_lost(calls[1], now));
    assert!(!watch.history_lost(calls[0], now));
    let read = watch.poll(now).expect("a read");
    assert_eq!(read.after, None);
    assert_eq!(watch.answered(calls[0], now, 30, true), None);
    assert_eq!(watch.answered(read, now + ms(5), 20, true), Some(0));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Pass(u64),
    Change,
    /// The store executes the call with this index, among those that it has not executed.
    Execute(usize),
    /// The answer with this index arrives, among those under way.
    Arrive(usize),
    /// The call or answer with this index is lost.
    Lose(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1..400u64).prop_map(Step::Pass),
        1 => Just(Step::Change),
        3 => (0..4usize).prop_map(Step::Execute),
        3 => (0..4usize).prop_map(Step::Arrive),
        1 => (0..4usize).prop_map(Step::Lose),
    ];
    proptest::collection::vec(step, 0..120)
}

proptest! {
    /// Whatever is lost or delayed, every change that the store accepted before the age of the watch began is known.
    #[test]
    fn age_is_never_too_low(steps in steps()) {
        let mut watch = Watch::new(WAIT, ms(50));
        let mut now = Uptime::ZERO;
        let mut changes: Vec<(Uptime, u64)> = vec![(Uptime::ZERO, 1)];
        let mut calls: Vec<Poll> = Vec::new();
        let mut answers: Vec<(Poll, u64, bool)> = Vec::new();
        let mut known = 0;
        for step in steps {
            calls.extend(watch.poll(now));
            let version = changes.last().map_or(0, |(_, version)| *version);
            match step {
                Step::Pass(time) => now += ms(time),
                Step::Change => changes.push((now, version + 1)),
                Step::Execute(index) if index < calls.len() => {
                    let poll = calls[index];
                    let changed = poll.after.is_none_or(|after| after < version);
                    // The store waits with an answer that has nothing to tell.
                    if changed || now >= poll.sent + poll.wait {
                        calls.remove(index);
                        answers.push((poll, version, changed));
                    }
                }
                Step::Arrive(index) if index < answers.len() => {
                    let (poll, version, changed) = answers.remove(index);
                    if watch.answered(poll, now, version, changed).is_some() {
                        known = version.max(known);
                    }
                }
                Step::Lose(index) if index < calls.len() => {
                    watch.failed(calls.remove(index), now, false);
                }
                Step::Execute(_) | Step::Arrive(_) | Step::Lose(_) => {}
            }
            if watch.is_current(now, now) {
                let begins = now - watch.age(now);
                let due = changes.iter().filter(|(at, _)| *at < begins).map(|(_, version)| *version);
                prop_assert!(due.max().unwrap_or(0) <= known);
            }
        }
    }
}
