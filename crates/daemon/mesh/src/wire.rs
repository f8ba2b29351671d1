//! HTTP/1.1 connections to clients, upstreams, operators and other sidecars: reading and
//! encoding heads and bodies.
//!
//! Independent of routes, upstreams and retries. Heads are parsed by `silvercross_net::http` and body framing is decoded by
//! `silvercross_net::stream`; this module has the sockets, the limits by kind of peer, and the headers of this mesh. Start
//! reading at `wire/connection.rs`, then `wire/reading.rs`.
mod connection;
mod error;
pub(crate) mod header_names;
mod limits;
mod reading;
mod request_head;
mod response;
mod writing;

pub(crate) use connection::{Connection, ConnectionEvent};
pub(crate) use error::ReadError;
pub(crate) use limits::{PeerKind, MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES};
pub(crate) use reading::{PartialResponse, ResponseRequest};
pub(crate) use request_head::RequestHead;
pub(crate) use response::Response;
pub(crate) use writing::{
    encode_response, encode_response_start, error_status, write_body_part, EncodedResponse, ResponseStart,
    LAST_CHUNK,
};
