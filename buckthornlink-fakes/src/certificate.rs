//! TLS certificate of a fleet.

use buckthornlink_agent::TlsSettings;
use rcgen::{CertificateParams, KeyPair};

/// Self-signed certificate for all services of a fleet, which is also the trusted root.
#[derive(Clone, Debug)]
pub struct SelfSignedCert {
    settings: TlsSettings,
}

impl SelfSignedCert {
    /// Generates a certificate for the DNS names `names`.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is not allowed in a certificate.
    pub fn generate(names: impl IntoIterator<Item = String>) -> anyhow::Result<Self> {
        let key = KeyPair::generate()?;
        let names: Vec<String> = names.into_iter().collect();
        let certificate = CertificateParams::new(names)?.self_signed(&key)?;
        Ok(Self {
            settings: TlsSettings {
                certificate: certificate.pem(),
                key: key.serialize_pem(),
                roots: certificate.pem(),
            },
        })
    }

    /// Certificate, key and root as settings of an agent.
    #[must_use]
    pub const fn settings(&self) -> &TlsSettings {
        &self.settings
    }
}
