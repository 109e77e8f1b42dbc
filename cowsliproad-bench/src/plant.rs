//! A whole deployment with its stand-ins, on loopback and in one process.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use cowsliproad_agent::Agent;
use cowsliproad_config::{ConfigObject, object};
use cowsliproad_ctl::{
    apply::{self, Others},
    client::{Client, Mode},
};
use cowsliproad_entry::EntryProcess;
use cowsliproad_kernel::{log::Level, secret::Secret};
use cowsliproad_net::threads::Runtimes;
use cowsliproad_standin::{engine, link, log, plain, vms};
use tokio::time::{Instant, sleep};

use crate::{caller::Balancer, node::Node, workload};

/// How large a plant is and how its parts behave.
#[derive(Clone, Debug)]
pub struct Config {
    /// The availability zones.
    pub zones: usize,
    /// Entries.
    pub entries: usize,
    /// Engine targets of the drafting service.
    pub engines: usize,
    /// Plain targets of the access service.
    pub plains: usize,
    /// How an engine behaves.
    pub engine: engine::Config,
    /// How a plain service behaves.
    pub plain: plain::Config,
    /// Requests at an engine target at once.
    pub engine_slots: u32,
    /// Requests at a plain target at once.
    pub plain_slots: u32,
    /// The longest silence of a target.
    pub silence: Duration,
    /// How much is logged.
    pub log: Level,
    /// How a program's threads are laid out.
    pub layout: Layout,
}

/// How a program's threads are laid out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Layout {
    /// One thread for each program, which can be frozen alone.
    Single,
    /// A control thread and so many traffic threads, as in production.
    Wide(usize),
}

impl Config {
    /// A small plant in two zones.
    pub fn new() -> Config {
        Config {
            zones: 2,
            entries: 2,
            engines: 2,
            plains: 2,
            engine: engine::Config::new(),
            plain: plain::Config::new(),
            engine_slots: 16,
            plain_slots: 16,
            silence: Duration::from_secs(2),
            log: Level::Off,
            layout: Layout::Single,
        }
    }

    /// The size of today's deployments.
    pub fn today() -> Config {
        Config {
            zones: 3,
            entries: 8,
            engines: 16,
            plains: 3,
            ..Config::new()
        }
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::new()
    }
}

/// What an agent stands in front of.
#[derive(Clone, Debug)]
pub enum Backend {
    /// An engine.
    Engine(Arc<engine::Engine>),
    /// A plain service.
    Plain(Arc<plain::Plain>),
}

/// A target: its stand-in, its agent and the network before it.
#[derive(Debug)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: usize,
    /// The service.
    pub service: &'static str,
    /// The stand-in.
    pub backend: Backend,
    /// Where the stand-in listens.
    pub target: SocketAddr,
    /// The network before the agent.
    pub link: Arc<link::Link>,
    /// Where the network before the agent listens.
    pub address: SocketAddr,
    /// The agent, unless it is down.
    pub agent: Option<Node<Agent>>,
}

/// A place for an entry.
#[derive(Debug)]
pub struct Gateway {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: usize,
    /// The network before its link address.
    pub link: Arc<link::Link>,
    /// Where that listens.
    pub address: SocketAddr,
    /// The network before the log, as this entry sees it.
    pub log_link: Arc<link::Link>,
    /// Where that listens.
    pub log_address: SocketAddr,
    /// The network before the VM list, as this entry sees it.
    pub vms_link: Arc<link::Link>,
    /// Where that listens.
    pub vms_address: SocketAddr,
    /// The entry, unless it is down.
    pub entry: Option<Node<EntryProcess>>,
}

/// A deployment.
#[derive(Debug)]
pub struct Plant {
    /// Its size.
    pub config: Config,
    /// The key.
    pub key: Secret,
    /// The log.
    pub log: Arc<log::Log>,
    /// The VM list.
    pub vms: Arc<vms::Vms>,
    /// The targets, engines first.
    pub sites: Vec<Site>,
    /// The entries.
    pub gateways: Vec<Gateway>,
    /// The balancer before the entries.
    pub balancer: Arc<Balancer>,
}

/// Any free port on loopback.
pub const ANY: SocketAddr =
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How long a plant may take to come up.
const COME_UP: Duration = Duration::from_secs(20);

impl Plant {
    /// Starts everything and loads the configuration over gRPC.
    pub async fn start(config: Config) -> io::Result<Plant> {
        let plant = Plant::start_empty(config).await?;
        plant.load(&plant.objects()).await?;
        plant.settle().await?;
        Ok(plant)
    }

    /// Starts everything with an empty configuration.
    pub async fn start_empty(config: Config) -> io::Result<Plant> {
        let (log, log_address) = log::start(ANY).await?;
        let lag = Duration::from_millis(500);
        let (vms, vms_address) = vms::start(ANY, lag).await?;
        let mut plant = Plant {
            key: Secret(rand::random()),
            config,
            log,
            vms,
            sites: Vec::new(),
            gateways: Vec::new(),
            balancer: Arc::new(Balancer::new()),
        };
        for index in 0..plant.config.engines + plant.config.plains {
            let site = plant.new_site(index).await?;
            plant.sites.push(site);
            plant.start_agent(index).await?;
        }
        for index in 0..plant.config.entries {
            let gateway =
                plant.new_gateway(index, log_address, vms_address).await?;
            plant.gateways.push(gateway);
        }
        for index in 0..plant.config.entries {
            plant.start_entry(index).await?;
        }
        Ok(plant)
    }

    /// The whole configuration.
    pub fn objects(&self) -> Vec<ConfigObject> {
        let mut objects = workload::objects();
        for site in &self.sites {
            objects.push(ConfigObject::Target(object::Target {
                name: site.name.as_str().into(),
                service: site.service.into(),
                zone: zone_name(site.zone).as_str().into(),
                agent_address: site.address,
            }));
        }
        objects
    }

    /// Applies objects through the first entry that is up.
    pub async fn load(&self, objects: &[ConfigObject]) -> io::Result<()> {
        let client = self.operator().ok_or_else(no_entry)?;
        let (_, present) =
            client.list(None).await.map_err(io::Error::other)?;
        let found = apply::differences(objects, &present, Others::Keep);
        let outcome = apply::apply(&client, &found, Mode::Commit).await;
        outcome.map_err(io::Error::other)
    }

    /// A client of the first entry that is up.
    pub fn operator(&self) -> Option<Client> {
        let mut up = self.gateways.iter().filter_map(|it| it.entry.as_ref());
        up.next().map(|it| Client::new(it.handle.admin_address))
    }

    /// Waits until every entry has a link to every agent that is up.
    pub async fn settle(&self) -> io::Result<()> {
        let deadline = Instant::now() + COME_UP;
        while !self.is_settled() {
            if Instant::now() > deadline {
                return Err(io::Error::other("the plant does not come up"));
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// How often each request ran, summed over the plain services.
    pub fn runs(&self) -> HashMap<String, u32> {
        let mut sum: HashMap<String, u32> = HashMap::new();
        for site in &self.sites {
            if let Backend::Plain(plain) = &site.backend {
                for (id, count) in plain.runs() {
                    *sum.entry(id).or_default() += count;
                }
            }
        }
        sum
    }

    /// Starts the agent of a target.
    pub async fn start_agent(&mut self, index: usize) -> io::Result<()> {
        let site = &self.sites[index];
        let (adapter, slots) = match site.backend {
            Backend::Engine(_) => ("engine", self.config.engine_slots),
            Backend::Plain(_) => ("plain", self.config.plain_slots),
        };
        let mut settings = cowsliproad_agent::settings::Settings::new(
            &site.name,
            &zone_name(site.zone),
            site.target,
            adapter,
            self.key,
        );
        settings.target_slots = slots;
        settings.target_silence_timeout =
            cowsliproad_kernel::clock::Millis(millis(self.config.silence));
        settings.log_level = self.config.log;
        let agent = match self.config.layout {
            Layout::Single => {
                Node::start(&site.name, async move || {
                    cowsliproad_agent::start_agent(
                        settings,
                        Runtimes::current(),
                    )
                    .await
                })
                .await?
            }
            Layout::Wide(workers) => {
                Node::start_wide(&site.name, workers, async |threads| {
                    cowsliproad_agent::start_agent(settings, threads).await
                })
                .await?
            }
        };
        let site = &mut self.sites[index];
        site.link.lead_to(agent.handle.link_address);
        site.agent = Some(agent);
        Ok(())
    }

    /// Starts an entry.
    pub async fn start_entry(&mut self, index: usize) -> io::Result<()> {
        let gateway = &self.gateways[index];
        let mut settings = cowsliproad_entry::settings::Settings::new(
            &gateway.name,
            &zone_name(gateway.zone),
            gateway.log_address,
            gateway.vms_address,
            self.key,
        );
        let others = self.gateways.iter().filter(|it| it.name != gateway.name);
        settings.peer_link_addresses = others.map(|it| it.address).collect();
        let near = self.sites.iter().filter(|it| it.zone == gateway.zone);
        settings.seed_agent_addresses = near.map(|it| it.address).collect();
        settings.source_address = Some(source(gateway.zone));
        settings.stop_grace_time = cowsliproad_kernel::clock::Millis(200);
        settings.log_level = self.config.log;
        let entry = match self.config.layout {
            Layout::Single => {
                Node::start(&gateway.name, async move || {
                    cowsliproad_entry::start_entry(
                        settings,
                        Runtimes::current(),
                    )
                    .await
                })
                .await?
            }
            Layout::Wide(workers) => {
                Node::start_wide(&gateway.name, workers, async |threads| {
                    cowsliproad_entry::start_entry(settings, threads).await
                })
                .await?
            }
        };
        let gateway = &mut self.gateways[index];
        gateway.link.lead_to(entry.handle.link_address);
        self.balancer.add(entry.handle.caller_address);
        gateway.entry = Some(entry);
        Ok(())
    }

    /// Kills an entry; the balancer notices.
    pub async fn kill_entry(&mut self, index: usize) {
        if let Some(entry) = self.gateways[index].entry.take() {
            let address = entry.handle.caller_address;
            entry.kill().await;
            self.balancer.remove(address);
        }
    }

    /// Stops an entry gracefully.
    pub async fn stop_entry(&mut self, index: usize) {
        if let Some(entry) = self.gateways[index].entry.take() {
            let address = entry.handle.caller_address;
            self.balancer.stopping(address);
            entry.stop().await;
            self.balancer.remove(address);
        }
    }

    /// Kills the agent of a target.
    pub async fn kill_agent(&mut self, index: usize) {
        if let Some(agent) = self.sites[index].agent.take() {
            agent.kill().await;
        }
    }

    /// Stops the agent of a target gracefully.
    pub async fn stop_agent(&mut self, index: usize) {
        if let Some(agent) = self.sites[index].agent.take() {
            agent.stop().await;
        }
    }

    fn is_settled(&self) -> bool {
        let entries = self.gateways.iter().filter_map(|it| it.entry.as_ref());
        entries.into_iter().all(|entry| {
            let view = entry.handle.shared.published_view.current_view();
            let up = self.sites.iter().filter(|it| it.agent.is_some());
            up.into_iter().all(|site| {
                let target = view.targets.get(site.name.as_str());
                target.is_some_and(|it| it.accepts_new_work())
            })
        })
    }

    async fn new_site(&self, index: usize) -> io::Result<Site> {
        let engines = self.config.engines;
        let zone = index % self.config.zones;
        let (name, service, backend, target) = if index < engines {
            let (engine, target) =
                engine::start(ANY, self.config.engine).await?;
            let name = format!("engine-{index}");
            (name, "drafting", Backend::Engine(engine), target)
        } else {
            let (plain, target) = plain::start(ANY, self.config.plain).await?;
            let name = format!("plain-{}", index - engines);
            (name, "access", Backend::Plain(plain), target)
        };
        self.vms.set(&name, vms::State::Live);
        let (link, address) = link::start(ANY).await?;
        Ok(Site {
            name,
            zone,
            service,
            backend,
            target,
            link,
            address,
            agent: None,
        })
    }

    async fn new_gateway(
        &self,
        index: usize,
        log: SocketAddr,
        vms: SocketAddr,
    ) -> io::Result<Gateway> {
        let (link, address) = link::start(ANY).await?;
        let (log_link, log_address) = link::start(log).await?;
        let (vms_link, vms_address) = link::start(vms).await?;
        Ok(Gateway {
            name: format!("entry-{index}"),
            zone: index % self.config.zones,
            link,
            address,
            log_link,
            log_address,
            vms_link,
            vms_address,
            entry: None,
        })
    }
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The address that the entries of a zone dial from, by which the network
/// tells zones apart.
pub fn source(zone: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 1, 1 + zone as u8))
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

fn no_entry() -> io::Error {
    io::Error::other("no entry is up")
}
