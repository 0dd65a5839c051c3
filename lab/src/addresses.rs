//! Blocks of loopback addresses, one for each mesh.

use {
    crate::LabError,
    rand::Rng,
    std::net::{IpAddr, Ipv4Addr, TcpListener},
};

const FIRST_REAL_OCTET: u8 = 40;
const LAST_REAL_OCTET: u8 = 103;
const VIRTUAL_OFFSET: u8 = 64;
const CLAIM_HOST: u8 = 254;
const CLAIM_PORT: u16 = 6999;
const TRY_COUNT: usize = 1000;

/// Two times 253 addresses that no other mesh on this machine uses.
///
/// Real ones are 127.X.Y.N, virtual ones 127.(X+64).Y.N. The claim is a
/// listening socket, so it ends with the process that holds it.
#[derive(Debug)]
pub struct AddressBlock {
    octets: [u8; 2],
    _claim: TcpListener,
}

impl AddressBlock {
    /// Claims a free block.
    pub fn claim() -> Result<Self, LabError> {
        let mut rng = rand::rng();
        for _ in 0..TRY_COUNT {
            let octets = [
                rng.random_range(FIRST_REAL_OCTET..=LAST_REAL_OCTET),
                rng.random(),
            ];
            let address = Ipv4Addr::new(127, octets[0], octets[1], CLAIM_HOST);
            if let Ok(claim) = TcpListener::bind((address, CLAIM_PORT)) {
                return Ok(Self {
                    octets,
                    _claim: claim,
                });
            }
        }
        Err(LabError::NoFreeBlock)
    }

    /// Address on which instance `host` listens.
    #[must_use]
    pub fn real_ip(&self, host: u8) -> IpAddr {
        Ipv4Addr::new(127, self.octets[0], self.octets[1], host).into()
    }

    /// Address at which the fault proxy stands for instance `host`.
    #[must_use]
    pub fn virtual_ip(&self, host: u8) -> IpAddr {
        let first = self.octets[0] + VIRTUAL_OFFSET;
        Ipv4Addr::new(127, first, self.octets[1], host).into()
    }

    /// Name for files that belong to the block.
    #[must_use]
    pub fn name(&self) -> String {
        format!("{}-{}", self.octets[0], self.octets[1])
    }
}
