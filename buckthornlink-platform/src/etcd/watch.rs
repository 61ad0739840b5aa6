//! A watch, which receives one JSON object per line until the connection ends.
//!
//! A stream without events looks the same as one whose connection has fallen silent. So the watch asks
//! the store at intervals for its latest write, and fails if the stream does not deliver it, or if the
//! store's revision has gone back because an older copy was restored. Only these answers tell how much is
//! known: events may have been held up on their way.

use std::time::Duration;

use bytes::BytesMut;
use tokio::time::{Instant, sleep_until, timeout};

use super::EtcdStore;
use super::json::{Streamed, WatchResponse};
use crate::store::{Change, Revision, StoreError, Watch};

/// Interval between questions for the latest write.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time within which the stream delivers an event that the store has confirmed.
const DELIVERY_TIME: Duration = Duration::from_millis(500);
/// Limit of one line of a response, in bytes; a line holds whole values, encoded as base64.
const MAX_LINE_BYTES: usize = 4_000_000;

/// A watch of all keys that start with a prefix.
#[derive(Debug)]
pub struct EtcdWatch {
    store: EtcdStore,
    prefix: String,
    response: reqwest::Response,
    buffer: BytesMut,
    /// Revision up to which all events have been delivered.
    delivered: Revision,
    next_check: Instant,
    confirmed_at: Option<Instant>,
}

impl EtcdWatch {
    /// Creates a watch that reads the events after `delivered` from `response`.
    pub(super) fn new(
        store: EtcdStore,
        prefix: String,
        delivered: Revision,
        response: reqwest::Response,
    ) -> Self {
        Self {
            store,
            prefix,
            response,
            buffer: BytesMut::new(),
            delivered,
            next_check: Instant::now() + CHECK_INTERVAL,
            confirmed_at: None,
        }
    }

    /// Waits for the next response of the stream and returns its changes.
    async fn receive(&mut self) -> Result<Vec<Change>, StoreError> {
        let line = self.next_line().await?;
        let parsed = serde_json::from_slice::<Streamed<WatchResponse>>(&line);
        let response = parsed.map_err(|err| StoreError::Malformed(err.to_string()))?;
        let events = response.result.events;
        let changes: Vec<Change> = events.into_iter().map(Change::from).collect();
        let latest = changes.iter().map(Change::revision).max();
        self.delivered = self.delivered.max(latest.unwrap_or_default());
        Ok(changes)
    }

    /// Asks the store for its latest write. If the stream has not delivered it, waits for it; returns
    /// the changes that arrive meanwhile.
    async fn check(&mut self) -> Result<Vec<Change>, StoreError> {
        let start = Instant::now();
        self.next_check = start + CHECK_INTERVAL;
        let (latest, store) = self.store.latest_write(&self.prefix).await?;
        if store < self.delivered {
            return Err(StoreError::Restored);
        }
        let mut changes = Vec::new();
        let deliver = async {
            while self.delivered < latest {
                changes.extend(self.receive().await?);
            }
            Ok(())
        };
        let silent = || StoreError::NoResponse("the watch has fallen silent".to_owned());
        timeout(DELIVERY_TIME, deliver)
            .await
            .unwrap_or_else(|_| Err(silent()))?;
        self.confirmed_at = Some(start);
        Ok(changes)
    }

    /// Waits for the next complete line.
    async fn next_line(&mut self) -> Result<BytesMut, StoreError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&b| b == b'\n') {
                return Ok(self.buffer.split_to(end + 1));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(StoreError::Malformed("watch event is too long".to_owned()));
            }
            let chunk = self.response.chunk().await?;
            let chunk =
                chunk.ok_or_else(|| StoreError::NoResponse("watch stream ended".to_owned()))?;
            self.buffer.extend_from_slice(&chunk);
        }
    }
}

impl Watch for EtcdWatch {
    async fn next(&mut self) -> Result<Vec<Change>, StoreError> {
        let next_check = self.next_check;
        let received = tokio::select! {
            received = self.receive() => Some(received),
            () = sleep_until(next_check) => None,
        };
        match received {
            Some(received) => received,
            None => self.check().await,
        }
    }

    fn confirmed_at(&self) -> Option<std::time::Instant> {
        self.confirmed_at.map(Instant::into_std)
    }
}
