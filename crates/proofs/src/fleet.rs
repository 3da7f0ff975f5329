//! A small fleet of daemon processes, with stand-ins for targets and platform in the test process.

use std::{
    collections::BTreeMap,
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
    Daemon, FleetDeclarations, FleetSpec, LinkMode, ResourceUsage, Role, SnapshotPlan,
    address_plan::{AddressPlan, DATA_CENTRES, data_centre_of},
    host_links::HostLinks,
};

const READY_WITHIN: Duration = Duration::from_secs(30);

/// Limits the fleets of one test process at a time; each fleet is a dozen processes.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(2);

#[derive(Debug)]
struct Published {
    config: Config,
    head: Head,
    hosts: HostList,
}

/// A running fleet; dropping it kills every process.
#[derive(Debug)]
pub struct Fleet {
    /// The values from which the declarations are generated.
    pub declared: Mutex<FleetDeclarations>,
    /// The stand-in platform.
    pub platform: Platform,
    /// The stand-in targets, by service and replica.
    pub targets: Vec<Vec<Target>>,
    address_plan: AddressPlan,
    links: Option<HostLinks>,
    spec: FleetSpec,
    /// The address at which each host's agent reaches the platform.
    platform_of: Vec<SocketAddr>,
    daemons: Mutex<Vec<[Option<Daemon>; 3]>>,
    published: Mutex<Published>,
    http: HttpClient,
    _permit: SemaphorePermit<'static>,
}

impl Fleet {
    /// Starts a fleet and waits until it answers queries with full coverage.
    ///
    /// # Panics
    /// Panics if it does not within `READY_WITHIN`.
    pub async fn start(spec: FleetSpec) -> Self {
        let fleet = Self::prepare(spec, |platform| platform).await;
        fleet.start_daemons();
        fleet.wait_ready().await;
        fleet
    }

    /// Prepares a fleet without starting its daemons.
    ///
    /// `platform_of` maps the platform's address to the one that agents use, for example that
    /// of a forwarder.
    ///
    /// # Panics
    /// Panics if an address of the fleet is in use.
    pub async fn prepare(spec: FleetSpec, platform_of: impl Fn(SocketAddr) -> SocketAddr) -> Self {
        let permit = FLEET_PERMITS.acquire().await.expect("the semaphore is never closed");
        let address_plan = AddressPlan::allocate();
        let traffic = Handle::current();
        let platform = Platform::bind(&traffic, address_plan.platform())
            .await
            .expect("the addresses of the test are free");
        let mut targets = Vec::new();
        for service in 0..spec.services {
            let mut replicas = Vec::new();
            for replica in 0..spec.replicas {
                let address = address_plan.target(service * spec.replicas + replica);
                let near = (0..spec.hosts).filter(|host| data_centre_of(*host) == data_centre_of(replica));
                let near = near.map(|host| address_plan.host(host)).collect();
                let behaviour = Behaviour { near, ..spec.behaviour.clone() };
                let target = Target::bind(&traffic, address, behaviour).await;
                replicas.push(target.expect("the addresses of the test are free"));
            }
            targets.push(replicas);
        }
        let first = SnapshotPlan { id: 1, rotation: 0, shards: spec.shards };
        let addresses =
            targets.iter().map(|replicas| replicas.iter().map(Target::address).collect()).collect();
        let extra_connections = vec![0; spec.services];
        let declared = FleetDeclarations {
            spec: spec.clone(),
            targets: addresses,
            snapshots: vec![first],
            extra_connections,
        };
        let hosts = address_plan.host_list(spec.hosts, spec.has_forwarders);
        let links =
            if spec.has_forwarders { Some(HostLinks::open(address_plan, spec.hosts).await) } else { None };
        publish_hosts(&platform, &hosts);
        let config = declared.config(1);
        let head = publish_config(&platform, &config, None);
        let daemons = (0..spec.hosts).map(|_| [None, None, None]).collect();
        Self {
            declared: Mutex::new(declared),
            platform_of: vec![platform_of(platform.address()); spec.hosts],
            platform,
            targets,
            address_plan,
            links,
            spec,
            daemons: Mutex::new(daemons),
            published: Mutex::new(Published { config, head, hosts }),
            http: HttpClient::open(4),
            _permit: permit,
        }
    }

    /// Sets the address at which one host's agent reaches the platform, from its next start.
    pub fn set_platform_address(&mut self, host: usize, address: SocketAddr) {
        self.platform_of[host] = address;
    }

    /// Returns an address of the fleet that no daemon uses, for a forwarder.
    #[must_use]
    pub fn spare_address(&self, number: u16) -> SocketAddr {
        self.address_plan.spare(number)
    }

    /// Starts every daemon.
    pub fn start_daemons(&self) {
        for host in 0..self.spec.hosts {
            for role in [Role::Agent, Role::Relay, Role::Entry] {
                self.start_daemon(host, role);
            }
        }
    }

    /// Starts one daemon; kills the one that it replaces, if that still runs.
    pub fn start_daemon(&self, host: usize, role: Role) {
        let name = format!("host-{host}");
        let agent = self.address(host, Role::Agent).to_string();
        let listen = self.address(host, role).to_string();
        let flags: Vec<String> = match role {
            Role::Agent => {
                let data_centre = DATA_CENTRES[data_centre_of(host)].to_owned();
                let peers: Vec<String> = (0..self.spec.hosts)
                    .filter(|peer| *peer != host)
                    .map(|peer| {
                        self.address_plan.advertised(peer, role, self.spec.has_forwarders).to_string()
                    })
                    .collect();
                let platform = self.platform_of[host].to_string();
                ["--host", &name, "--data-centre", &data_centre, "--listen", &listen, "--platform", &platform]
                    .into_iter()
                    .map(ToOwned::to_owned)
                    .chain(["--peers".to_owned(), peers.join(",")])
                    .collect()
            }
            Role::Relay => {
                let mut flags = owned_flags(&["--host", &name, "--listen", &listen, "--agent", &agent]);
                flags.extend(owned_flags(&["--notice-ms", "500", "--bench-baseline", self.spec.baseline]));
                flags
            }
            Role::Entry => {
                let internal = self.address_plan.advertised(host, role, self.spec.has_forwarders).to_string();
                let internal_listen = self.internal_address(host).to_string();
                let mut flags = owned_flags(&["--host", &name, "--listen", &listen, "--agent", &agent]);
                flags.extend(owned_flags(&["--internal", &internal, "--internal-listen", &internal_listen]));
                flags.extend(owned_flags(&["--notice-ms", "500"]));
                if self.spec.baseline == "direct" {
                    let relay = self.address(host, Role::Relay).to_string();
                    flags.extend(owned_flags(&["--bench-relay", &relay]));
                }
                flags.extend(self.spec.entry_flags.iter().cloned());
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

    /// Sets the mode of the connections between the hosts of one side and all other hosts.
    ///
    /// # Panics
    /// Panics if the fleet has no forwarders.
    pub fn partition(&self, side: &[usize], mode: LinkMode) {
        self.links.as_ref().expect("the fleet has forwarders").partition(side, mode);
    }

    /// Delays the data between hosts of different data centres by `one_way` in each direction.
    ///
    /// # Panics
    /// Panics if the fleet has no forwarders.
    pub fn delay_between_data_centres(&self, one_way: Duration) {
        self.links.as_ref().expect("the fleet has forwarders").delay_between_data_centres(one_way);
    }

    /// Ends all partitions and delays between hosts.
    pub fn heal(&self) {
        self.links.iter().for_each(HostLinks::heal);
    }

    /// Returns the source addresses of the connections of some hosts.
    #[must_use]
    pub fn source_addresses(&self, hosts: &[usize]) -> Vec<std::net::IpAddr> {
        hosts.iter().map(|host| self.address_plan.host(*host)).collect()
    }

    /// Sends a signal to one daemon, if it was started.
    pub fn signal(&self, host: usize, role: Role, signal: Signal) {
        let daemons = self.daemons.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(daemon) = &daemons[host][index(role)] {
            daemon.signal(signal);
        }
    }

    /// Returns [`Daemon::processor_waits`] of each daemon.
    #[must_use]
    pub fn processor_waits(&self) -> Vec<BTreeMap<u32, Duration>> {
        let daemons = self.daemons.lock().unwrap_or_else(PoisonError::into_inner);
        daemons.iter().flatten().flatten().map(Daemon::processor_waits).collect()
    }

    /// Returns a daemon's exit code if it has ended, other than by a signal.
    #[must_use]
    pub fn exit_code(&self, host: usize, role: Role) -> Option<i32> {
        let mut daemons = self.daemons.lock().unwrap_or_else(PoisonError::into_inner);
        daemons[host][index(role)].as_mut()?.exit_code()
    }

    /// Waits until every daemon reports ready and a query is answered with full coverage.
    ///
    /// # Panics
    /// Panics if that takes longer than `READY_WITHIN` for a daemon or for the query.
    pub async fn wait_ready(&self) {
        for host in 0..self.spec.hosts {
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
            assert!(Instant::now() < deadline, "no answer with full coverage within {READY_WITHIN:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Waits until one daemon reports ready.
    ///
    /// # Panics
    /// Panics if that takes longer than `READY_WITHIN`.
    pub async fn wait_daemon_ready(&self, host: usize, role: Role) {
        let deadline = Instant::now() + READY_WITHIN;
        while !self.is_ready(host, role).await {
            assert!(
                Instant::now() < deadline,
                "the {role:?} of host {host} is not ready within {READY_WITHIN:?}"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns whether one daemon reports ready.
    pub async fn is_ready(&self, host: usize, role: Role) -> bool {
        let answer = self.http.get(self.address(host, role), READY_PATH, Duration::from_secs(1)).await;
        answer.is_ok_and(|exchange| exchange.status == 200)
    }

    /// Returns the sum of a daemon's metrics whose names start with `name`; 0 if they cannot be read.
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

    /// Returns the resources that one daemon has used since its start.
    #[must_use]
    pub fn usage(&self, host: usize, role: Role) -> ResourceUsage {
        let daemons = self.daemons.lock().unwrap_or_else(PoisonError::into_inner);
        daemons[host][index(role)].as_ref().map(Daemon::usage).unwrap_or_default()
    }

    /// Returns a client that uses all entries.
    #[must_use]
    pub fn client(&self) -> Client {
        Client::open((0..self.spec.hosts).map(|host| self.address(host, Role::Entry)))
    }

    /// Returns a client that uses the entry of one host only.
    #[must_use]
    pub fn client_of(&self, host: usize) -> Client {
        Client::open([self.address(host, Role::Entry)])
    }

    /// Returns a query whose expected answer depends on its number; see [`assert_valid_answer`](crate::assert_valid_answer).
    ///
    /// # Panics
    /// Never panics: the query is valid.
    #[must_use]
    pub fn lookup(&self, number: u64) -> Query {
        Query::group("desk", "lookup", &lookup_body(number)).expect("the query is valid")
    }

    /// Changes the declarations, publishes them as the next version and returns that version.
    pub fn publish(&self, change: impl FnOnce(&mut FleetDeclarations)) -> u64 {
        let mut declared = self.declared.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut declared);
        let mut published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
        let version = published.config.version().0 + 1;
        let config = declared.config(version);
        let head = publish_config(&self.platform, &config, Some((&published.config, &published.head)));
        (published.config, published.head) = (config, head);
        version
    }

    /// Publishes a version in which only one service has changed, and returns it.
    pub fn publish_service_change(&self, service: usize) -> u64 {
        self.publish(|declared| declared.extra_connections[service] += 1)
    }

    /// Changes the host list and publishes it.
    pub fn publish_hosts(&self, change: impl FnOnce(&mut HostList)) {
        let mut published = self.published.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut published.hosts);
        published.hosts.revision += 1;
        published.hosts.sort();
        publish_hosts(&self.platform, &published.hosts);
    }

    /// Sets the snapshots that one target holds.
    pub fn set_snapshots(&self, service: usize, replica: usize, snapshots: &[u64]) {
        let target = &self.targets[service][replica];
        let mut behaviour = target.behaviour();
        let held = |&id: &u64| HeldSnapshot {
            snapshot: egret_model::SnapshotId(id),
            placement: egret_model::PlacementId(id),
        };
        behaviour.snapshots = snapshots.iter().map(held).collect();
        target.set(behaviour);
    }

    /// Returns the executions of all targets.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.targets.iter().flatten().flat_map(Target::executions).collect()
    }

    /// Returns the size and settings of the fleet.
    #[must_use]
    pub fn spec(&self) -> &FleetSpec {
        &self.spec
    }

    /// Returns the address that a daemon listens on; for an entry the one for callers.
    #[must_use]
    pub fn address(&self, host: usize, role: Role) -> SocketAddr {
        self.address_plan.daemon(host, role)
    }

    /// Returns the address on which an entry listens for other daemons and operators.
    #[must_use]
    pub fn internal_address(&self, host: usize) -> SocketAddr {
        self.address_plan.internal(host)
    }
}

fn index(role: Role) -> usize {
    match role {
        Role::Agent => 0,
        Role::Relay => 1,
        Role::Entry => 2,
    }
}

fn owned_flags(flags: &[&str]) -> Vec<String> {
    flags.iter().map(|&flag| flag.to_owned()).collect()
}

/// Returns the body of the numbered lookup.
#[must_use]
pub fn lookup_body(number: u64) -> String {
    let depth = 300 + number * 37 % 3000;
    format!(r#"{{"min_depth_m":{depth},"limit":1000,"number":{number}}}"#)
}
