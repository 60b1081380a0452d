//! The control daemons of the cluster, either listed in the settings or discovered by address.
//!
//! The slot of a discovered daemon in the replicated log is its IPv4 address as a number, so that
//! the log's membership contains the address of each member. Its name on the wire is the address,
//! too.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use azurelug_types::id::DaemonName;

use crate::settings::{Member, Settings};

/// The control daemons of the cluster. Clones share the list.
#[derive(Clone, Debug)]
pub enum Cluster {
    /// Listed in the settings.
    Listed(Arc<[Member]>),
    /// Discovered by address.
    Discovered {
        /// Addresses to ask for admission.
        seeds: Arc<[Ipv4Addr]>,
        /// The address of this daemon.
        own: Ipv4Addr,
        /// The port of all control daemons.
        port: u16,
    },
}

impl Cluster {
    /// The cluster that the settings describe, which must have been checked.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let Some(discovery) = &settings.discovery else {
            return Self::Listed(settings.members.clone().into());
        };
        let addresses = discovery.seeds.iter().map(SocketAddr::ip).filter_map(ipv4);
        Self::Discovered {
            seeds: addresses.collect(),
            own: ipv4(settings.internal.ip()).unwrap_or(Ipv4Addr::UNSPECIFIED),
            port: settings.internal.port(),
        }
    }

    /// The name of this daemon on the wire.
    #[must_use]
    pub fn own_name(&self, settings: &Settings) -> DaemonName {
        match self {
            Self::Listed(_) => settings.name.clone(),
            Self::Discovered { own, .. } => DaemonName(own.to_string()),
        }
    }

    /// The slot of this daemon.
    #[must_use]
    pub fn own_slot(&self, settings: &Settings) -> u32 {
        match self {
            Self::Listed(_) => {
                settings
                    .own_member()
                    .expect("the settings were checked")
                    .slot
            }
            Self::Discovered { own, .. } => (*own).into(),
        }
    }

    /// Slots of the members that are asked for admission; on the first start, of the founders.
    #[must_use]
    pub fn slots(&self) -> Vec<u32> {
        match self {
            Self::Listed(members) => members.iter().map(|member| member.slot).collect(),
            Self::Discovered { seeds, .. } => seeds.iter().map(|seed| (*seed).into()).collect(),
        }
    }

    /// Whether this daemon is a founding member when the cluster starts for the first time.
    #[must_use]
    pub fn is_founder(&self) -> bool {
        match self {
            Self::Listed(_) => true,
            Self::Discovered { seeds, own, .. } => seeds.contains(own),
        }
    }

    /// The name of the member with this slot, for logs.
    #[must_use]
    pub fn member_name(&self, slot: u32) -> String {
        match self {
            Self::Listed(members) => {
                let member = members.iter().find(|member| member.slot == slot);
                member.map_or_else(|| format!("slot {slot}"), |it| it.name.to_string())
            }
            Self::Discovered { .. } => Ipv4Addr::from(slot).to_string(),
        }
    }

    /// The address of the member with this slot.
    #[must_use]
    pub fn address(&self, slot: u32) -> Option<SocketAddr> {
        match self {
            Self::Listed(members) => {
                let member = members.iter().find(|member| member.slot == slot);
                member.map(|member| member.address)
            }
            Self::Discovered { port, .. } => Some((Ipv4Addr::from(slot), *port).into()),
        }
    }

    /// Whether a peer of this name is a control daemon.
    #[must_use]
    pub fn is_control(&self, name: &DaemonName) -> bool {
        match self {
            Self::Listed(members) => members.iter().any(|member| member.name == *name),
            Self::Discovered { .. } => name.as_str().parse::<Ipv4Addr>().is_ok(),
        }
    }

    /// Whether a peer of this name is the member with this slot.
    #[must_use]
    pub fn is_member(&self, name: &DaemonName, slot: u32) -> bool {
        match self {
            Self::Listed(members) => members
                .iter()
                .any(|member| member.slot == slot && member.name == *name),
            Self::Discovered { .. } => name.as_str() == Ipv4Addr::from(slot).to_string(),
        }
    }
}

fn ipv4(address: IpAddr) -> Option<Ipv4Addr> {
    match address {
        IpAddr::V4(address) => Some(address),
        IpAddr::V6(_) => None,
    }
}
