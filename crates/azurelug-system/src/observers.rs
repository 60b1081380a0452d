//! External sources of target state for entry daemons.

use azurelug_testkit::{Platform, Reporter, platform, reporter};

use crate::system::loopback;

/// A load reporter for all engines, and the platform's list of VMs, which is empty at first.
pub struct Observers {
    /// The load reporter.
    pub reporter: Reporter,
    /// The platform's list.
    pub platform: Platform,
}

impl Observers {
    /// Starts both.
    ///
    /// # Panics
    /// If either can't be started.
    pub async fn start() -> Self {
        let reporter = Reporter::start(loopback(), reporter::Settings::default());
        let platform = Platform::start(loopback(), platform::Settings::default());
        Self {
            reporter: reporter.await.expect("start a reporter"),
            platform: platform.await.expect("start the platform's list"),
        }
    }

    /// The lines for an entry daemon's settings file.
    pub fn settings(&self) -> String {
        let (reporter, platform) = (self.reporter.address(), self.platform_setting());
        format!("reporters: [\"{reporter}\"]\n{platform}")
    }

    /// The line of the platform's list for any daemon's settings file.
    pub fn platform_setting(&self) -> String {
        format!("platform: \"{}\"\n", self.platform.address())
    }
}
