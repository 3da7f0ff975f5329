//! A fleet of daemons, targets and platform inside the test process.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use egret_agent::Agent;
use egret_conf::{Config, Head, HostList};
use egret_entry::Entry;
use egret_events::{Clock, Event, Journal};
use egret_model::{DataCentre, HostName};
use egret_node::{AgentWatcher, HttpResponse, Ops};
use egret_relay::Relay;
use egret_standin::{Execution, Platform, Target, publish_config, publish_hosts};
use egret_wire::{QueryAnswer, QueryRequest};
use tokio::runtime::Handle;

use super::{
    Caller, QueryError, SimulatedNetwork, Traffic,
    process::{ProcessState, Route, handler},
};
use crate::{
    FleetDeclarations, FleetSpec, Role, SnapshotPlan,
    address_plan::{AddressPlan, DATA_CENTRES, data_centre_of},
};

const GOSSIP_INTERVAL: Duration = Duration::from_millis(1000);

/// A running daemon and its process in the simulated network.
#[derive(Debug)]
struct Daemon {
    process: ProcessState,
    handle: DaemonHandle,
}

#[derive(Debug)]
enum DaemonHandle {
    Agent(Agent),
    Relay(Relay),
    Entry(Entry),
}

/// A small fleet inside the test process, on a simulated network.
#[derive(Debug)]
pub struct SimulatedFleet {
    /// The stand-in platform.
    pub platform: Platform,
    /// The stand-in targets, by service and replica.
    pub targets: Vec<Vec<Target>>,
    net: SimulatedNetwork,
    address_plan: AddressPlan,
    spec: FleetSpec,
    caller: ProcessState,
    daemons: Vec<[Option<Daemon>; 3]>,
    declared: FleetDeclarations,
    published: (Config, Head),
    hosts: HostList,
}

impl SimulatedFleet {
    /// Starts all daemons and stand-ins on the current runtime, whose clock the test advances.
    ///
    /// # Panics
    /// Panics if the spec gives invalid declarations, which is a bug of the test.
    #[must_use]
    pub fn start(spec: FleetSpec) -> Self {
        let (net, address_plan) = (SimulatedNetwork::default(), AddressPlan::simulated());
        let platform = Platform::without_network(address_plan.platform());
        net.listen(Route {
            address: platform.address(),
            process: ProcessState::external(),
            is_platform: true,
            handler: handler(platform.handler()),
        });
        let target = |service: usize, replica: usize| {
            let address = address_plan.target(service * spec.replicas + replica);
            let target = Target::without_network(address, spec.behaviour.clone());
            net.listen(target_route(&target, data_centre_of(replica)));
            target
        };
        let targets: Vec<Vec<Target>> = (0..spec.services)
            .map(|service| (0..spec.replicas).map(|replica| target(service, replica)).collect())
            .collect();
        let first = SnapshotPlan { id: 1, rotation: 0, shards: spec.shards };
        let addresses = targets.iter().map(|all| all.iter().map(Target::address).collect()).collect();
        let extra_connections = vec![0; spec.services];
        let declared = FleetDeclarations {
            spec: spec.clone(),
            targets: addresses,
            snapshots: vec![first],
            extra_connections,
        };
        let hosts = address_plan.host_list(spec.hosts, false);
        publish_hosts(&platform, &hosts);
        let config = declared.config(1);
        let head = publish_config(&platform, &config, None);
        let daemons = (0..spec.hosts).map(|_| [None, None, None]).collect();
        let caller = ProcessState::external();
        let published = (config, head);
        let mut fleet =
            Self { platform, targets, net, address_plan, spec, caller, daemons, declared, published, hosts };
        for host in 0..fleet.spec.hosts {
            for role in [Role::Agent, Role::Relay, Role::Entry] {
                fleet.start_daemon(host, role);
            }
        }
        fleet
    }

    /// Starts one daemon; kills the one that it replaces, if any.
    pub fn start_daemon(&mut self, host: usize, role: Role) {
        let process = ProcessState::new(Some(host), Some(data_centre_of(host)));
        let handle = match role {
            Role::Agent => self.start_agent(host, &process),
            Role::Relay => self.start_relay(host, &process),
            Role::Entry => self.start_entry(host, &process),
        };
        if let Some(before) = self.daemons[host][index(role)].replace(Daemon { process, handle }) {
            before.process.kill();
        }
    }

    /// Kills one daemon: from now on it neither sends nor receives messages.
    pub fn kill(&mut self, host: usize, role: Role) {
        self.process(host, role).kill();
    }

    /// Holds back all messages from and to one daemon (`paused`), or releases them.
    pub fn pause(&self, host: usize, role: Role, paused: bool) {
        self.process(host, role).pause(paused);
    }

    /// Makes a daemon announce that it is leaving, as at the start of its shutdown.
    pub fn drain(&self, host: usize, role: Role) {
        self.ops(host, role).start_shutdown();
    }

    /// Cuts the hosts of one side off from all others; an empty list ends the partition.
    pub fn partition(&self, side: Vec<usize>) {
        self.net.partition(side);
    }

    /// Cuts data centres, with their hosts and targets, off from all others; an empty list ends it.
    ///
    /// Host `n` and replica `n` of each service are in data centre `n` modulo three.
    pub fn cut_data_centres(&self, cut: Vec<usize>) {
        self.net.cut_data_centres(cut);
    }

    /// Cuts the agents of exactly these hosts off from the platform; all other agents reach it.
    pub fn cut_from_platform(&self, hosts: &[usize]) {
        for host in 0..self.spec.hosts {
            self.process(host, Role::Agent).cut_from_platform(hosts.contains(&host));
        }
    }

    /// Delays each message by a random time of up to `jitter`, so that messages arrive out of order.
    pub fn set_jitter(&self, jitter: Duration) {
        self.net.set_jitter(jitter);
    }

    /// Changes the declarations, publishes them as the next version and returns that version.
    pub fn publish(&mut self, change: impl FnOnce(&mut FleetDeclarations)) -> u64 {
        change(&mut self.declared);
        let version = self.published.0.version().0 + 1;
        let config = self.declared.config(version);
        let head = publish_config(&self.platform, &config, Some((&self.published.0, &self.published.1)));
        self.published = (config, head);
        version
    }

    /// Changes the host list and publishes it.
    pub fn publish_hosts(&mut self, change: impl FnOnce(&mut HostList)) {
        change(&mut self.hosts);
        self.hosts.revision += 1;
        self.hosts.sort();
        publish_hosts(&self.platform, &self.hosts);
    }

    /// Returns the counts of one request path since the start, over all processes.
    #[must_use]
    pub fn traffic(&self, path: &str) -> Traffic {
        self.net.traffic(path)
    }

    /// Returns the configuration version in force at each host's entry, 0 if it has none.
    ///
    /// # Panics
    /// Panics if another daemon is stored in an entry's slot, which is a bug.
    #[must_use]
    pub fn versions(&self) -> Vec<u64> {
        let version = |host: usize| match &self.daemon(host, Role::Entry).handle {
            DaemonHandle::Entry(entry) => entry.config_version().0,
            other => panic!("the entry slot of host {host} holds {other:?}"),
        };
        (0..self.spec.hosts).map(version).collect()
    }

    /// Returns the executions of all targets.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.targets.iter().flatten().flat_map(Target::executions).collect()
    }

    /// Returns the events in one daemon's journal, oldest first.
    #[must_use]
    pub fn events(&self, host: usize, role: Role) -> Vec<Event> {
        self.ops(host, role).journal.events()
    }

    /// Sends a query to the entry of one host, as a caller.
    ///
    /// # Errors
    /// Returns the refusal, or the reason why there was no answer.
    pub async fn query(&self, host: usize, request: &QueryRequest) -> Result<QueryAnswer, QueryError> {
        self.caller().query(host, request).await
    }

    /// Returns a caller that does not borrow the fleet, for queries in tasks of their own.
    #[must_use]
    pub fn caller(&self) -> Caller {
        Caller { client: self.net.client(&self.caller), address_plan: self.address_plan }
    }

    fn start_agent(&self, host: usize, process: &ProcessState) -> DaemonHandle {
        let peers = (0..self.spec.hosts).filter(|peer| *peer != host);
        let address = self.address_plan.daemon(host, Role::Agent);
        let agent = Agent::spawn(egret_agent::Options {
            host: host_name(host),
            data_centre: DataCentre::new(DATA_CENTRES[data_centre_of(host)]).expect("the name is valid"),
            address,
            client: self.net.client(process),
            platform: self.address_plan.platform(),
            seed_peers: peers.map(|peer| self.address_plan.daemon(peer, Role::Agent)).collect(),
            gossip_interval: GOSSIP_INTERVAL,
        });
        self.listen(address, process, handler(agent.handler()));
        DaemonHandle::Agent(agent)
    }

    fn start_relay(&self, host: usize, process: &ProcessState) -> DaemonHandle {
        let address = self.address_plan.daemon(host, Role::Relay);
        let (watcher, journal) = self.follow(host, process, "relay");
        let client = self.net.client(process);
        let options = egret_relay::Options { client, ..egret_relay::Options::new(host_name(host), address) };
        let relay = Relay::spawn(options, watcher, journal, Handle::current());
        self.listen(address, process, handler(relay.handler()));
        DaemonHandle::Relay(relay)
    }

    fn start_entry(&self, host: usize, process: &ProcessState) -> DaemonHandle {
        let internal = self.address_plan.internal(host);
        let (watcher, journal) = self.follow(host, process, "entry");
        let client = self.net.client(process);
        let options = egret_entry::Options { client, ..egret_entry::Options::new(internal, internal) };
        let entry = Entry::spawn(options, watcher, journal, Handle::current());
        self.listen(internal, process, handler(entry.internal_handler()));
        self.listen(self.address_plan.daemon(host, Role::Entry), process, handler(entry.caller_handler()));
        DaemonHandle::Entry(entry)
    }

    fn follow(&self, host: usize, process: &ProcessState, role: &str) -> (AgentWatcher, Journal) {
        let journal = Journal::new(format!("{role}@host-{host}"), Clock::new());
        let agent = self.address_plan.daemon(host, Role::Agent);
        (AgentWatcher::spawn(self.net.client(process), agent, journal.clone()), journal)
    }

    fn listen(&self, address: SocketAddr, process: &ProcessState, handler: super::process::Handler) {
        self.net.listen(Route { address, process: process.clone(), is_platform: false, handler });
    }

    fn daemon(&self, host: usize, role: Role) -> &Daemon {
        self.daemons[host][index(role)].as_ref().expect("all daemons are started with the fleet")
    }

    fn ops(&self, host: usize, role: Role) -> &Ops {
        match &self.daemon(host, role).handle {
            DaemonHandle::Agent(agent) => agent.ops(),
            DaemonHandle::Relay(relay) => relay.ops(),
            DaemonHandle::Entry(entry) => entry.ops(),
        }
    }

    fn process(&self, host: usize, role: Role) -> &ProcessState {
        &self.daemon(host, role).process
    }
}

fn target_route(target: &Target, data_centre: usize) -> Route {
    let target_of_handler = target.clone();
    let handler: super::process::Handler = std::sync::Arc::new(move |request| {
        let target = target_of_handler.clone();
        Box::pin(async move {
            let (status, body) = target.answer(&request.path, &request.body).await?;
            Some(HttpResponse { status, headers: Default::default(), body: Bytes::from(body) })
        })
    });
    let process = ProcessState::new(None, Some(data_centre));
    Route { address: target.address(), process, is_platform: false, handler }
}

fn host_name(host: usize) -> HostName {
    HostName::new(format!("host-{host}")).expect("the name is valid")
}

fn index(role: Role) -> usize {
    match role {
        Role::Agent => 0,
        Role::Relay => 1,
        Role::Entry => 2,
    }
}
