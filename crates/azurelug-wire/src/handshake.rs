//! Mutual authentication of both ends of a connection by the cluster's shared key.
//!
//! The key is never sent. Each side signs the other's random number, so that a recorded handshake
//! can't be replayed. Nothing is encrypted: the private network is trusted for confidentiality.

use azurelug_types::id::{DaemonName, ZoneName};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::Error;
use crate::frame::{Hello, PROTOCOL};

/// The identity of this process, and the key that it shares with its cluster.
#[derive(Clone)]
pub struct Identity {
    /// The cluster's id.
    pub cluster: String,
    /// This daemon's name.
    pub daemon: DaemonName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Random number, chosen at each start.
    pub incarnation: u64,
    /// The shared key.
    pub key: Vec<u8>,
}

impl Identity {
    /// The initiator's identity and proof for the acceptor's challenge.
    pub fn hello(&self, challenge: &[u8; 16], nonce: [u8; 16]) -> Hello {
        let mut hello = Hello {
            protocol: PROTOCOL,
            cluster: self.cluster.clone(),
            sender: self.daemon.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            nonce,
            mac: [0; 32],
        };
        hello.mac = self
            .sign_hello(&hello, challenge)
            .finalize()
            .into_bytes()
            .into();
        hello
    }

    /// Checks an initiator's proof.
    ///
    /// # Errors
    /// `Handshake` names the field that is wrong.
    pub fn check_hello(&self, hello: &Hello, challenge: &[u8; 16]) -> Result<(), Error> {
        let refuse = |message: String| Err(Error::Handshake { message });
        if hello.protocol != PROTOCOL {
            return refuse(format!("protocol {} instead of {PROTOCOL}", hello.protocol));
        }
        if hello.cluster != self.cluster {
            return refuse(format!(
                "cluster '{}' instead of '{}'",
                hello.cluster, self.cluster
            ));
        }
        if self
            .sign_hello(hello, challenge)
            .verify_slice(&hello.mac)
            .is_err()
        {
            return refuse(format!("{} does not know the shared key", hello.sender));
        }
        Ok(())
    }

    /// The acceptor's proof for the initiator's nonce.
    pub fn welcome(&self, nonce: &[u8; 16]) -> [u8; 32] {
        self.sign_welcome(&self.daemon, nonce)
            .finalize()
            .into_bytes()
            .into()
    }

    /// Checks an acceptor's proof.
    ///
    /// # Errors
    /// `Handshake` if the acceptor does not know the key.
    pub fn check_welcome(
        &self,
        sender: &DaemonName,
        nonce: &[u8; 16],
        mac: &[u8; 32],
    ) -> Result<(), Error> {
        let checked = self.sign_welcome(sender, nonce).verify_slice(mac);
        checked.map_err(|_| Error::Handshake {
            message: format!("{sender} does not know the shared key"),
        })
    }

    /// Derives a secret of the cluster for another purpose. All daemons derive the same one, and
    /// clients can't.
    #[must_use]
    pub fn derive_key(&self, purpose: &str) -> [u8; 32] {
        let mut mac = self.mac("derive");
        mac.update(purpose.as_bytes());
        mac.finalize().into_bytes().into()
    }

    fn sign_hello(&self, hello: &Hello, challenge: &[u8; 16]) -> Hmac<Sha256> {
        let mut mac = self.mac("hello");
        mac.update(&hello.protocol.to_be_bytes());
        mac.update(&hello.incarnation.to_be_bytes());
        for text in [&hello.cluster, &hello.sender.0, &hello.zone.0] {
            mac.update(&(text.len() as u64).to_be_bytes());
            mac.update(text.as_bytes());
        }
        mac.update(&hello.nonce);
        mac.update(challenge);
        mac
    }

    fn sign_welcome(&self, sender: &DaemonName, nonce: &[u8; 16]) -> Hmac<Sha256> {
        let mut mac = self.mac("welcome");
        mac.update(sender.0.as_bytes());
        mac.update(nonce);
        mac
    }

    /// Starts a MAC. The purpose distinguishes the proofs and the derived keys, so that none can be
    /// sent back as another.
    fn mac(&self, purpose: &str) -> Hmac<Sha256> {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&self.key)
            .expect("HMAC accepts keys of any length");
        mac.update(purpose.as_bytes());
        mac
    }
}
