//! Test bed: a whole fleet of real processes with its stand-ins.

use crate::call::Caller;
use crate::check::wait_until;
use crate::configuration::{self, TenantDeclaration};
use crate::ports::PortBlock;
use crate::process::{Process, StartError, binary};
use crate::relay::Relay;
use crate::runs::Runs;
use hyper::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Time-out for the start of a fleet.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Size and settings of a test bed.
#[derive(Debug, Clone)]
pub struct BedOptions {
    /// Number of machines, each with a gateway and a scheduler.
    pub machines: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Sequences that each engine runs concurrently.
    pub engine_slots: usize,
    /// Time of each step of an engine, in milliseconds.
    pub engine_step_ms: u64,
    /// Number of plain services, which serve `/permits`, `/checks` and `/confirmations` in
    /// rotation.
    pub applications: usize,
    /// Slots of each application in the configuration.
    pub application_slots: usize,
    /// Tenants in the configuration.
    pub tenants: Vec<TenantDeclaration>,
    /// Log filter of gateways and schedulers.
    pub log: String,
    /// Starts a relay in front of each peer address, to cut it off.
    pub relays: bool,
}

impl Default for BedOptions {
    fn default() -> Self {
        Self {
            machines: 3,
            engines: 2,
            engine_slots: 4,
            engine_step_ms: 2,
            applications: 3,
            application_slots: 8,
            tenants: vec![TenantDeclaration::new("office"), TenantDeclaration::new("summaries")],
            log: "info".to_owned(),
            relays: false,
        }
    }
}

/// Addresses of the processes of one machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Zone of the machine.
    pub zone: &'static str,
    /// Address of the gateway for callers.
    pub callers: SocketAddr,
    /// Peer address of the gateway.
    pub gateway_peer: SocketAddr,
    /// Address on which the gateway listens for peers; behind the relay if there is one.
    pub gateway_listen: SocketAddr,
    /// Admin address of the gateway.
    pub gateway_admin: SocketAddr,
    /// Peer address of the scheduler.
    pub scheduler_peer: SocketAddr,
    /// Address on which the scheduler listens for peers; behind the relay if there is one.
    pub scheduler_listen: SocketAddr,
    /// Admin address of the scheduler.
    pub scheduler_admin: SocketAddr,
}

/// Fleet of real processes on loopback, all killed when this value is dropped.
#[derive(Debug)]
pub struct Bed {
    options: BedOptions,
    _ports: PortBlock,
    folder: PathBuf,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Addresses of each machine.
    pub machines: Vec<Machine>,
    /// Address of each engine.
    pub engine_addresses: Vec<SocketAddr>,
    /// Address of each application.
    pub application_addresses: Vec<SocketAddr>,
    /// Process of the platform.
    pub platform: Process,
    /// Process of each gateway, by machine.
    pub gateways: Vec<Process>,
    /// Process of each scheduler, by machine.
    pub schedulers: Vec<Process>,
    /// Process of each engine.
    pub engines: Vec<Process>,
    /// Process of each application.
    pub applications: Vec<Process>,
    /// Relay in front of the peer address of each gateway, by machine.
    pub gateway_relays: Vec<Relay>,
    /// Relay in front of the peer address of each scheduler, by machine.
    pub scheduler_relays: Vec<Relay>,
}

/// Number of beds that this process has created, for unique names of their folders.
static BEDS: AtomicU32 = AtomicU32::new(0);

impl Bed {
    /// Starts the stand-ins and the fleet, applies the configuration and waits until every process
    /// is ready.
    ///
    /// # Panics
    /// Panics if the fleet does not start in time.
    pub async fn start(options: BedOptions) -> Self {
        let mut bed = Self::launch(options).expect("the programs can be started");
        bed.start_relays().await;
        bed.wait_listening().await;
        let output = bed.apply();
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        bed.wait_ready().await;
        bed
    }

    /// Starts all processes without waiting for them or applying the configuration.
    pub fn launch(options: BedOptions) -> Result<Self, StartError> {
        let mut ports = PortBlock::take();
        let folder = new_folder();
        let platform_address = ports.next_address();
        let machines: Vec<Machine> =
            (0..options.machines).map(|index| machine(&mut ports, index, options.relays)).collect();
        let engine_addresses: Vec<_> = (0..options.engines).map(|_| ports.next_address()).collect();
        let application_addresses: Vec<_> =
            (0..options.applications).map(|_| ports.next_address()).collect();
        let platform = start_platform(platform_address, &folder)?;
        let mut bed = Self {
            options,
            _ports: ports,
            folder,
            platform_address,
            machines,
            engine_addresses,
            application_addresses,
            platform,
            gateways: Vec::new(),
            schedulers: Vec::new(),
            engines: Vec::new(),
            applications: Vec::new(),
            gateway_relays: Vec::new(),
            scheduler_relays: Vec::new(),
        };
        bed.write_files();
        for index in 0..bed.options.engines {
            bed.engines.push(bed.start_engine(index)?);
        }
        for index in 0..bed.options.applications {
            bed.applications.push(bed.start_application(index)?);
        }
        for index in 0..bed.options.machines {
            bed.schedulers.push(bed.start_scheduler(index)?);
            bed.gateways.push(bed.start_gateway(index)?);
        }
        Ok(bed)
    }

    async fn start_relays(&mut self) {
        if !self.options.relays {
            return;
        }
        for machine in &self.machines {
            let gateway = Relay::start(machine.gateway_peer, machine.gateway_listen).await;
            let scheduler = Relay::start(machine.scheduler_peer, machine.scheduler_listen).await;
            self.gateway_relays.push(gateway);
            self.scheduler_relays.push(scheduler);
        }
    }

    /// Returns the folder with the files of the bed.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the directory of the configuration.
    pub fn configuration(&self) -> PathBuf {
        self.folder.join("configuration")
    }

    /// Starts or restarts the gateway of a machine.
    pub fn start_gateway(&self, index: usize) -> Result<Process, StartError> {
        self.start_member("mastbay-gateway", &format!("gateway-{index}"))
    }

    /// Starts or restarts the scheduler of a machine.
    pub fn start_scheduler(&self, index: usize) -> Result<Process, StartError> {
        self.start_member("mastbay-scheduler", &format!("scheduler-{index}"))
    }

    /// Starts or restarts an engine.
    pub fn start_engine(&self, index: usize) -> Result<Process, StartError> {
        let arguments = [
            "engine".to_owned(),
            "--address".to_owned(),
            self.engine_addresses[index].to_string(),
            "--slots".to_owned(),
            self.options.engine_slots.to_string(),
            "--step-ms".to_owned(),
            self.options.engine_step_ms.to_string(),
        ];
        let log = self.folder.join(format!("engine-{index}.log"));
        Process::start("mastbay-stand-in", &arguments, &log)
    }

    /// Starts or restarts an application; it continues its record.
    pub fn start_application(&self, index: usize) -> Result<Process, StartError> {
        let address = self.application_addresses[index];
        let arguments = [
            "application".to_owned(),
            "--address".to_owned(),
            address.to_string(),
            "--record".to_owned(),
            self.record_file(index).display().to_string(),
        ];
        let log = self.folder.join(format!("application-{index}.log"));
        Process::start("mastbay-stand-in", &arguments, &log)
    }

    fn start_member(&self, program: &str, name: &str) -> Result<Process, StartError> {
        let settings = self.folder.join(format!("{name}.ini"));
        let log = self.folder.join(format!("{name}.log"));
        Process::start(program, &[settings.display().to_string()], &log)
    }

    fn write_files(&self) {
        let write = |name: &str, text: String| {
            std::fs::write(self.folder.join(name), text).expect("files can be written");
        };
        std::fs::create_dir_all(self.configuration()).expect("folders can be made");
        write("configuration/tenants.ini", configuration::tenants(&self.options));
        write("configuration/services.ini", configuration::services());
        let backends = configuration::backends(
            &self.options,
            &self.engine_addresses,
            &self.application_addresses,
        );
        write("configuration/backends.ini", backends);
        let seeds: Vec<String> = self
            .machines
            .iter()
            .flat_map(|machine| [machine.scheduler_peer, machine.gateway_peer])
            .map(|seed| seed.to_string())
            .collect();
        let seeds = seeds.join(", ");
        let (platform, log) = (self.platform_address, &self.options.log);
        for (index, machine) in self.machines.iter().enumerate() {
            let gateway = configuration::gateway(machine, &seeds, platform, log);
            write(&format!("gateway-{index}.ini"), gateway);
            let scheduler = configuration::scheduler(machine, &seeds, platform, log);
            write(&format!("scheduler-{index}.ini"), scheduler);
        }
    }

    /// Creates a caller of the gateway of a machine.
    pub fn caller(&self, machine: usize, tenant: &str) -> Caller {
        Caller::new(self.machines[machine].callers, tenant)
    }

    /// Sends a GET request to any process and returns the JSON answer, or null without one.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Value {
        let answer = Caller::new(address, "").get(path).await;
        answer.map_or(Value::Null, |answer| answer.json())
    }

    /// Sends a PUT request with JSON to the platform.
    ///
    /// # Panics
    /// Panics if the platform does not accept it.
    pub async fn put_to_platform(&self, path: &str, value: &Value) {
        let caller = Caller::new(self.platform_address, "");
        let answer = caller.send(Method::PUT, path, value.to_string().into_bytes()).await;
        let status = answer.expect("the platform stand-in runs").status;
        assert!(status.is_success(), "{path}: {status}");
    }

    /// Replaces the injected faults of the platform; those not named are off.
    pub async fn set_faults(&self, faults: Value) {
        self.put_to_platform("/faults", &faults).await;
    }

    /// Marks back ends as leaving in the machine list of the platform, and all others as live.
    pub async fn set_leaving(&self, leaving: &[SocketAddr]) {
        let all = self.engine_addresses.iter().chain(&self.application_addresses);
        let machines: Vec<Value> = all
            .map(|address| {
                let state = if leaving.contains(address) { "leaving" } else { "live" };
                json!({ "address": address, "zone": "bariloche", "state": state })
            })
            .collect();
        self.put_to_platform("/machines", &Value::from(machines)).await;
    }

    /// Runs `mastbayctl`.
    ///
    /// # Panics
    /// Panics if it cannot be started.
    pub fn ctl(&self, arguments: &[&str]) -> Output {
        Command::new(binary("mastbayctl"))
            .args(arguments)
            .output()
            .expect("mastbayctl can be started")
    }

    /// Applies the configuration of the bed with `mastbayctl`.
    pub fn apply(&self) -> Output {
        let (directory, platform) = (self.configuration(), self.platform_address.to_string());
        self.ctl(&["apply", &directory.display().to_string(), "--platform", &platform])
    }

    /// Returns the admin addresses of all gateways and schedulers.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        let of_machine = |machine: &Machine| [machine.gateway_admin, machine.scheduler_admin];
        self.machines.iter().flat_map(of_machine).collect()
    }

    /// Waits until every process answers requests.
    pub async fn wait_listening(&self) {
        let mut addresses = self.admin_addresses();
        addresses.push(self.platform_address);
        addresses.extend(&self.engine_addresses);
        addresses.extend(&self.application_addresses);
        for address in addresses {
            wait_until(START_TIMEOUT, &format!("{address} listens"), || async move {
                Caller::new(address, "").get("/healthz").await.is_ok()
            })
            .await;
        }
    }

    /// Waits until every gateway and scheduler is ready and sees all others alive.
    pub async fn wait_ready(&self) {
        let expected = 2 * self.machines.len();
        for address in self.admin_addresses() {
            wait_until(START_TIMEOUT, &format!("{address} is ready"), || async move {
                is_ready(address).await && alive_members(self, address).await == expected
            })
            .await;
        }
    }

    /// Returns whether the process at an admin address is ready.
    pub async fn is_ready(&self, address: SocketAddr) -> bool {
        is_ready(address).await
    }

    fn record_file(&self, index: usize) -> PathBuf {
        self.folder.join(format!("application-{index}.record"))
    }

    /// Returns the recorded runs of an application, including those before restarts.
    pub fn runs(&self, application: usize) -> Runs {
        Runs::read(&std::fs::read_to_string(self.record_file(application)).unwrap_or_default())
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are kept in {}", self.folder.display());
        } else {
            // A leftover folder does no harm.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let answer = Caller::new(address, "").get("/readyz").await;
    answer.is_ok_and(|answer| answer.status.is_success())
}

async fn alive_members(bed: &Bed, address: SocketAddr) -> usize {
    let status = bed.get(address, "/status").await;
    let members = status["members"].as_array().cloned().unwrap_or_default();
    members.iter().filter(|member| member["state"] == "alive").count()
}

fn machine(ports: &mut PortBlock, index: usize, relays: bool) -> Machine {
    let (gateway_peer, scheduler_peer) = (ports.next_address(), ports.next_address());
    let mut listen = |peer| if relays { ports.next_address() } else { peer };
    let (gateway_listen, scheduler_listen) = (listen(gateway_peer), listen(scheduler_peer));
    Machine {
        zone: configuration::zone(index),
        callers: ports.next_address(),
        gateway_peer,
        gateway_listen,
        gateway_admin: ports.next_address(),
        scheduler_peer,
        scheduler_listen,
        scheduler_admin: ports.next_address(),
    }
}

fn new_folder() -> PathBuf {
    let number = BEDS.fetch_add(1, Ordering::SeqCst);
    let name = format!("mastbay-bed-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("folders can be made");
    folder
}

fn start_platform(address: SocketAddr, folder: &Path) -> Result<Process, StartError> {
    let arguments = ["platform".to_owned(), "--address".to_owned(), address.to_string()];
    Process::start("mastbay-stand-in", &arguments, &folder.join("platform.log"))
}
