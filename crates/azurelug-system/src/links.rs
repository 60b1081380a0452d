//! Network links from daemons to control daemons and targets, as proxies that a test can interrupt.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use azurelug_testkit::Proxy;
use azurelug_testkit::proxy::{Link, NewConnections, Rule, Settings};

/// Proxies between zones. Without proxies, daemons connect directly.
#[derive(Default)]
pub struct Links {
    /// Proxies of control daemons, by source zone and destination zone.
    proxies: BTreeMap<(usize, usize), Proxy>,
    /// Proxies of targets with the target's zone, shared by the daemons of all zones.
    targets: Vec<(usize, Proxy)>,
}

impl Links {
    /// Starts a control proxy for each pair of zones, including each zone with itself.
    ///
    /// # Panics
    /// If a proxy can't be started.
    pub async fn start(zones: usize, control: impl Fn(usize) -> SocketAddr) -> Self {
        let mut proxies = BTreeMap::new();
        for from in 0..zones {
            for to in 0..zones {
                proxies.insert((from, to), start_proxy(control(to)).await);
            }
        }
        Self {
            proxies,
            targets: Vec::new(),
        }
    }

    /// Returns the address at which daemons reach a target of `zone`: a new proxy's address if the
    /// system has links, the target's own address otherwise.
    ///
    /// # Panics
    /// If the proxy can't be started.
    pub async fn add_target(&mut self, zone: usize, target: SocketAddr) -> SocketAddr {
        if self.proxies.is_empty() {
            return target;
        }
        let proxy = start_proxy(target).await;
        let address = proxy.address();
        self.targets.push((zone, proxy));
        address
    }

    /// The proxy address through which a daemon in zone `from` reaches the control daemon of zone
    /// `to`; none if it connects directly.
    pub fn address(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.proxies.get(&(from, to)).map(Proxy::address)
    }

    /// Partitions `zone` from all other zones: drops all bytes in both directions, on open and on
    /// new connections.
    pub fn isolate(&self, zone: usize) {
        self.set_links(
            |from, to| from != to && (from == zone || to == zone),
            &drop_all(NewConnections::Follow),
        );
    }

    /// Drops all traffic to the targets outside `zone`, as a daemon of `zone` sees a partition. The
    /// other zones' daemons lose these targets too, so a test must send its calls through `zone`
    /// only.
    pub fn isolate_from_targets(&self, zone: usize) {
        for (_, proxy) in self.targets.iter().filter(|(of, _)| *of != zone) {
            proxy.set_link(drop_all(NewConnections::Follow));
        }
    }

    /// Drops the bytes that control daemons send to `zone` (`is_to_zone`), or those that `zone`
    /// sends to them, on all connections.
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
        self.set_links(|from, _| from == zone, &link);
    }

    /// Drops all bytes on the open connections from `zone`; new connections work.
    pub fn silence_open_connections(&self, zone: usize) {
        self.set_links(|from, _| from == zone, &drop_all(NewConnections::Pass));
    }

    /// Restores all links for new connections. Connections that were silenced stay silent.
    pub fn heal(&self) {
        self.set_links(|_, _| true, &Link::default());
        for (_, proxy) in &self.targets {
            proxy.set_link(Link::default());
        }
    }

    fn set_links(&self, is_selected: impl Fn(usize, usize) -> bool, link: &Link) {
        for ((from, to), proxy) in &self.proxies {
            if is_selected(*from, *to) {
                proxy.set_link(link.clone());
            }
        }
    }
}

async fn start_proxy(target: SocketAddr) -> Proxy {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let settings = Settings {
        target,
        control_address: any,
        link: Link::default(),
    };
    Proxy::start(any, settings).await.expect("start a proxy")
}

fn drop_all(new_connections: NewConnections) -> Link {
    Link {
        forward: Rule::Drop,
        backward: Rule::Drop,
        new_connections,
        ..Link::default()
    }
}
