//! The links from daemons to control daemons and to targets, as proxies that a test can cut.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use azurelug_testkit::Proxy;
use azurelug_testkit::proxy::{Link, NewConnections, Rule, Settings};

/// Proxies by the zones that they join. Without proxies, daemons connect directly.
#[derive(Default)]
pub struct Links {
    /// By the zone they lead from and the zone they lead to.
    proxies: BTreeMap<(usize, usize), Proxy>,
    /// Before targets, by the target's zone. Daemons of all zones share them.
    targets: Vec<(usize, Proxy)>,
}

impl Links {
    /// Starts a proxy for each pair of `zones`, also from each zone to itself.
    ///
    /// # Panics
    /// If a proxy can't be started.
    pub async fn start(zones: usize, control: impl Fn(usize) -> SocketAddr) -> Self {
        let mut proxies = BTreeMap::new();
        for from in 0..zones {
            for to in 0..zones {
                proxies.insert((from, to), proxy(control(to)).await);
            }
        }
        Self {
            proxies,
            targets: Vec::new(),
        }
    }

    /// The address at which daemons find a target of `zone`: a proxy if there are links.
    ///
    /// # Panics
    /// If the proxy can't be started.
    pub async fn add_target(&mut self, zone: usize, target: SocketAddr) -> SocketAddr {
        if self.proxies.is_empty() {
            return target;
        }
        let proxy = proxy(target).await;
        let address = proxy.address();
        self.targets.push((zone, proxy));
        address
    }

    /// The address at which a daemon in zone `from` finds the control daemon of zone `to`; none if
    /// it connects directly.
    pub fn address(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.proxies.get(&(from, to)).map(Proxy::address)
    }

    /// Cuts the links between `zone` and all others in both directions. Connections go silent, and
    /// new ones are silent from the start.
    pub fn isolate(&self, zone: usize) {
        self.set(
            |from, to| from != to && (from == zone || to == zone),
            &silent(NewConnections::Follow),
        );
    }

    /// Cuts the links to the targets of all zones but `zone`, as a daemon of `zone` sees a partition.
    /// The other zones' daemons lose these targets too, so that a test must call through `zone` only.
    pub fn isolate_from_targets(&self, zone: usize) {
        for (_, proxy) in self.targets.iter().filter(|(of, _)| *of != zone) {
            proxy.set_link(silent(NewConnections::Follow));
        }
    }

    /// Swallows what control daemons send to `zone`, or what `zone` sends to them, on all connections.
    pub fn cut_one_way(&self, zone: usize, is_to_zone: bool) {
        let (forward, backward) = match is_to_zone {
            true => (Rule::Pass, Rule::Drop),
            false => (Rule::Drop, Rule::Pass),
        };
        let link = Link {
            forward,
            backward,
            ..Link::default()
        };
        self.set(|from, _| from == zone, &link);
    }

    /// Makes all connections from `zone` go silent, while new ones work.
    pub fn silence(&self, zone: usize) {
        self.set(|from, _| from == zone, &silent(NewConnections::Pass));
    }

    /// Lets new connections pass on all links. Connections that went silent stay silent.
    pub fn heal(&self) {
        self.set(|_, _| true, &Link::default());
        for (_, proxy) in &self.targets {
            proxy.set_link(Link::default());
        }
    }

    fn set(&self, is_meant: impl Fn(usize, usize) -> bool, link: &Link) {
        for ((from, to), proxy) in &self.proxies {
            if is_meant(*from, *to) {
                proxy.set_link(link.clone());
            }
        }
    }
}

async fn proxy(target: SocketAddr) -> Proxy {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = Settings {
        target,
        control: any,
        link: Link::default(),
    };
    Proxy::start(any, settings).await.expect("start a proxy")
}

fn silent(new_connections: NewConnections) -> Link {
    Link {
        forward: Rule::Drop,
        backward: Rule::Drop,
        new_connections,
        ..Link::default()
    }
}
