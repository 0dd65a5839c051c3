//! Faults by direction.

use {super::Host, std::net::IpAddr};

/// What becomes of TCP connections and datagrams whose way is cut.
#[derives::key]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutMode {
    /// Connections are reset, new ones too; datagrams vanish.
    Reset,
    /// Nothing arrives and nothing is said; connections are reset once the
    /// cut is lifted, since bytes of theirs are lost. Datagrams vanish.
    BlackHole,
}

/// A fault on the way from some hosts to others, one way.
///
/// What is left out matches every host. An address may be the virtual or the
/// real one.
#[derives::record]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// Zone of the sender; "" stands for senders that are no hosts.
    pub from_zone: Option<String>,
    /// Address of the sender.
    pub from_ip: Option<IpAddr>,
    /// Zone of the receiver.
    pub to_zone: Option<String>,
    /// Address of the receiver.
    pub to_ip: Option<IpAddr>,
    /// Only this port of the side that listens.
    pub port: Option<u16>,
    /// The way is cut.
    pub cut: Option<CutMode>,
    /// Everything arrives later by this.
    pub delay_ms: u64,
    /// Share of datagrams that vanish.
    pub drop_ratio: f64,
    /// Everything is held until the rule is lifted, then arrives.
    pub freeze: bool,
    /// Share of datagrams that arrive twice.
    pub duplicate_ratio: f64,
}

impl Rule {
    fn matches(&self, from: &Host, to: &Host, port: u16) -> bool {
        zone_matches(self.from_zone.as_ref(), from)
            && zone_matches(self.to_zone.as_ref(), to)
            && ip_matches(self.from_ip, from)
            && ip_matches(self.to_ip, to)
            && self.port.is_none_or(|own_port| own_port == port)
    }
}

fn zone_matches(zone: Option<&String>, host: &Host) -> bool {
    zone.is_none_or(|zone| *zone == host.zone)
}

fn ip_matches(ip: Option<IpAddr>, host: &Host) -> bool {
    ip.is_none_or(|ip| ip == host.real_ip || ip == host.virtual_ip)
}

/// Sum of all rules on one way.
#[derives::value]
#[derive(Copy, Default)]
pub struct Effect {
    /// The way is cut; black hole outweighs reset.
    pub cut: Option<CutMode>,
    /// Sum of the delays.
    pub delay_ms: u64,
    /// Largest share.
    pub drop_ratio: f64,
    /// Whether any rule freezes.
    pub freeze: bool,
    /// Largest share.
    pub duplicate_ratio: f64,
}

impl Effect {
    /// Whether nothing gets through for now.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.freeze || self.cut.is_some()
    }

    fn with_rule(mut self, rule: &Rule) -> Self {
        self.cut = self.cut.max(rule.cut);
        self.delay_ms += rule.delay_ms;
        self.drop_ratio = self.drop_ratio.max(rule.drop_ratio);
        self.freeze |= rule.freeze;
        self.duplicate_ratio = self.duplicate_ratio.max(rule.duplicate_ratio);
        self
    }
}

/// Rules in force.
#[derives::record]
#[derive(Default)]
#[serde(transparent)]
pub struct Rules(pub Vec<Rule>);

impl Rules {
    /// What happens on the way from one host to another. `port` is that of the
    /// side that listens.
    #[must_use]
    pub fn effect(&self, from: &Host, to: &Host, port: u16) -> Effect {
        let rules = self.0.iter().filter(|rule| rule.matches(from, to, port));
        rules.fold(Effect::default(), Effect::with_rule)
    }
}
