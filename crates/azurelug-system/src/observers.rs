//! What tells entry daemons about targets from outside.

use azurelug_testkit::{Platform, Reporter, platform, reporter};

use crate::system::loopback;

/// A load reporter of all engines and the platform's list, which is empty at first.
pub struct Observers {
    /// The reporter.
    pub reporter: Reporter,
    /// The list.
    pub platform: Platform,
}

impl Observers {
    /// Starts both.
    ///
    /// # Panics
    /// If one can't be started.
    pub async fn start() -> Self {
        let reporter = Reporter::start(loopback(), reporter::Settings::default());
        let platform = Platform::start(loopback(), platform::Settings::default());
        Self {
            reporter: reporter.await.expect("start a reporter"),
            platform: platform.await.expect("start the platform's list"),
        }
    }

    /// The keys in an entry daemon's settings.
    pub fn settings(&self) -> String {
        let (reporter, platform) = (self.reporter.address(), self.platform_setting());
        format!("reporters: [\"{reporter}\"]\n{platform}")
    }

    /// The key of the platform's list in any daemon's settings.
    pub fn platform_setting(&self) -> String {
        format!("platform: \"{}\"\n", self.platform.address())
    }
}
