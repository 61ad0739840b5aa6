//! Certificates for one run.

use buckthornlink_agent::TlsSettings;
use rcgen::{CertificateParams, KeyPair};

/// A self-signed certificate for all services of a run.
#[derive(Clone, Debug)]
pub struct SelfSignedCert {
    settings: TlsSettings,
}

impl SelfSignedCert {
    /// A certificate that names `names`.
    ///
    /// # Errors
    ///
    /// Returns an error if a name cannot stand in a certificate.
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

    /// The certificate as an agent's settings.
    #[must_use]
    pub const fn settings(&self) -> &TlsSettings {
        &self.settings
    }
}
