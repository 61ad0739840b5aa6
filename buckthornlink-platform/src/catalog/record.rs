//! Records in the store, as they are encoded.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use buckthornlink_core::member::ZoneRecord;
use buckthornlink_core::{Version, ZoneTag};

/// Number of edit ids that a record retains, so that the outcome of an edit can be looked up after
/// its response was lost.
const MAX_EDIT_IDS: usize = 16;

/// The configuration record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Incremented by each accepted edit.
    pub version: Version,
    /// Ids of the latest edits, newest first.
    pub edits: Vec<String>,
    /// Who made the latest edit.
    pub editor: String,
    /// The configuration, as text written by the operators.
    pub text: String,
}

/// The record of one zone in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEntry {
    /// Name of the zone.
    pub name: String,
    /// Whether the zone is out of service.
    pub out: bool,
    /// Incremented by each accepted edit.
    pub seq: u64,
    /// Ids of the latest edits, newest first.
    pub edits: Vec<String>,
    /// Who made the latest edit.
    pub editor: String,
}

/// The leased entry of a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BalancerEntry {
    /// Address for control messages and configuration fetches.
    pub link: SocketAddrV4,
    /// Address of the status and metrics server.
    pub http: SocketAddrV4,
    /// Availability zone.
    pub zone: String,
}

/// The leased entry of an instance of the datagram path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Address of the instance.
    pub ip: Ipv4Addr,
    /// Whether the instance runs an agent next to a backend server.
    pub agent: bool,
}

impl ConfigRecord {
    /// Creates the record that replaces `current`.
    #[must_use]
    pub fn successor(current: Option<&Self>, text: &str, edit_id: &str, editor: &str) -> Self {
        let version = current.map_or(Version::default(), |c| c.version);
        let edits = current.map_or(&[][..], |c| &c.edits);
        Self {
            version: version.next(),
            edits: prepend_edit(edit_id, edits),
            editor: editor.to_owned(),
            text: text.to_owned(),
        }
    }
}

impl ZoneEntry {
    /// Creates the record that replaces `current`.
    #[must_use]
    pub fn successor(
        current: Option<&Self>,
        name: &str,
        out: bool,
        edit_id: &str,
        editor: &str,
    ) -> Self {
        let edits = current.map_or(&[][..], |c| &c.edits);
        Self {
            name: name.to_owned(),
            out,
            seq: current.map_or(0, |c| c.seq) + 1,
            edits: prepend_edit(edit_id, edits),
            editor: editor.to_owned(),
        }
    }

    /// Converts the record to the form in which processes exchange it.
    #[must_use]
    pub fn to_record(&self) -> ZoneRecord {
        ZoneRecord {
            zone: ZoneTag::of(&self.name),
            seq: self.seq.into(),
            out: self.out,
        }
    }
}

fn prepend_edit(edit_id: &str, earlier: &[String]) -> Vec<String> {
    let newest = std::iter::once(edit_id.to_owned());
    newest
        .chain(earlier.iter().cloned())
        .take(MAX_EDIT_IDS)
        .collect()
}
