//! A small fleet of real daemons with stand-ins around it.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use egret_client::{Client, Query};
use egret_conf::{Config, Head, HostList};
use egret_node::HttpClient;
use egret_standin::{Behaviour, Execution, Platform, Target, publish_config, publish_hosts};
use egret_wire::{HeldSnapshot, METRICS_PATH, READY_PATH};
use nix::sys::signal::Signal;
use tokio::{
    runtime::Handle,
    sync::{Semaphore, SemaphorePermit},
    time::{Instant, sleep},
};

use crate::{
    Daemon, Declared, Passing, Role, Shape, SnapshotPlan, Usage,
    links::Links,
    network::{DATA_CENTRES, Network, data_centre_of},
};

const READY_WITHIN: Duration = Duration::from_secs(30);

/// Fleets at a time; each is a dozen processes.
static FLEETS: Semaphore = Semaphore::const_new(2);

#[derive(Debug)]
struct Published {
    config: Config,
    head: Head,
    hosts: HostList,
}

/// A running fleet; dropping it kills every process.
#[derive(Debug)]
pub struct Fleet {
    /// What the declarations say.
    pub declared: Mutex<Declared>,
    /// The stand-in platform.
    pub platform: Platform,
    /// The stand-in targets by service.
    pub targets: Vec<Vec<Target>>,
    network: Network,
    links: Option<Links>,
    shape: Shape,
    /// Where each agent finds the platform.
    platform_of: Vec<SocketAddr>,
    daemons: Mutex<Vec<[Option<Daemon>; 3]>>,
    published: Mutex<Published>,
    http: HttpClient,
    _permit: SemaphorePermit<'static>,
}

impl Fleet {
    /// Starts a fleet and waits until it serves.
    ///
    /// # Panics
    /// Panics where it does not serve in time.
    pub async fn start(shape: Shape) -> Self {
        let fleet = Self::prepare(shape, |platform| platform).await;
        fleet.start_daemons();
        fleet.wait_ready().await;
        fleet
    }

    /// Prepares a fleet without starting its daemons; `platform_of` may put a
    /// forwarder before the platform.
    ///
    /// # Panics
    /// Panics where an address cannot be listened on.
    pub async fn prepare(shape: Shape, platform_of: impl Fn(SocketAddr) -> SocketAddr) -> Self {
        let permit = FLEETS.acquire().await.expect("the semaphore is never closed");
        let network = Network::draw();
        let traffic = Handle::current();
        let platform =
            Platform::bind(&traffic, network.platform()).await.expect("the test's addresses are free");
        let mut targets = Vec::new();
        for service in 0..shape.services {
            let mut replicas = Vec::new();
            for replica in 0..shape.replicas {
                let address = network.target(service * shape.replicas + replica);
                let near = (0..shape.hosts).filter(|host| data_centre_of(*host) == data_centre_of(replica));
                let near = near.map(|host| network.host(host)).collect();
                let behaviour = Behaviour { near, ..shape.behaviour.clone() };
                let target = Target::bind(&traffic, address, behaviour).await;
                replicas.push(target.expect("the test's addresses are free"));
            }
            targets.push(replicas);
        }
        let first = SnapshotPlan { id: 1, turn: 0, shards: shape.shards };
        let addresses =
            targets.iter().map(|replicas| replicas.iter().map(Target::address).collect()).collect();
        let more_connections = vec![0; shape.services];
        let declared =
            Declared { shape: shape.clone(), targets: addresses, snapshots: vec![first], more_connections };
        let hosts = network.host_list(shape.hosts, shape.linked);
        let links = if shape.linked { Some(Links::open(network, shape.hosts).await) } else { None };
        publish_hosts(&platform, &hosts);
        let config = declared.config(1);
        let head = publish_config(&platform, &config, None);
        let daemons = (0..shape.hosts).map(|_| [None, None, None]).collect();
        Self {
            declared: Mutex::new(declared),
            platform_of: vec![platform_of(platform.address()); shape.hosts],
            platform,
            targets,
            network,
            links,
            shape,
            daemons: Mutex::new(daemons),
            published: Mutex::new(Published { config, head, hosts }),
            http: HttpClient::open(4),
            _permit: permit,
        }
    }

    /// Puts another address of the platform before one host's agent, before it starts.
    pub fn route_platform(&mut self, host: usize, address: SocketAddr) {
        self.platform_of[host] = address;
    }

    /// Returns a free address of the fleet's network, for a forwarder.
    #[must_use]
    pub fn spare_address(&self, number: u16) -> SocketAddr {
        self.network.spare(number)
    }

    /// Starts every daemon.
    pub fn start_daemons(&self) {
        for host in 0..self.shape.hosts {
            for role in [Role::Agent, Role::Relay, Role::Entry] {
                self.start_daemon(host, role);
            }
        }
    }

    /// Starts one daemon, in place of one that ended.
    pub fn start_daemon(&self, host: usize, role: Role) {
        let name = format!("host-{host}");
        let agent = self.address(host, Role::Agent).to_string();
        let listen = self.address(host, role).to_string();
        let flags: Vec<String> = match role {
            Role::Agent => {
                let data_centre = DATA_CENTRES[data_centre_of(host)].to_owned();
                let peers: Vec<String> = (0..self.shape.hosts)
                    .filter(|peer| *peer != host)
                    .map(|peer| self.network.listed(peer, role, self.shape.linked).to_string())
                    .collect();
                let platform = self.platform_of[host].to_string();
                ["--host", &name, "--data-centre", &data_centre, "--listen", &listen, "--platform", &platform]
                    .into_iter()
                    .map(ToOwned::to_owned)
                    .chain(["--peers".to_owned(), peers.join(",")])
                    .collect()
            }
            Role::Relay => {
                let mut flags = own(&["--host", &name, "--listen", &listen, "--agent", &agent]);
                flags.extend(own(&["--notice-ms", "500", "--bench-baseline", self.shape.baseline]));
                flags
            }
            Role::Entry => {
                let internal = self.network.listed(host, role, self.shape.linked).to_string();
                let internal_listen = self.internal_address(host).to_string();
                let mut flags = own(&["--host", &name, "--listen", &listen, "--agent", &agent]);
                flags.extend(own(&["--internal", &internal, "--internal-listen", &internal_listen]));
                flags.extend(own(&["--notice-ms", "500"]));
                if self.shape.baseline == "direct" {
                    let relay = self.address(host, Role::Relay).to_string();
                    flags.extend(own(&["--bench-relay", &relay]));
                }
                flags.extend(self.shape.entry_flags.iter().cloned());
                flags
            }
        };
        let binary = match role {
            Role::Agent => "egret-agent",
            Role::Relay => "egret-relay",
            Role::Entry => "egret-entry",
        };
        self.daemons.lock().unwrap_or_else(PoisonError::into_inner)[host][index(role)] =
            Some(Daemon::start(binary, &flags));
    }

    /// Cuts the hosts of one side off from all others; the fleet must be linked.
    ///
    /// # Panics
    /// Panics where it is not.
    pub fn part(&self, side: &[usize], passing: Passing) {
        self.links.as_ref().expect("the fleet is linked").part(side, passing);
    }

    /// Delays messages between hosts of different data centres, each way; the fleet must be linked.
    ///
    /// # Panics
    /// Panics where it is not.
    pub fn delay_between_data_centres(&self, one_way: Duration) {
        self.links.as_ref().expect("the fleet is linked").delay_between_data_centres(one_way);
    }

    /// Ends every cut and delay between hosts.
    pub fn heal(&self) {
        self.links.iter().for_each(Links::heal);
    }

    /// Returns the addresses that the connections of some hosts leave from.
    #[must_use]
    pub fn sources(&self, hosts: &[usize]) -> Vec<std::net::IpAddr> {
        hosts.iter().map(|host| self.network.host(*host)).collect()
    }

    /// Sends a signal to one daemon.
    pub fn signal(&self, host: usize, role: Role, signal: Signal) {
        let daemons = self.daemons.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(daemon) = &daemons[host][index(role)] {
            daemon.signal(signal);
        }
    }

    /// Returns a daemon's exit code, where it ended by itself.
    #[must_use]
    pub fn exit_code(&self, host: usize, role: Role) -> Option<i32> {
        let mut daemons = self.daemons.lock().unwrap_or_else(PoisonError::into_inner);
        daemons[host][index(role)].as_mut()?.exit_code()
    }

    /// Waits until every daemon reports ready and every relay knows its targets.
    ///
    /// # Panics
    /// Panics where that does not happen in time.
    pub async fn wait_ready(&self) {
        for host in 0..self.shape.hosts {
            for role in [Role::Agent, Role::Relay, Role::Entry] {
                self.wait_daemon_ready(host, role).await;
            }
        }
        let deadline = Instant::now() + READY_WITHIN;
        loop {
            let answer = self.client().query_once(&self.lookup(0).budget(Duration::from_secs(2))).await;
            if answer.is_ok_and(|answer| answer.missing.is_empty()) {
                return;
            }
            assert!(Instant::now() < deadline, "the fleet does not answer in full");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Waits until one daemon reports ready.
    ///
    /// # Panics
    /// Panics where that does not happen in time.
    pub async fn wait_daemon_ready(&self, host: usize, role: Role) {
        let deadline = Instant::now() + READY_WITHIN;
        while !self.is_ready(host, role).await {
            assert!(Instant::now() < deadline, "{role:?} of host {host} is not ready");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Tells whether one daemon reports ready.
    pub async fn is_ready(&self, host: usize, role: Role) -> bool {
        let answer = self.http.get(self.address(host, role), READY_PATH, Duration::from_secs(1)).await;
        answer.is_ok_and(|exchange| exchange.status == 200)
    }

    /// Reads one metric of a daemon, summed over its labels.
    pub async fn metric(&self, host: usize, role: Role, name: &str) -> f64 {
        let address =
            if role == Role::Entry { self.internal_address(host) } else { self.address(host, role) };
        let Ok(exchange) = self.http.get(address, METRICS_PATH, Duration::from_secs(2)).await else {
            return 0.0;
        };
        let text = String::from_utf8_lossy(&exchange.body).into_owned();
        let value = |line: &str| line.rsplit(' ').next().and_then(|value| value.parse::<f64>().ok());
        text.lines().filter(|line| line.starts_with(name)).filter_map(value).sum()
    }

    /// Returns the processor time and memory of one daemon.
    #[must_use]
    pub fn usage(&self, host: usize, role: Role) -> Usage {
        let daemons = self.daemons.lock().unwrap_or_else(PoisonError::into_inner);
        daemons[host][index(role)].as_ref().map(Daemon::usage).unwrap_or_default()
    }

    /// Returns a client of all entries.
    #[must_use]
    pub fn client(&self) -> Client {
        Client::open((0..self.shape.hosts).map(|host| self.address(host, Role::Entry)))
    }

    /// Returns a client of one entry.
    #[must_use]
    pub fn client_of(&self, host: usize) -> Client {
        Client::open([self.address(host, Role::Entry)])
    }

    /// Makes a field lookup whose expected answer depends on its number.
    ///
    /// # Panics
    /// Never: the query is valid.
    #[must_use]
    pub fn lookup(&self, number: u64) -> Query {
        Query::group("desk", "lookup", &body(number)).expect("the query is valid")
    }

    /// Changes the declarations and publishes them as the next version.
    pub fn publish(&self, change: impl FnOnce(&mut Declared)) -> u64 {
        let mut declared = self.declared.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut declared);
        let mut published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
        let version = published.config.version().0 + 1;
        let config = declared.config(version);
        let head = publish_config(&self.platform, &config, Some((&published.config, &published.head)));
        (published.config, published.head) = (config, head);
        version
    }

    /// Publishes a change of one service.
    pub fn publish_one(&self, service: usize) -> u64 {
        self.publish(|declared| declared.more_connections[service] += 1)
    }

    /// Changes the host list and publishes it.
    pub fn publish_hosts(&self, change: impl FnOnce(&mut HostList)) {
        let mut published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut published.hosts);
        published.hosts.revision += 1;
        published.hosts.sort();
        publish_hosts(&self.platform, &published.hosts);
    }

    /// Lets one target hold the given snapshots.
    pub fn hold(&self, service: usize, replica: usize, snapshots: &[u64]) {
        let target = &self.targets[service][replica];
        let mut behaviour = target.behaviour();
        let held = |&id: &u64| HeldSnapshot {
            snapshot: egret_model::SnapshotId(id),
            placement: egret_model::PlacementId(id),
        };
        behaviour.snapshots = snapshots.iter().map(held).collect();
        target.set(behaviour);
    }

    /// Returns everything that all targets executed.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.targets.iter().flatten().flat_map(Target::executions).collect()
    }

    /// Returns the size of the fleet.
    #[must_use]
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// Returns where a daemon listens.
    #[must_use]
    pub fn address(&self, host: usize, role: Role) -> SocketAddr {
        self.network.daemon(host, role)
    }

    /// Returns where an entry listens for other processes.
    #[must_use]
    pub fn internal_address(&self, host: usize) -> SocketAddr {
        self.network.internal(host)
    }
}

fn index(role: Role) -> usize {
    match role {
        Role::Agent => 0,
        Role::Relay => 1,
        Role::Entry => 2,
    }
}

fn own(flags: &[&str]) -> Vec<String> {
    flags.iter().map(|&flag| flag.to_owned()).collect()
}

/// Makes the body of a numbered lookup.
#[must_use]
pub fn body(number: u64) -> String {
    let depth = 300 + number * 37 % 3000;
    format!(r#"{{"min_depth_m":{depth},"limit":1000,"number":{number}}}"#)
}
