//! HTTP/1.1 connections to clients, upstreams, operators and other sidecars: heads and bodies are read from them and
//! encoded for them.
//!
//! Knows no route, no upstream and no retry. What a head means is parsed by `silvercross_net::http`, how a body ends by
//! `silvercross_net::stream`; here are the sockets, the limits by kind of peer, and the headers of this mesh. Read on in
//! `wire/connection.rs`, then `wire/reading.rs`.
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
