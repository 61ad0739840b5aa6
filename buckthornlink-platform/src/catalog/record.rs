//! Records in the store, as they are encoded.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use buckthornlink_core::member::ZoneRecord;
use buckthornlink_core::{Version, ZoneTag};

use super::EditTime;

/// Number of edit ids that a record retains, so that the outcome of an edit can be looked up after
/// its response was lost.
const MAX_EDIT_IDS: usize = 16;

/// The configuration record in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Raised by each accepted edit.
    pub version: Version,
    /// Ids of the latest edits, newest first.
    pub edits: Vec<String>,
    /// Versions that these edits made, in the same order. Records of earlier releases lack them;
    /// there, each edit raised the version by one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<Version>,
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
    /// Raised by each accepted edit.
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

/// The instances of the datagram path in one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberList {
    /// Addresses of balancers, in order; at most [`MemberList::MAX_BALANCERS`].
    pub balancers: Vec<Ipv4Addr>,
    /// Addresses of agents, in order; at most [`MemberList::MAX_AGENTS`].
    pub agents: Vec<Ipv4Addr>,
    /// Number of instances in the zone, including those that are not listed.
    pub total: u32,
}

impl MemberList {
    /// Maximum number of listed balancers, enough of them to ask for the others.
    pub const MAX_BALANCERS: usize = 64;
    /// Maximum number of listed agents, so that all lists together are read in one call.
    pub const MAX_AGENTS: usize = 192;

    /// The list of these instances, in order and without duplicates.
    #[must_use]
    pub fn new(mut balancers: Vec<Ipv4Addr>, mut agents: Vec<Ipv4Addr>) -> Self {
        for ips in [&mut balancers, &mut agents] {
            ips.sort_unstable();
            ips.dedup();
        }
        let total = u32::try_from(balancers.len() + agents.len()).unwrap_or(u32::MAX);
        balancers.truncate(Self::MAX_BALANCERS);
        agents.truncate(Self::MAX_AGENTS);
        Self {
            balancers,
            agents,
            total,
        }
    }

    /// Whether the list has all instances of the zone.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.total as usize == self.balancers.len() + self.agents.len()
    }
}

impl ConfigRecord {
    /// Creates the record that replaces `current`. Its version is `now`, or the one that follows
    /// the current version if that is later.
    #[must_use]
    pub fn successor(
        current: Option<&Self>,
        text: &str,
        edit_id: &str,
        editor: &str,
        now: EditTime,
    ) -> Self {
        let version = current.map_or(Version::default(), |c| c.version);
        let version = Version(now.next_number(version.0));
        let edits = current.map_or(&[][..], |c| &c.edits);
        let versions = current.map(Self::edit_versions).unwrap_or_default();
        Self {
            version,
            edits: prepend(edit_id.to_owned(), edits),
            versions: prepend(version, &versions),
            editor: editor.to_owned(),
            text: text.to_owned(),
        }
    }

    /// Returns the version that an edit made, if it is among the latest ones.
    #[must_use]
    pub fn version_of(&self, edit_id: &str) -> Option<Version> {
        let position = self.edits.iter().position(|e| e == edit_id)?;
        self.edit_versions().get(position).copied()
    }

    /// The versions that the latest edits made, newest first.
    fn edit_versions(&self) -> Vec<Version> {
        if !self.versions.is_empty() {
            return self.versions.clone();
        }
        let newest_first = (0..self.edits.len() as u64).map(|i| self.version.0.saturating_sub(i));
        newest_first.map(Version).collect()
    }
}

impl ZoneEntry {
    /// Creates the record that replaces `current`. Its sequence number is `now`, or the one that
    /// follows the current number if that is later.
    #[must_use]
    pub fn successor(
        current: Option<&Self>,
        name: &str,
        out: bool,
        edit_id: &str,
        editor: &str,
        now: EditTime,
    ) -> Self {
        let edits = current.map_or(&[][..], |c| &c.edits);
        Self {
            name: name.to_owned(),
            out,
            seq: now.next_number(current.map_or(0, |c| c.seq)),
            edits: prepend(edit_id.to_owned(), edits),
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

/// Puts the newest item before the earlier ones, of which [`MAX_EDIT_IDS`] are kept in all.
fn prepend<T: Clone>(newest: T, earlier: &[T]) -> Vec<T> {
    let items = std::iter::once(newest).chain(earlier.iter().cloned());
    items.take(MAX_EDIT_IDS).collect()
}
