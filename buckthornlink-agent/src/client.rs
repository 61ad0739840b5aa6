//! Client side of an HTTP/3 flow.
//!
//! Agents use it for calls to dependencies, and the tests' simulated callers for their requests.

use std::net::SocketAddrV4;
use std::sync::{Mutex, PoisonError};

use bytes::{Buf, Bytes, BytesMut};
use h3::ConnectionState;
use h3::client::SendRequest;
use h3::error::{Code, StreamError};
use http::{Request, Response};
use quinn::{Connection, Endpoint, VarInt};
use tokio::task::JoinHandle;

use buckthornlink_core::Verdict;

/// HTTP/3 error code `H3_NO_ERROR`, for connections that are closed without an error.
pub(crate) const NO_ERROR_CODE: u32 = 0x100;

type RequestSender = SendRequest<h3_quinn::OpenStreams, Bytes>;

/// An open flow to a service. Dropping it closes the connection.
pub struct Flow {
    connection: Connection,
    sender: Mutex<RequestSender>,
    driver: JoinHandle<()>,
}

/// Error returned when a flow cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The endpoint cannot connect to this address.
    #[error(transparent)]
    Connect(#[from] quinn::ConnectError),
    /// The QUIC handshake failed.
    #[error(transparent)]
    Handshake(#[from] quinn::ConnectionError),
    /// HTTP/3 could not be started on the connection.
    #[error("HTTP/3 could not be started: {0}")]
    Http(#[from] h3::error::ConnectionError),
}

/// Error returned when a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The flow is closing or closed, so the request was not sent.
    #[error("the flow accepts no new requests")]
    NotSent,
    /// The server declared that it did not process the request.
    #[error("the request was rejected without being processed")]
    Rejected,
    /// The request was sent, but no complete response was received.
    #[error("no complete response was received: {0}")]
    Lost(StreamError),
}

impl CallError {
    /// Returns whether the request may have run.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::NotSent | Self::Rejected => Verdict::NotRun,
            Self::Lost(_) => Verdict::MayHaveRun,
        }
    }
}

impl Flow {
    /// Opens a flow to `addr`, whose certificate must name `name`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection or HTTP/3 on it cannot be established.
    pub async fn open(
        endpoint: &Endpoint,
        addr: SocketAddrV4,
        name: &str,
    ) -> Result<Self, OpenError> {
        let connection = endpoint.connect(addr.into(), name)?.await?;
        let transport = h3_quinn::Connection::new(connection.clone());
        let (mut http, sender) = h3::client::new(transport).await?;
        let driver = tokio::spawn(async move {
            http.wait_idle().await;
        });
        Ok(Self {
            connection,
            sender: Mutex::new(sender),
            driver,
        })
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have run.
    pub async fn call(
        &self,
        request: Request<()>,
        body: Bytes,
    ) -> Result<(Response<()>, Bytes), CallError> {
        if self.is_closing() {
            return Err(CallError::NotSent);
        }
        let mut sender = self.sender();
        let mut stream = sender.send_request(request).await.map_err(call_error)?;
        if !body.is_empty() {
            stream.send_data(body).await.map_err(call_error)?;
        }
        stream.finish().await.map_err(call_error)?;
        let response = stream.recv_response().await.map_err(call_error)?;
        let mut received = BytesMut::new();
        while let Some(mut chunk) = stream.recv_data().await.map_err(call_error)? {
            received.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
        }
        Ok((response, received.freeze()))
    }

    /// Returns whether the flow accepts no new requests: the server sent GOAWAY, or the connection
    /// ended.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.connection.close_reason().is_some() || self.sender().is_closing()
    }

    /// Returns the underlying QUIC connection.
    #[must_use]
    pub const fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Closes the flow without an error.
    pub fn close(&self) {
        self.connection
            .close(VarInt::from_u32(NO_ERROR_CODE), b"done");
    }

    fn sender(&self) -> RequestSender {
        self.sender
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.close();
        self.driver.abort();
    }
}

fn call_error(err: StreamError) -> CallError {
    match err {
        StreamError::RemoteClosing => CallError::NotSent,
        StreamError::RemoteTerminate {
            code: Code::H3_REQUEST_REJECTED,
        } => CallError::Rejected,
        other => CallError::Lost(other),
    }
}
