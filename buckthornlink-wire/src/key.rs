//! Keys derived from the secrets in the settings.

use std::fmt;
use std::hash::Hasher;

use aes::Aes128;
use aes::cipher::generic_array::GenericArray;
use aes::cipher::{BlockDecrypt, BlockEncrypt, KeyInit};
use ring::hkdf;
use siphasher::sip::SipHasher24;

/// Length of a secret in bytes.
pub const SECRET_BYTES: usize = 32;
/// Length of the authentication tag of an envelope, in bytes.
pub(crate) const ENVELOPE_TAG_BYTES: usize = 8;

const SALT: &[u8] = b"buckthornlink 1";

/// One AES block of a connection id.
pub(crate) type Block = [u8; 16];

/// All keys derived from one secret.
#[derive(Clone)]
pub struct Key {
    id: u8,
    cid_cipher: Aes128,
    cid_mac: Aes128,
    envelope: [u8; 16],
    reset: [u8; 32],
    token: [u8; 32],
}

impl Key {
    /// Derives the keys from the secret with this id.
    #[must_use]
    pub fn derive(id: u8, secret: &[u8; SECRET_BYTES]) -> Self {
        let prk = hkdf::Salt::new(hkdf::HKDF_SHA256, SALT).extract(secret);
        Self {
            id,
            cid_cipher: Aes128::new(&GenericArray::from(expand::<16>(&prk, b"cid cipher"))),
            cid_mac: Aes128::new(&GenericArray::from(expand::<16>(&prk, b"cid tag"))),
            envelope: expand(&prk, b"envelope"),
            reset: expand(&prk, b"stateless reset"),
            token: expand(&prk, b"address token"),
        }
    }

    /// Returns the id of the secret.
    #[must_use]
    pub const fn id(&self) -> u8 {
        self.id
    }

    /// Returns the key of QUIC's stateless reset tokens, which is the same for all agents.
    #[must_use]
    pub const fn reset_key(&self) -> &[u8; 32] {
        &self.reset
    }

    /// Returns the key of QUIC's address validation tokens, which is the same for all agents.
    #[must_use]
    pub const fn token_key(&self) -> &[u8; 32] {
        &self.token
    }

    pub(crate) fn encrypt(&self, block: Block) -> Block {
        let mut block = GenericArray::from(block);
        self.cid_cipher.encrypt_block(&mut block);
        block.into()
    }

    pub(crate) fn decrypt(&self, block: Block) -> Block {
        let mut block = GenericArray::from(block);
        self.cid_cipher.decrypt_block(&mut block);
        block.into()
    }

    /// Returns the authentication tag of an encrypted block.
    pub(crate) fn cid_tag(&self, block: Block) -> Block {
        let mut block = GenericArray::from(block);
        self.cid_mac.encrypt_block(&mut block);
        block.into()
    }

    /// Returns the authentication tag of an envelope or of a dependant header value.
    pub(crate) fn envelope_tag(&self, bytes: &[u8]) -> [u8; ENVELOPE_TAG_BYTES] {
        let mut hasher = SipHasher24::new_with_key(&self.envelope);
        hasher.write(bytes);
        hasher.finish().to_be_bytes()
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// The valid keys. The first one authenticates outgoing data; any of them verifies incoming data.
#[derive(Clone, Debug)]
pub struct KeyRing {
    keys: Vec<Key>,
}

impl KeyRing {
    /// Creates a ring of `keys`; returns `None` if there are none or two have the same id.
    #[must_use]
    pub fn new(keys: Vec<Key>) -> Option<Self> {
        let is_duplicate = |(i, key): (usize, &Key)| keys[..i].iter().any(|k| k.id == key.id);
        let is_valid = !keys.is_empty() && !keys.iter().enumerate().any(is_duplicate);
        is_valid.then_some(Self { keys })
    }

    /// Creates a ring of one key.
    #[must_use]
    pub fn single(id: u8, secret: &[u8; SECRET_BYTES]) -> Self {
        Self {
            keys: vec![Key::derive(id, secret)],
        }
    }

    /// Returns the key that authenticates outgoing data.
    #[must_use]
    pub fn current(&self) -> &Key {
        &self.keys[0]
    }

    /// Returns the key with this id.
    #[must_use]
    pub fn get(&self, id: u8) -> Option<&Key> {
        self.keys.iter().find(|k| k.id == id)
    }
}

struct OutputLength(usize);

impl hkdf::KeyType for OutputLength {
    fn len(&self) -> usize {
        self.0
    }
}

fn expand<const N: usize>(prk: &hkdf::Prk, purpose: &[u8]) -> [u8; N] {
    let mut bytes = [0; N];
    let info = [purpose];
    let okm = prk
        .expand(&info, OutputLength(N))
        .and_then(|okm| okm.fill(&mut bytes));
    okm.expect("HKDF-SHA256 yields up to 8,160 bytes");
    bytes
}
