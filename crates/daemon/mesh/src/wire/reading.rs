//! Reading messages from a connection: heads of requests, responses, and bodies whole, in part or streamed.
use super::request_head::{self, RequestHead};
use super::response::{self, ParsedResponseHead, Response};
use super::{Connection, ReadError, MAX_BUFFERED_BODY_BYTES};
use crate::body_budget::BodyReservation;
use bytes::{Buf, Bytes};
use silvercross_net::http::{Framing, Limits, MessageError};
use silvercross_net::stream::Decoder;
use std::time::Duration;
use tokio::time::timeout;

/// The beginning of a body.
#[derive(Debug)]
pub(crate) struct BodyPrefix {
    /// Its first bytes, or all of them.
    pub(crate) bytes: Vec<u8>,
    /// Whether these are all.
    pub(crate) is_complete: bool,
}

/// The request that a response is read for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseRequest<'r> {
    /// Its attempt id; empty if it has none.
    pub(crate) attempt_id: &'r str,
    /// It is a HEAD request.
    pub(crate) is_head_request: bool,
    /// Its body is held back: 100 (Continue) is returned as well.
    pub(crate) awaits_continue: bool,
}

/// A response: complete, or up to the part of its body that is buffered.
#[derive(Debug)]
pub(crate) struct PartialResponse {
    /// Its head and the buffered part.
    pub(crate) response: Response,
    /// How the rest of its body is to be read; `None`: there is no rest.
    pub(crate) remainder: Option<Decoder>,
}

impl Connection {
    /// Read the head of a request. A stated length of more than `max_body_bytes` is an error.
    ///
    /// # Errors
    /// [`ReadError::Closed`] if no byte comes within `idle_timeout`, [`ReadError::TimedOut`] if the head is not complete
    /// within `head_timeout` from there on.
    pub(crate) async fn read_request_head(
        &mut self,
        idle_timeout: Duration,
        head_timeout: Duration,
        max_body_bytes: usize,
    ) -> Result<RequestHead, ReadError> {
        let head_limits = self.peer.head_limits();
        let limits = Limits { head: head_limits.bytes, body: max_body_bytes };
        if self.received.is_empty() {
            match timeout(idle_timeout, self.receive()).await {
                Err(_) | Ok(Ok(0)) => return Err(ReadError::Closed),
                Ok(received) => received.map_err(|_| ReadError::Closed)?,
            };
        }
        let read = async {
            loop {
                // An empty line ahead of a request is skipped (RFC 9112, 2.2).
                while self.received.starts_with(b"\r\n") {
                    self.received.advance(2);
                }
                if let Some(parsed) = request_head::parse(&self.received, limits, head_limits.lines)? {
                    self.received.advance(parsed.length);
                    return Ok(parsed.head);
                }
                if self.receive().await? == 0 {
                    return Err(self.end_of_input());
                }
            }
        };
        timeout(head_timeout, read).await.unwrap_or(Err(ReadError::TimedOut))
    }

    /// The error for a close by the other end before a message was complete.
    fn end_of_input(&self) -> ReadError {
        match self.received.is_empty() {
            true => ReadError::Closed,
            false => ReadError::Interrupted,
        }
    }

    /// Read a whole body of at most `max_bytes`.
    pub(crate) async fn read_body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
    ) -> Result<Vec<u8>, ReadError> {
        let mut decoder = Decoder::new(framing, max_bytes);
        let mut body = Vec::new();
        if let Framing::Length(length) = framing {
            if length > max_bytes {
                return Err(ReadError::Invalid(MessageError::BodyTooLarge));
            }
            body.reserve_exact(length);
        }
        while !decoder.is_done() {
            if self.decode_received(&mut decoder, &mut body)? {
                continue;
            }
            if self.receive().await? == 0 && !decoder.ends_at_close() {
                return Err(ReadError::Interrupted);
            }
        }
        Ok(body)
    }

    /// Read a body as far as it is buffered: whole, or its first [`MAX_BUFFERED_BODY_BYTES`] and not many more.
    /// `stated_length`: the body's, if it states one. `may_stream`: the rest can be streamed from any point.
    ///
    /// # Errors
    /// [`ReadError::BodyBudgetExhausted`] if the reservation can't grow and the rest may not be streamed from there.
    pub(crate) async fn read_body_prefix(
        &mut self,
        decoder: &mut Decoder,
        stated_length: Option<usize>,
        reservation: &mut BodyReservation,
        may_stream: bool,
    ) -> Result<BodyPrefix, ReadError> {
        let mut bytes = Vec::new();
        bytes.reserve_exact(stated_length.unwrap_or(0).min(MAX_BUFFERED_BODY_BYTES));
        while !decoder.is_done() {
            let before = bytes.len();
            if self.decode_received(decoder, &mut bytes)? {
                if reservation.grow((bytes.len() - before) as u64) {
                    continue;
                }
                if !decoder.is_done() && !may_stream {
                    return Err(ReadError::BodyBudgetExhausted);
                }
                return Ok(BodyPrefix { bytes, is_complete: decoder.is_done() });
            }
            if bytes.len() >= MAX_BUFFERED_BODY_BYTES {
                return Ok(BodyPrefix { bytes, is_complete: false });
            }
            if self.receive().await? == 0 && !decoder.ends_at_close() {
                return Err(ReadError::Interrupted);
            }
        }
        Ok(BodyPrefix { bytes, is_complete: true })
    }

    /// Read the next part of a streamed body; `None`: it is complete.
    pub(crate) async fn read_body_part(&mut self, decoder: &mut Decoder) -> Result<Option<Bytes>, ReadError> {
        loop {
            if decoder.is_done() {
                return Ok(None);
            }
            if let Some((framing_bytes, body_bytes)) = decoder.next(&self.received)? {
                self.received.advance(framing_bytes);
                if body_bytes > 0 {
                    return Ok(Some(self.received.split_to(body_bytes).freeze()));
                }
                if framing_bytes > 0 {
                    continue;
                }
            }
            if decoder.is_done() {
                return Ok(None);
            }
            if self.receive().await? == 0 && !decoder.ends_at_close() {
                return Err(ReadError::Interrupted);
            }
        }
    }

    /// Decode received bytes into a body; `false` if more have to be received first.
    fn decode_received(&mut self, decoder: &mut Decoder, body: &mut Vec<u8>) -> Result<bool, ReadError> {
        let Some((framing_bytes, body_bytes)) = decoder.next(&self.received)? else { return Ok(false) };
        self.received.advance(framing_bytes);
        body.extend_from_slice(&self.received[..body_bytes]);
        self.received.advance(body_bytes);
        Ok(framing_bytes + body_bytes > 0)
    }

    /// Read a response: complete if its body has no more than [`MAX_BUFFERED_BODY_BYTES`], else its beginning.
    ///
    /// A complete response with another attempt id is skipped, since it belongs to an earlier request; a connection that
    /// brought one carries no further request (`keep_alive` is cleared).
    ///
    /// # Errors
    /// [`ReadError::Interrupted`] also for another request's response that is too large to be skipped.
    pub(crate) async fn read_response(
        &mut self,
        request: ResponseRequest<'_>,
        mut reservation: BodyReservation,
    ) -> Result<PartialResponse, ReadError> {
        let mut has_skipped = false;
        loop {
            let ParsedResponseHead { mut response, framing, .. } = self.read_response_head().await?;
            if (100..200).contains(&response.status) {
                if request.awaits_continue && response.status == 100 {
                    response.reservation = Some(reservation);
                    return Ok(PartialResponse { response, remainder: None });
                }
                continue;
            }
            if let Framing::Length(length) = framing {
                response.content_length = Some(length);
            }
            let framing = if request.is_head_request { Framing::Length(0) } else { framing };
            let mut decoder = Decoder::new(framing, usize::MAX);
            let mut is_complete = true;
            if !decoder.is_done() {
                let stated = response.content_length;
                let prefix = self.read_body_prefix(&mut decoder, stated, &mut reservation, true).await?;
                (response.body, is_complete) = (prefix.bytes, prefix.is_complete);
            }
            if response.attempt_id.as_ref().is_some_and(|id| id != request.attempt_id) {
                if !is_complete {
                    return Err(ReadError::Interrupted);
                }
                reservation.release();
                has_skipped = true;
                continue;
            }
            response.keep_alive &= !has_skipped;
            response.reservation = Some(reservation);
            return Ok(PartialResponse { response, remainder: (!is_complete).then_some(decoder) });
        }
    }

    /// Read the next head of a response, an interim one (1xx) as well.
    async fn read_response_head(&mut self) -> Result<ParsedResponseHead, ReadError> {
        let limits = Limits { head: self.peer.head_limits().bytes, body: usize::MAX };
        loop {
            if let Some(parsed) = response::parse(&self.received, limits, self.peer)? {
                self.received.advance(parsed.length);
                return Ok(parsed);
            }
            if self.receive().await? == 0 {
                return Err(self.end_of_input());
            }
        }
    }
}
