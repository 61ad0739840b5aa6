//! Reloads settings while the process runs.
//!
//! Changed contacts and a changed store URL apply at once; other settings apply after a restart.

use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use tokio::signal::unix::Signal;
use tokio::time::{MissedTickBehavior, interval};

use buckthornlink_core::datagram::Event;
use buckthornlink_node::settings;

use super::store_tasks::StoreTasks;
use crate::{Adapter, ReducerHandle, Settings};

/// Interval at which the file is checked for changes, since it may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Starts the store tasks, and reloads the settings on SIGHUP or when the file has changed.
pub(super) fn spawn<A: Adapter>(
    mut store_tasks: StoreTasks<A>,
    settings: Settings,
    path: PathBuf,
    handle: ReducerHandle,
    hangup: Signal,
) {
    store_tasks.restart(&settings.store);
    let reloader = Reloader {
        store_tasks,
        settings,
        path,
        handle,
    };
    tokio::spawn(reloader.run(hangup));
}

struct Reloader<A> {
    store_tasks: StoreTasks<A>,
    settings: Settings,
    path: PathBuf,
    handle: ReducerHandle,
}

impl<A: Adapter> Reloader<A> {
    async fn run(mut self, mut hangup: Signal) {
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_modified = self.modified_at();
        loop {
            let is_requested = tokio::select! {
                _ = checks.tick() => false,
                _ = hangup.recv() => true,
            };
            let modified = self.modified_at();
            if is_requested || modified != last_modified {
                last_modified = modified;
                self.reload();
            }
        }
    }

    /// Modification time of the file, if it can be read.
    fn modified_at(&self) -> Option<SystemTime> {
        std::fs::metadata(&self.path)
            .and_then(|m| m.modified())
            .ok()
    }

    fn reload(&mut self) {
        let settings = match settings::load::<Settings>(&self.path) {
            Ok(settings) => settings,
            Err(err) => {
                log::error!(err:% = err; "settings are refused; keeping the current ones");
                return;
            }
        };
        if settings.store != self.settings.store {
            self.store_tasks.restart(&settings.store);
        }
        self.handle.send(Event::Contacts(settings.contact_ips()));
        log::info!(store = settings.store, contacts = settings.contacts.len(); "settings reloaded");
        self.settings = settings;
    }
}
