//! How evenly requests are spread over the backend servers of a fleet.

use super::Fleet;

impl Fleet {
    /// Restarts the measurement behind [`Fleet::imbalance`].
    pub fn reset_warm_stats(&self) {
        for handle in self.hosts.iter().filter_map(|h| h.handle.as_ref()) {
            handle.reset_warm_stats();
        }
    }

    /// Greatest imbalance of any service: the highest request rate of a warm backend server divided
    /// by the mean rate of its service.
    #[must_use]
    pub fn imbalance(&self) -> f64 {
        self.imbalances()
            .iter()
            .map(|(_, ratio)| *ratio)
            .fold(1.0, f64::max)
    }

    /// Name and imbalance of each service.
    #[must_use]
    pub fn imbalances(&self) -> Vec<(&'static str, f64)> {
        let services = self.preset.services();
        services
            .iter()
            .map(|s| (s.name, self.imbalance_of(s.name)))
            .collect()
    }

    fn imbalance_of(&self, service: &str) -> f64 {
        let hosts = self.hosts.iter().filter(|h| h.service.name == service);
        let rates: Vec<f64> = hosts
            .filter_map(|h| h.handle.as_ref()?.warm_rate())
            .collect();
        let sum: f64 = rates.iter().sum();
        let highest = rates.iter().copied().fold(0.0, f64::max);
        #[expect(clippy::cast_precision_loss, reason = "a service has few servers")]
        let mean = sum / rates.len().max(1) as f64;
        if mean > 0.0 { highest / mean } else { 1.0 }
    }
}
