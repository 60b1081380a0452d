//! Sends the version in force to entry daemons.
//!
//! A daemon that is a few versions behind gets the steps; any other gets the whole configuration.
//! The encoded configuration is cached for all daemons, because after a restart all of them request
//! it at the same time.

use std::sync::{Arc, Mutex};

use azurelug_types::id::Version;
use azurelug_wire::frame::PART_LIMIT;
use azurelug_wire::{Frame, codec};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;

use crate::replica::Replica;

type EncodedConfig = (Version, Arc<[u8]>);

/// The source of versions. Clones share it.
#[derive(Clone)]
pub struct Updates {
    replica: Replica,
    cached_config: Arc<Mutex<Option<EncodedConfig>>>,
}

impl Updates {
    /// A source that reads the state of `replica`.
    pub fn new(replica: Replica) -> Self {
        Self {
            replica,
            cached_config: Arc::new(Mutex::new(None)),
        }
    }

    /// Sends the steps from version `known` to the version in force, or the whole configuration,
    /// and sets `known` to the version in force.
    ///
    /// # Errors
    /// The receiver was dropped.
    pub async fn send_after(
        &self,
        known: &mut Version,
        sender: &mpsc::Sender<Frame>,
    ) -> Result<(), SendError<Frame>> {
        if let Some((version, steps)) = self.steps_after(*known) {
            for step in steps {
                sender.send(Frame::ConfigurationStep { step }).await?;
            }
            *known = version;
            return Ok(());
        }
        let (version, encoded) = self.whole_config();
        let total = encoded.len() as u64;
        for part in encoded.chunks(PART_LIMIT) {
            let bytes = part.to_vec();
            sender
                .send(Frame::ConfigurationPart { total, bytes })
                .await?;
        }
        *known = version;
        Ok(())
    }

    /// The encoded steps after `known` and the version that results from them; none if the whole
    /// configuration is to be sent. A daemon without a configuration always gets the whole one,
    /// which is shorter than all steps.
    fn steps_after(&self, known: Version) -> Option<(Version, Vec<Vec<u8>>)> {
        if known == Version(0) {
            return None;
        }
        let (version, steps) = {
            let machine = self.replica.machine();
            let store = machine.store();
            (store.config().version, store.steps_after(known)?)
        };
        let encode = |step| codec::encode(step).ok();
        let steps = steps.iter().map(encode).collect::<Option<Vec<_>>>()?;
        Some((version, steps))
    }

    /// The whole configuration, encoded only once for each version.
    fn whole_config(&self) -> EncodedConfig {
        let config = self.replica.config();
        let mut cached = self
            .cached_config
            .lock()
            .expect("no holder of the lock panics");
        match &*cached {
            Some((version, encoded)) if *version == config.version => {
                (*version, Arc::clone(encoded))
            }
            _ => {
                let bytes = codec::encode_unlimited(&*config);
                let encoded: Arc<[u8]> = bytes.expect("a configuration is plain data").into();
                *cached = Some((config.version, Arc::clone(&encoded)));
                (config.version, encoded)
            }
        }
    }
}
