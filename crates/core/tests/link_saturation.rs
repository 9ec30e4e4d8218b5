//! A host whose link receives more than it carries, over a model of the link: everything that
//! arrives, requests as well as messages of peers, waits in one queue.
//!
//! Guards against two failures. A host sent a request to a server that had been leaving for 3.3 s,
//! since the news waited in that queue. And half of a hall's requests ended at their deadlines in
//! the queue, since connections were made faster than the link could carry their requests.

use std::collections::VecDeque;

use bankcove_core::Millis;
use bankcove_core::link::{Link, Traffic, backlog};
use yare::parameterized;

const MBPS: f64 = 10.0;
const BYTES_PER_MS: f64 = MBPS * 125.0;

/// Age of news up to which a host with a saturated link sends, in milliseconds.
const MAX_NEWS_AGE_MS: Millis = 2_500;

/// Bytes of a request with its head.
const REQUEST: u64 = 5_000;

fn passed(bytes: u64) -> Traffic {
    Traffic { bytes, chunks: 1, ..Traffic::default() }
}

#[parameterized(
    saturated_with_late_news = { true, Some(2_600), false },
    saturated_without_news = { true, None, false },
    saturated_with_recent_news = { true, Some(2_000), true },
    idle_in_an_outage_of_the_store = { false, Some(8_000), true },
    idle_without_news = { false, None, true },
)]
fn new_work_is_sent(is_saturated: bool, news_age: Option<Millis>, may_send: bool) {
    let mut link = Link::new(MBPS);
    let bytes = if is_saturated { BYTES_PER_MS * 500.0 } else { 1_000.0 };
    link.record_passed(passed(bytes as u64), 1_000);
    assert_eq!(link.may_send(news_age, MAX_NEWS_AGE_MS, 1_200), may_send);
}

#[test]
fn sending_resumes_once_the_link_is_idle_again() {
    let mut link = Link::new(MBPS);
    link.record_passed(passed((BYTES_PER_MS * 500.0) as u64), 1_000);
    assert!(!link.may_send(Some(8_000), MAX_NEWS_AGE_MS, 1_400));
    assert!(link.may_send(Some(8_000), MAX_NEWS_AGE_MS, 2_500));
}

/// What arrives at the host.
enum Arrival {
    Request,
    /// A message of a peer that is as recent as this time.
    Heartbeat(Millis),
}

/// Returns the time after a server's announcement at which the last request was sent to it. The
/// link receives `load` times what it carries.
fn last_send_to_leaving_server(load: f64, checks: bool) -> Millis {
    let announced_at = 10_000;
    let mut link = Link::new(MBPS);
    let mut queue = VecDeque::new();
    let (mut due, mut credit, mut view_as_of) = (0.0, 0.0, 0);
    let mut last_sent = announced_at;
    for now in 0..20_000_u64 {
        due += BYTES_PER_MS * load;
        while due >= REQUEST as f64 {
            due -= REQUEST as f64;
            queue.push_back((REQUEST, Arrival::Request));
        }
        if now % 500 == 0 {
            queue.push_back((300, Arrival::Heartbeat(now)));
        }
        // An idle link saves up nothing.
        credit = if queue.is_empty() { 0.0 } else { credit + BYTES_PER_MS };
        while let Some((bytes, _)) = queue.front()
            && credit >= *bytes as f64
        {
            let (bytes, arrival) = queue.pop_front().expect("there is one");
            credit -= bytes as f64;
            link.record_passed(passed(bytes), now);
            match arrival {
                Arrival::Heartbeat(as_of) => view_as_of = as_of,
                Arrival::Request => {
                    let may_send =
                        !checks || link.may_send(Some(now - view_as_of), MAX_NEWS_AGE_MS, now);
                    if may_send && view_as_of < announced_at && now >= announced_at {
                        last_sent = now;
                    }
                }
            }
        }
    }
    last_sent - announced_at
}

#[test]
fn a_leaving_server_gets_nothing_once_the_news_of_it_is_late() {
    assert!(last_send_to_leaving_server(1.5, false) > 3_300, "the load shows the failure");
    assert!(last_send_to_leaving_server(1.5, true) < 3_000);
    assert!(last_send_to_leaving_server(0.3, true) < 1_000, "an idle link delays nothing");
}

#[parameterized(
    narrow = { Some(10.0), 20.0, 5 },
    wide = { Some(200.0), 20.0, 100 },
    very_wide = { Some(10_000.0), 20.0, 1_024 },
    very_narrow = { Some(0.1), 20.0, 4 },
    unknown = { None, 20.0, 1_024 },
    switched_off = { Some(10.0), 0.0, 1_024 },
)]
fn connections_that_wait_fit_the_link(mbps: Option<f64>, queue_ms: f64, expected: u32) {
    assert_eq!(backlog(mbps, queue_ms, 1_024), expected);
}

/// Returns the fractions of the requests that are read within half a second of the first packet,
/// and of those that get no connection. A handshake's last packet and then the request wait in the
/// queue; a first packet is dropped while as many handshakes as `limit` are not complete.
fn read_in_time(load: f64, limit: u32) -> (f64, f64) {
    let interval = REQUEST as f64 / (BYTES_PER_MS * load);
    let (mut queue_ms, mut next, mut sent, mut in_time, mut dropped) = (0.0_f64, 0.0, 0, 0, 0);
    let mut handshakes: VecDeque<f64> = VecDeque::new();
    let mut requests: VecDeque<(f64, f64)> = VecDeque::new();
    for now in 0..20_000_u32 {
        let now = f64::from(now);
        queue_ms = (queue_ms - 1.0).max(0.0);
        while next <= now {
            next += interval;
            sent += 1;
            if handshakes.len() >= limit as usize {
                dropped += 1;
                continue;
            }
            handshakes.push_back(now + queue_ms);
            requests.push_back((now, now + queue_ms));
        }
        while handshakes.front().is_some_and(|done_at| *done_at <= now) {
            handshakes.pop_front();
        }
        while let Some((began, connected)) = requests.front().copied()
            && connected <= now
        {
            requests.pop_front();
            queue_ms += REQUEST as f64 / BYTES_PER_MS;
            in_time += i32::from(now + queue_ms - began <= 500.0);
        }
    }
    (f64::from(in_time) / f64::from(sent), f64::from(dropped) / f64::from(sent))
}

#[test]
fn an_overloaded_link_reads_in_time_what_it_can_carry() {
    let limit = backlog(Some(MBPS), 20.0, 1_024);
    let (without, _) = read_in_time(1.5, 1_024);
    let (with, dropped) = read_in_time(1.5, limit);
    assert!(without < 0.2, "{without}: nearly all requests wait for seconds");
    assert!(with > 0.6, "{with} of the two thirds that the link can carry");
    assert!(dropped < 0.4, "{dropped} of the third that it can't carry");
}

#[test]
fn a_link_with_room_lets_all_connect() {
    let limit = backlog(Some(MBPS), 20.0, 1_024);
    assert_eq!(read_in_time(0.7, limit), (1.0, 0.0));
}
