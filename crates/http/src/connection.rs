//! Client side of an HTTP/1.1 connection.

use std::error::Error;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::Connection;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;

use crate::meter::Meter;
use crate::meter::Metered;

/// Bytes that a connection reads ahead, and so the longest head of a reply. A process has a thousand
/// connections, and each of them may hold as much at a time. The default of the HTTP library is 400 kB.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Bytes of a reply that each byte of its content allows. A body may come in chunks of one byte up to
/// 16 kB, and in chunks of 5 bytes without a bound.
const BYTES_PER_CONTENT: u64 = 2;

/// Future that drives a connection.
pub type Driver<S> = Connection<TokioIo<Metered<S>>, Full<Bytes>>;

/// Sets up a connection over a stream. The caller polls the returned driver, and resets the meter
/// before each request.
///
/// # Errors
///
/// Fails if the stream is broken.
pub async fn handshake<S: AsyncRead + AsyncWrite + Unpin>(
    stream: S,
) -> hyper::Result<(SendRequest<Full<Bytes>>, Driver<S>, Arc<Meter>)> {
    let meter = Arc::new(Meter::new(BYTES_PER_CONTENT));
    let stream = TokioIo::new(Metered::new(stream, meter.clone()));
    let mut builder = http1::Builder::new();
    let (sender, driver) = builder.max_buf_size(READ_BUFFER_BYTES).handshake(stream).await?;
    Ok((sender, driver, meter))
}

/// Returns whether a reply failed because the peer sent bytes that are no reply, or too many of them. It
/// was alive then, and its connection did not break.
pub fn is_invalid(error: &hyper::Error) -> bool {
    if error.is_parse() {
        return true;
    }
    let mut cause = error.source();
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return [io::ErrorKind::InvalidData, io::ErrorKind::InvalidInput]
                .contains(&error.kind());
        }
        cause = error.source();
    }
    false
}
