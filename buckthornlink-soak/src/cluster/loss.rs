//! The loss of all processes and backend servers.

use std::time::Duration;

use rustix::process::Signal;
use tokio::sync::MutexGuard;
use tokio::time::sleep;

use super::Cluster;
use crate::backend_server::BackendCommand;
use crate::process::ManagedProcess;

impl Cluster {
    /// Ends all processes and backend servers at once, and starts them again later, but for backend servers that were
    /// leaving.
    pub(super) async fn lose_all(&self, downtime: Duration) {
        let mut processes = self.lock_processes().await;
        self.checker.record_loss();
        for process in &processes {
            process.signal(Signal::KILL);
        }
        for sender in self.backend_commands.lock().await.iter() {
            let _ = sender.try_send(BackendCommand::LosePower(downtime));
        }
        for (index, process) in processes.iter_mut().enumerate() {
            self.checker.record_disruption(self.ip(index));
            process.kill().await;
        }
        sleep(downtime).await;
        for (index, process) in processes.iter_mut().enumerate() {
            self.start_process(index, process);
        }
        self.checker.record_return();
    }

    /// Takes all processes, so that no other fault affects them.
    pub(super) async fn lock_processes(&self) -> Vec<MutexGuard<'_, ManagedProcess>> {
        let mut processes = Vec::new();
        for process in &self.processes {
            processes.push(process.lock().await);
        }
        processes
    }
}
