//! Virtual and real addresses of the mesh.

use std::{
    collections::HashMap,
    net::{AddrParseError, IpAddr},
    str::FromStr,
};

/// An instance, written `VIRTUAL_IP=REAL_IP@ZONE`.
#[derives::record]
#[derive(Eq)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Address that the instance advertises and the proxy listens on.
    pub virtual_ip: IpAddr,
    /// Address that the instance listens on and sends from.
    pub real_ip: IpAddr,
    /// Availability zone.
    pub zone: String,
}

/// A host that is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseHostError {
    /// A separator is missing.
    #[error("{text:?}: expected VIRTUAL_IP=REAL_IP@ZONE")]
    Form {
        /// The text as it was given.
        text: String,
    },
    /// An address is none.
    #[error("{text:?}: {source}")]
    Address {
        /// The text as it was given.
        text: String,
        /// Why.
        source: AddrParseError,
    },
}

impl FromStr for Host {
    type Err = ParseHostError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ParseHostError::Form {
            text: text.to_owned(),
        };
        let (virtual_ip, rest) = text.split_once('=').ok_or_else(malformed)?;
        let (real_ip, zone) = rest.split_once('@').ok_or_else(malformed)?;
        Ok(Self {
            virtual_ip: parse_ip(virtual_ip)?,
            real_ip: parse_ip(real_ip)?,
            zone: zone.to_owned(),
        })
    }
}

fn parse_ip(text: &str) -> Result<IpAddr, ParseHostError> {
    text.parse().map_err(|source| ParseHostError::Address {
        text: text.to_owned(),
        source,
    })
}

/// All hosts.
#[derives::value]
#[derive(Default)]
pub struct Hosts {
    hosts: Vec<Host>,
    by_real_ip: HashMap<IpAddr, usize>,
}

impl Hosts {
    /// Hosts in any order.
    #[must_use]
    pub fn new(hosts: Vec<Host>) -> Self {
        let by_real_ip = hosts
            .iter()
            .enumerate()
            .map(|(index, host)| (host.real_ip, index));
        Self {
            by_real_ip: by_real_ip.collect(),
            hosts,
        }
    }

    /// All of them.
    #[must_use]
    pub fn all(&self) -> &[Host] {
        &self.hosts
    }

    /// The host that sends from this address.
    #[must_use]
    pub fn by_real_ip(&self, real_ip: IpAddr) -> Option<&Host> {
        self.by_real_ip
            .get(&real_ip)
            .and_then(|index| self.hosts.get(*index))
    }

    /// The sender with this address; one that is none of the hosts, such as a
    /// caller, stands in the zone "".
    #[must_use]
    pub fn sender(&self, real_ip: IpAddr) -> Host {
        self.by_real_ip(real_ip).cloned().unwrap_or(Host {
            virtual_ip: real_ip,
            real_ip,
            zone: String::new(),
        })
    }
}
