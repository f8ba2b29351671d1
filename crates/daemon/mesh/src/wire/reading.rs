//! Messages as they are read from a connection: a request's head, an answer, and bodies whole, in part or piece by piece.
use super::heads::{answered, asked};
use super::{Connection, PeerKind, ReadError, RequestHead, Response, MAX_BUFFERED_BODY_BYTES};
use crate::body_buffer::BodyReservation;
use bytes::{Buf, Bytes};
use silvercross_net::http::{Bad, Framing, Limits};
use silvercross_net::stream::Decoder;
use std::time::Duration;
use tokio::time::timeout;

impl Connection {
    /// Read the head of a request: at most `idle` for its first byte, `whole` from there on; a stated length of `body` at most.
    pub async fn request(
        &mut self,
        idle: Duration,
        whole: Duration,
        body: usize,
    ) -> Result<RequestHead, ReadError> {
        let (most, lines) = self.end.most();
        let limits = Limits { head: most, body };
        if self.come.is_empty() {
            match timeout(idle, self.fill()).await {
                Err(_) | Ok(Ok(0)) => return Err(ReadError::Closed),
                Ok(r) => r.map_err(|_| ReadError::Closed)?,
            };
        }
        let read = async {
            loop {
                // An empty line ahead of a request is passed over (RFC 9112, 2.2).
                while self.come.starts_with(b"\r\n") {
                    self.come.advance(2);
                }
                if let Some((len, asked)) = asked(&self.come, limits, lines)? {
                    self.come.advance(len);
                    return Ok(asked);
                }
                if self.fill().await? == 0 {
                    return Err(if self.come.is_empty() { ReadError::Closed } else { ReadError::Broken });
                }
            }
        };
        timeout(whole, read).await.unwrap_or(Err(ReadError::Late))
    }

    /// Read a body whole, of `most` bytes at the most.
    pub async fn body(&mut self, framing: Framing, most: usize) -> Result<Vec<u8>, ReadError> {
        let mut decoder = Decoder::new(framing, most);
        let mut body = Vec::new();
        if let Framing::Length(n) = framing {
            if n > most {
                return Err(ReadError::Bad(Bad::BodyTooLarge));
            }
            body.reserve_exact(n);
        }
        while !decoder.is_done() {
            if self.piece(&mut decoder, &mut body)? {
                continue;
            }
            if self.fill().await? == 0 && !decoder.ends_here() {
                return Err(ReadError::Broken);
            }
        }
        Ok(body)
    }

    /// Read a body as far as it is held: whole, or its first [`MAX_BUFFERED_BODY_BYTES`] bytes and not many more. `false`: there is more of it.
    /// [`ReadError::NoRoom`] where its share grows no further, unless it can be passed on from there (`passes`).
    pub async fn held(
        &mut self,
        decoder: &mut Decoder,
        stated: Option<usize>,
        share: &mut BodyReservation,
        passes: bool,
    ) -> Result<(Vec<u8>, bool), ReadError> {
        let mut body = Vec::new();
        body.reserve_exact(stated.unwrap_or(0).min(MAX_BUFFERED_BODY_BYTES));
        while !decoder.is_done() {
            let had = body.len();
            if self.piece(decoder, &mut body)? {
                match share.more((body.len() - had) as u64) {
                    true => continue,
                    false if decoder.is_done() || passes => return Ok((body, decoder.is_done())),
                    false => return Err(ReadError::NoRoom),
                }
            }
            if body.len() >= MAX_BUFFERED_BODY_BYTES {
                return Ok((body, false));
            }
            if self.fill().await? == 0 && !decoder.ends_here() {
                return Err(ReadError::Broken);
            }
        }
        Ok((body, true))
    }

    /// The next piece of a body; `None`: it has come whole.
    pub async fn next(&mut self, decoder: &mut Decoder) -> Result<Option<Bytes>, ReadError> {
        loop {
            if decoder.is_done() {
                return Ok(None);
            }
            if let Some((skip, n)) = decoder.next(&self.come)? {
                self.come.advance(skip);
                if n > 0 {
                    return Ok(Some(self.come.split_to(n).freeze()));
                }
                if skip > 0 {
                    continue;
                }
            }
            if decoder.is_done() {
                return Ok(None);
            }
            if self.fill().await? == 0 && !decoder.ends_here() {
                return Err(ReadError::Broken);
            }
        }
    }

    /// Take one piece of a body that has come; `false` if more has to come first.
    fn piece(&mut self, decoder: &mut Decoder, body: &mut Vec<u8>) -> Result<bool, ReadError> {
        let Some((skip, n)) = decoder.next(&self.come)? else { return Ok(false) };
        self.come.advance(skip);
        body.extend_from_slice(&self.come[..n]);
        self.come.advance(n);
        Ok(skip + n > 0)
    }

    /// Read an answer: whole, if it has not more than [`MAX_BUFFERED_BODY_BYTES`] bytes, else the first part of it and how the rest is to be
    /// read. `of` is the request's id: whole answers that carry another one are passed over, since they belong to a request
    /// before; a connection that brought one carries no further request. `bodiless`: to a HEAD. `go`: a word to go on with the body (100) is returned as well.
    pub async fn answer(
        &mut self,
        of: &str,
        bodiless: bool,
        go: bool,
        mut share: BodyReservation,
    ) -> Result<(Response, Option<Decoder>), ReadError> {
        let (most, lines) = self.end.most();
        let limits = Limits { head: most, body: usize::MAX };
        let mut passed_over = false;
        loop {
            let Some((len, mut answer, framing)) =
                answered(&self.come, limits, lines, self.end == PeerKind::Sidecar)?
            else {
                if self.fill().await? == 0 {
                    return Err(if self.come.is_empty() { ReadError::Closed } else { ReadError::Broken });
                }
                continue;
            };
            self.come.advance(len);
            if (100..200).contains(&answer.status) {
                if go && answer.status == 100 {
                    answer.share = Some(share);
                    return Ok((answer, None));
                }
                continue;
            }
            let mut decoder = Decoder::new(framing, usize::MAX);
            if bodiless {
                decoder = Decoder::new(Framing::Length(0), 0);
            }
            let stated = match framing {
                Framing::Length(n) => Some(n),
                _ => None,
            };
            answer.length = stated.map(|n| n as u64);
            let mut whole = true;
            if !decoder.is_done() {
                (answer.body, whole) = self.held(&mut decoder, stated, &mut share, true).await?;
            }
            match &answer.id {
                Some(id) if id != of => {
                    if !whole {
                        // Too much to be passed over.
                        return Err(ReadError::Broken);
                    }
                    share.empty();
                    passed_over = true;
                    continue;
                }
                _ => {
                    answer.keep_alive &= !passed_over;
                    answer.share = Some(share);
                    return Ok((answer, (!whole).then_some(decoder)));
                }
            }
        }
    }
}
