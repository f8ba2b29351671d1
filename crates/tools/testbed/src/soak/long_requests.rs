//! Clients whose requests and responses are longer than any buffer on their way: responses that upstreams send evenly over seconds,
//! uploads that take as long, readers that are slow or pause, next requests that are sent ahead, on connections that are used until
//! the process is gone.
mod attempt;
mod check;

pub(super) use attempt::LongLog;
pub(super) use check::{check_long_requests, Stops};

use super::clients::ClientPlace;
use crate::client::{RequestKind, HOST};
use crate::http_connection::{HttpConnection, ReadPace, Response};
use crate::identifiers::attempt_id;
use crate::operator::Route;
use crate::upstream::LongResponsePlan;
use attempt::{LongAttempt, LongOutcome, DEADLINE_MS};
use serde_json::{json, Value};
use silvercross_test_rng::Rng;
use std::io;
use std::time::Duration;
use tokio::time::{sleep_until, timeout, Instant};

/// How long after its deadline a client gives up.
const GIVE_UP_SLACK: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Between two requests of a client, at most, in milliseconds.
const MAX_PAUSE_MS: u64 = 300;
/// Bytes of a long body, at least and at most.
const MIN_BODY_BYTES: u64 = 1_200_000;
const MAX_BODY_BYTES: u64 = 6_000_000;
/// One of so many bodies is so much longer, so that it fills the buffers of all systems on its way before a slow reader.
const ONE_IN_VERY_LONG: u64 = 6;
const VERY_LONG_EXTRA_BYTES: u64 = 24_000_000;
/// A long body is sent for so long, at most, in milliseconds.
const MAX_SPAN_MS: u64 = 2_600;
/// Parts that an upload is written in.
const UPLOAD_PARTS: usize = 40;
/// The system's receive buffer of a slow reader.
const SLOW_READER_BUFFER_BYTES: u32 = 16 * 1024;
/// A reader that pauses does so after this much, for this long: longer than a hop waits for an acknowledgement of what it wrote.
const PAUSE_AFTER_BYTES: u64 = 300_000;
const READER_PAUSE: Duration = Duration::from_millis(3_000);

/// How upstreams of the soak read: they pause once in an upload.
pub(super) const UPSTREAM_PACE: ReadPace =
    ReadPace::Pausing { after_bytes: 2_000_000, pause: Duration::from_millis(3_000) };

/// The routes of a service for long requests.
pub(super) fn long_routes(service: &str) -> Vec<Route> {
    let route = |kind: RequestKind| Route {
        name: format!("long-{service}-{}", kind.word()),
        path_prefix: path_prefix(service, kind),
        deadline_s: DEADLINE_MS / 1000 + 1,
        ..Route::of(service, kind)
    };
    RequestKind::ALL.map(route).to_vec()
}

/// Limits that let the longest uploads pass, as the body of a call; the names in it are the wire's.
pub(super) fn limits(version: u64) -> Value {
    let max_body_bytes = MAX_BODY_BYTES + VERY_LONG_EXTRA_BYTES;
    json!({ "deliver": { "sizeLimits": {
        "envelopeBytes": 16384, "contentBytes": max_body_bytes, "envelopeS": 3, "idleS": 15, "edition": version
    } } })
}

fn path_prefix(service: &str, kind: RequestKind) -> String {
    format!("/{service}/long-{}/", kind.word())
}

/// What a client asks for, and how.
#[derive(Clone, Debug)]
struct LongRequest {
    kind: RequestKind,
    response: LongResponsePlan,
    upload_bytes: usize,
    /// How long its body is written for.
    upload_span: Duration,
    pace: ReadPace,
    /// It speaks HTTP/1.0: a response in chunks comes to it until the connection ends.
    is_http_10: bool,
    /// It sends the next request while it reads the response.
    sends_ahead: bool,
}

impl LongRequest {
    fn draw(rng: &mut Rng, may_be_very_long: bool) -> Self {
        let mut bytes = || {
            let extra =
                if rng.one_in(ONE_IN_VERY_LONG) && may_be_very_long { VERY_LONG_EXTRA_BYTES } else { 0 };
            (MIN_BODY_BYTES + rng.below(MAX_BODY_BYTES - MIN_BODY_BYTES) + extra) as usize
        };
        let (body_bytes, upload_bytes) = (bytes(), bytes());
        let mut span = || Duration::from_millis(200 + rng.below(MAX_SPAN_MS));
        let (response_span, upload_span) = (span(), span());
        let kind = RequestKind::ALL[rng.index(3)];
        // An upload of some seconds gets a response of its own length but once in four.
        let is_short = kind == RequestKind::Upload && !rng.one_in(4);
        let pace = match rng.index(4) {
            0 => ReadPace::Pausing { after_bytes: PAUSE_AFTER_BYTES, pause: READER_PAUSE },
            1 => ReadPace::Even { bytes_per_second: 1_500_000 + rng.below(1_500_000) },
            _ => ReadPace::Eager,
        };
        let response = LongResponsePlan {
            body_bytes: if is_short { 1_000 } else { body_bytes },
            span: if is_short { Duration::ZERO } else { response_span },
            is_chunked: rng.one_in(2),
        };
        LongRequest {
            kind,
            response,
            upload_bytes: if kind == RequestKind::Upload { upload_bytes } else { 0 },
            upload_span,
            pace,
            is_http_10: rng.one_in(6),
            sends_ahead: rng.one_in(3),
        }
    }

    fn head(&self, place: &ClientPlace, id: &str) -> String {
        let LongRequest { kind, upload_bytes, .. } = self;
        let target = format!("{}{}", path_prefix(&place.service, *kind), self.response.path_suffix());
        let version = if self.is_http_10 { "1.0" } else { "1.1" };
        format!(
            "POST {target} HTTP/{version}\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
             Content-Length: {upload_bytes}\r\n\r\n"
        )
    }

    async fn connect(&self, place: &ClientPlace) -> io::Result<HttpConnection> {
        let buffer = (self.pace != ReadPace::Eager).then_some(SLOW_READER_BUFFER_BYTES);
        let from = Some(place.outbound.ip());
        HttpConnection::connect_with_buffer(from, place.outbound, CONNECT_TIMEOUT, buffer).await
    }

    /// Send it and read its response.
    async fn exchange(
        &self,
        connection: &mut HttpConnection,
        place: &ClientPlace,
        id: &str,
        next: Option<&str>,
    ) -> io::Result<Response> {
        connection.set_pace(self.pace);
        connection.write(self.head(place, id).as_bytes()).await?;
        if let Some(next) = next {
            let after_bytes = self.response.body_bytes as u64 / 2;
            connection.write_ahead(after_bytes, next_head(place, next).into_bytes());
        }
        let began = Instant::now();
        let body = vec![b'u'; self.upload_bytes];
        let part_bytes = body.len().div_ceil(UPLOAD_PARTS).max(1);
        for (number, part) in (1u32..).zip(body.chunks(part_bytes)) {
            sleep_until(began + self.upload_span * number / UPLOAD_PARTS as u32).await;
            // A response may have come already, a refusal for instance: it is read.
            if connection.write(part).await.is_err() {
                break;
            }
        }
        connection.read_response().await
    }
}

/// The response to a request that is sent ahead: an ordinary one, but in its length.
const NEXT_RESPONSE: LongResponsePlan =
    LongResponsePlan { body_bytes: 500, span: Duration::ZERO, is_chunked: false };

fn next_head(place: &ClientPlace, id: &str) -> String {
    let target = format!("{}{}", path_prefix(&place.service, RequestKind::Safe), NEXT_RESPONSE.path_suffix());
    format!("GET {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n")
}

/// One client.
pub(super) struct LongClient {
    place: ClientPlace,
    log: LongLog,
    may_ask_for_very_long: bool,
    connection: Option<HttpConnection>,
}

impl LongClient {
    /// One that has sent nothing yet.
    pub(super) fn new(place: ClientPlace, log: LongLog, may_ask_for_very_long: bool) -> Self {
        LongClient { place, log, may_ask_for_very_long, connection: None }
    }

    /// Send long requests for as long as the task lives.
    pub(super) async fn ask_again_and_again(mut self, seed: u64) {
        let mut rng = Rng::new(seed);
        loop {
            tokio::time::sleep(Duration::from_millis(rng.below(MAX_PAUSE_MS))).await;
            let request = LongRequest::draw(&mut rng, self.may_ask_for_very_long);
            self.send(&request).await;
        }
    }

    fn record(&self, request: &LongRequest, id: &str, sent_at: Instant, outcome: LongOutcome) {
        self.log.add(LongAttempt {
            machine: self.place.machine,
            id: id.to_string(),
            kind: request.kind,
            is_slow_reader: request.pace != ReadPace::Eager,
            sent_at,
            ended_at: Instant::now(),
            outcome,
        });
    }

    /// Send a request, and the next one where it is sent ahead.
    async fn send(&mut self, request: &LongRequest) {
        let (id, next, sent_at) = (attempt_id(), attempt_id(), Instant::now());
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => match request.connect(&self.place).await {
                Ok(connection) => connection,
                Err(_) => return self.record(request, &id, sent_at, LongOutcome::NotSent),
            },
        };
        let sends_ahead = request.sends_ahead && !request.is_http_10;
        let limit = Duration::from_millis(DEADLINE_MS) + GIVE_UP_SLACK;
        let exchange =
            request.exchange(&mut connection, &self.place, &id, sends_ahead.then_some(next.as_str()));
        let result = timeout(limit, exchange).await;
        let keep_alive = matches!(&result, Ok(Ok(response)) if response.keep_alive && !request.is_http_10);
        let outcome = check::outcome(result, &request.response, &id, connection.received());
        let is_served = outcome == LongOutcome::Served;
        self.record(request, &id, sent_at, outcome);
        if sends_ahead && is_served {
            connection.set_pace(ReadPace::Eager);
            let sent_at = Instant::now();
            let result = timeout(limit, connection.read_response()).await;
            let outcome = check::outcome(result, &NEXT_RESPONSE, &next, connection.received());
            let ahead = LongRequest { kind: RequestKind::Safe, pace: ReadPace::Eager, ..request.clone() };
            self.record(&ahead, &next, sent_at, outcome);
        }
        if keep_alive && !sends_ahead {
            self.connection = Some(connection);
        }
    }
}
