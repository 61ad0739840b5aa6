//! Takes changed settings over while the process runs.
//!
//! Contacts and the address of the store are taken over; other settings wait for the next start.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use tokio::signal::unix::Signal;
use tokio::time::{MissedTickBehavior, interval};

use buckthornlink_core::datagram::Event;
use buckthornlink_node::settings;

use super::records::Records;
use crate::{Adapter, Inbox, Settings};

/// Interval at which the file is looked at, since it may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(5);

/// Follows the store that the settings name, and reads the settings again on SIGHUP or when the
/// file has changed.
pub(super) fn spawn<A: Adapter>(
    mut records: Records<A>,
    settings: Settings,
    path: PathBuf,
    inbox: Inbox,
    hangup: Signal,
) {
    records.follow(&settings.store);
    let reloader = Reloader {
        records,
        settings,
        path,
        inbox,
    };
    tokio::spawn(reloader.run(hangup));
}

struct Reloader<A> {
    records: Records<A>,
    settings: Settings,
    path: PathBuf,
    inbox: Inbox,
}

impl<A: Adapter> Reloader<A> {
    async fn run(mut self, mut hangup: Signal) {
        let mut looks = interval(LOOK_INTERVAL);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changed = self.changed();
        loop {
            let is_asked = tokio::select! {
                _ = looks.tick() => false,
                _ = hangup.recv() => true,
            };
            let now = self.changed();
            if is_asked || now != changed {
                changed = now;
                self.reload();
            }
        }
    }

    /// When the file was last changed.
    fn changed(&self) -> Option<SystemTime> {
        std::fs::metadata(&self.path)
            .and_then(|m| m.modified())
            .ok()
    }

    fn reload(&mut self) {
        let settings = match settings::load::<Settings>(&self.path) {
            Ok(settings) => settings,
            Err(err) => {
                log::error!(err:% = err; "settings are refused, those in force stay");
                return;
            }
        };
        if settings.store != self.settings.store {
            self.records.follow(&settings.store);
        }
        self.inbox.send(Event::Contacts(settings.contact_ips()));
        log::info!(store = settings.store, contacts = settings.contacts.len(); "settings reloaded");
        self.settings = settings;
    }
}
