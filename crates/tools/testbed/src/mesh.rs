//! The machines: an address each in a block of loopback that no other run has, a settings file, a data folder, and a process
//! of the real program that can be killed, stopped and started again.
use anyhow::{bail, Context, Result};
use rustix::process::{kill_process, Pid, Signal};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Ports of a machine, from its first: control, inbound, ready, station, outbound.
const PORTS: [u16; 5] = [0, 4, 5, 8, 9];
/// Ports between sidecars, from its first.
const INTERNAL: (u16, u16) = (20, 35);
/// Blocks that are tried before none is found.
const TRIES: usize = 64;
/// Machines of a mesh, at most.
const MACHINES: usize = 64;

/// What a mesh consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Machines that hold the control state.
    pub core: usize,
    /// Machines with an upstream.
    pub side: usize,
    /// Machines that may hold the control state, and don't run at the start.
    pub spare: usize,
    /// Whether each machine calls the others at a port of its own, so that [`crate::links::Links`] can stand in between.
    pub links: bool,
    /// Zones, over which both kinds are dealt out.
    pub zones: usize,
    /// Services, dealt out over the sides.
    pub services: Vec<String>,
    /// Between two beats of an upstream, in seconds.
    pub beat_s: f64,
    /// The figures of the rules, as they stand in a settings file.
    pub bounds: Vec<(&'static str, f64)>,
    /// Further words on each process's command line.
    pub words: Vec<&'static str>,
}

impl Default for Plan {
    fn default() -> Self {
        let bounds = vec![
            ("seedLagS", 3.0),
            ("drainS", DRAIN_S),
            ("graceS", 4.0),
            ("editionS", 2.5),
            ("evacuateS", 5.0),
            ("retryRatio", 0.2),
            ("retryWindowS", 10.0),
            ("retrySlack", 60.0),
            ("coldOverrun", 1.5),
            ("coldSlack", 5.0),
        ];
        let services = vec!["bakery".to_string(), "smithy".to_string()];
        let (spare, links) = (0, false);
        Plan { core: 3, side: 4, spare, links, zones: 3, services, beat_s: 0.5, bounds, words: Vec::new() }
    }
}

/// An upstream that drains serves on for so long, in seconds.
pub const DRAIN_S: f64 = 1.0;

/// One machine.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Whether it holds the control state.
    pub core: bool,
    /// The service of its upstream; empty on a core machine.
    pub service: String,
    dir: PathBuf,
    child: Option<Child>,
}

/// All machines, and the folder of their files. Dropping it ends the processes and removes the folder.
#[derive(Debug)]
pub struct Mesh {
    /// Core machines first.
    pub machines: Vec<Machine>,
    plan: Plan,
    program: PathBuf,
    first: u16,
    dir: PathBuf,
    // Held for as long as the block is ours.
    _mark: TcpListener,
}

fn zone(n: usize) -> String {
    ["mill", "quay", "hill", "wood"].get(n).map_or_else(|| format!("zone-{n}"), |z| z.to_string())
}

/// Held while a process is started, and while ports are tried.
static STARTING: std::sync::Mutex<()> = std::sync::Mutex::new(());

/// A block of addresses and a first port at which nobody listens.
fn block(machines: usize) -> Result<([u8; 2], u16, TcpListener)> {
    // A process that is being started holds what listens here for a moment: none is started while ports are tried.
    let _none = STARTING.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    for _ in 0..TRIES {
        let n = crate::fresh();
        let (a, b) = ((1 + (n >> 8) % 254) as u8, n as u8);
        // Below the ports that the system hands out by itself.
        let first = 20_000 + ((n >> 32) % 200) as u16 * 50;
        let Ok(mark) = TcpListener::bind((Ipv4Addr::new(127, a, b, 254), first)) else { continue };
        let free = (0..machines).all(|m| {
            let ip = Ipv4Addr::new(127, a, b, 1 + m as u8);
            let ports = PORTS.iter().copied().chain(INTERNAL.0..=INTERNAL.1);
            ports.into_iter().all(|p| TcpListener::bind((ip, first + p)).is_ok())
                && (INTERNAL.0..=INTERNAL.1).all(|p| UdpSocket::bind((ip, first + p)).is_ok())
        });
        if free {
            return Ok(([a, b], first, mark));
        }
    }
    bail!("no free addresses on loopback")
}

impl Mesh {
    /// Lay the machines out; nothing runs yet.
    pub fn lay(plan: &Plan, program: &Path) -> Result<Self> {
        let count = plan.core + plan.side + plan.spare;
        if plan.core == 0 || plan.side == 0 || plan.zones == 0 || plan.services.is_empty() || count > MACHINES
        {
            bail!("a mesh has core, sides, zones and services, and {MACHINES} machines at most");
        }
        if plan.links && count > usize::from(INTERNAL.1 - INTERNAL.0) {
            bail!("with links in between, a mesh has {} machines at most", INTERNAL.1 - INTERNAL.0);
        }
        let ([a, b], first, mark) = block(count)?;
        let dir = std::env::temp_dir().join(format!(
            "silvercross-testbed-{}-{:08x}",
            std::process::id(),
            crate::fresh() as u32
        ));
        fs::create_dir(&dir).with_context(|| format!("{}", dir.display()))?;
        let machine = |m: usize| {
            let core = m < plan.core || m >= plan.core + plan.side;
            let n = match core {
                true if m >= plan.core => m - plan.side,
                true => m,
                false => m - plan.core,
            };
            let name = format!("{}-{}", if core { "core" } else { "side" }, n + 1);
            Machine {
                dir: dir.join(&name),
                name,
                ip: Ipv4Addr::new(127, a, b, 1 + m as u8),
                zone: zone(n % plan.zones),
                core,
                service: if core { String::new() } else { plan.services[n % plan.services.len()].clone() },
                child: None,
            }
        };
        let machines: Vec<Machine> = (0..count).map(machine).collect();
        let mesh = Mesh {
            machines,
            plan: plan.clone(),
            program: program.to_path_buf(),
            first,
            dir: dir.clone(),
            _mark: mark,
        };
        for m in &mesh.machines {
            fs::create_dir_all(m.dir.join("data"))?;
        }
        Ok(mesh)
    }

    fn at(&self, m: usize, port: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.machines[m].ip), self.first + PORTS[port])
    }

    /// Where upstreams and operators call.
    pub fn control(&self, m: usize) -> SocketAddr {
        self.at(m, 0)
    }

    /// Where the platform asks.
    pub fn ready(&self, m: usize) -> SocketAddr {
        self.at(m, 2)
    }

    /// Where the upstream is.
    pub fn station(&self, m: usize) -> SocketAddr {
        self.at(m, 3)
    }

    /// Where the machine's clients bring their requests.
    pub fn outbound(&self, m: usize) -> SocketAddr {
        self.at(m, 4)
    }

    /// Numbers of the core machines.
    pub fn cores(&self) -> std::ops::Range<usize> {
        0..self.plan.core
    }

    /// Numbers of the machines with an upstream.
    pub fn sides(&self) -> std::ops::Range<usize> {
        self.plan.core..self.plan.core + self.plan.side
    }

    /// Numbers of the machines that may hold the control state, and don't run at the start.
    pub fn spares(&self) -> std::ops::Range<usize> {
        self.plan.core + self.plan.side..self.machines.len()
    }

    /// Where a machine takes what other sidecars say to it, and the port at which it calls them.
    pub fn internal(&self, m: usize) -> SocketAddr {
        let own = if self.plan.links { m as u16 } else { 0 };
        SocketAddr::new(IpAddr::V4(self.machines[m].ip), self.first + INTERNAL.0 + own)
    }

    /// Between two beats of an upstream, in seconds.
    pub fn beat_s(&self) -> f64 {
        self.plan.beat_s
    }

    /// Where the machines' files are.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// The settings file of a machine, as text.
    pub fn settings(&self, m: usize, first_start: bool) -> String {
        let seeds: Vec<usize> = self.cores().take(3).collect();
        self.settings_with(m, first_start, &seeds)
    }

    fn settings_with(&self, m: usize, first_start: bool, seeds: &[usize]) -> String {
        let me = &self.machines[m];
        let class = if me.core { "core" } else { "side" };
        let mut text = format!(
            "node: \"{}\"\nrole: \"{class}\"\nmachineClass: \"{class}\"\nip: \"{}\"\nzone: \"{}\"\nregion: \"vale\"\n",
            me.name, me.ip, me.zone
        );
        text.push_str("zones:\n");
        for z in 0..self.plan.zones {
            let _ = writeln!(text, "  {}: \"vale\"", zone(z));
        }
        let _ = writeln!(text, "countersAt:\n  control: \"{}\"", self.control(m));
        if !me.core {
            let (inbound, outbound, ready) = (self.at(m, 1), self.outbound(m), self.ready(m));
            let _ =
                writeln!(text, "  inbound: \"{inbound}\"\n  outbound: \"{outbound}\"\n  ready: \"{ready}\"");
            let _ = writeln!(text, "localStation: \"{}\"\ndestination: \"{}\"", self.station(m), me.service);
        }
        let _ = writeln!(
            text,
            "internalPorts:\n  - {}\n  - {}\nseeds:",
            self.internal(m).port(),
            self.first + INTERNAL.1
        );
        for c in seeds {
            let _ = writeln!(text, "  - \"{}\"", self.control(*c));
        }
        match me.core {
            true => writeln!(text, "dataDir: \"{}\"", me.dir.join("data").display()),
            false => writeln!(text, "dataDir: null"),
        }
        .unwrap_or_default();
        let _ = writeln!(
            text,
            "firstStart: {first_start}\ncounted: {}\nheartbeatS: {}\nsizeLimits:\n  memoryMb: 220\n  fileHandles: 4100",
            me.core, self.plan.beat_s
        );
        text.push_str("bounds:\n");
        for (name, value) in &self.plan.bounds {
            let _ = writeln!(text, "  - \"{name}={value}\"");
        }
        text
    }

    /// Start a machine's process. `first`: the whole mesh starts for the first time.
    pub fn start(&mut self, m: usize, first: bool) -> Result<()> {
        let settings = self.settings(m, first);
        self.start_by(m, settings)
    }

    /// Start it again, and tell it of these machines only.
    pub fn start_below(&mut self, m: usize, seeds: &[usize]) -> Result<()> {
        let settings = self.settings_with(m, false, seeds);
        self.start_by(m, settings)
    }

    fn start_by(&mut self, m: usize, settings: String) -> Result<()> {
        let program = self.program.clone();
        let me = &mut self.machines[m];
        if me.child.is_some() {
            bail!("{}: runs already", me.name);
        }
        let file = me.dir.join("boot.yaml");
        fs::write(&file, settings).with_context(|| format!("{}", file.display()))?;
        let log = File::options().create(true).append(true).open(me.dir.join("log"))?;
        let starting = STARTING.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let child = Command::new(&program)
            .arg(if me.core { "control" } else { "sidecar" })
            .args(&self.plan.words)
            .env_clear()
            .env("SILVERCROSS_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| format!("{}", program.display()))?;
        drop(starting);
        me.child = Some(child);
        Ok(())
    }

    /// Start all but the spare ones for the first time.
    pub fn start_all(&mut self) -> Result<()> {
        (0..self.spares().start).try_for_each(|m| self.start(m, true))
    }

    /// The process of a machine, if it runs.
    pub fn pid(&self, m: usize) -> Option<u32> {
        self.machines[m].child.as_ref().map(Child::id)
    }

    fn signal(&self, m: usize, signal: Signal) -> Result<()> {
        let pid = self.pid(m).and_then(|p| Pid::from_raw(p as i32));
        let pid = pid.with_context(|| format!("{}: does not run", self.machines[m].name))?;
        kill_process(pid, signal).with_context(|| self.machines[m].name.clone())
    }

    /// SIGKILL, and its end.
    pub fn kill(&mut self, m: usize) -> Result<()> {
        let name = self.machines[m].name.clone();
        let mut child = self.machines[m].child.take().with_context(|| format!("{name}: does not run"))?;
        child.kill().context(name.clone())?;
        child.wait().context(name)?;
        Ok(())
    }

    /// SIGSTOP.
    pub fn freeze(&self, m: usize) -> Result<()> {
        self.signal(m, Signal::STOP)
    }

    /// SIGCONT.
    pub fn thaw(&self, m: usize) -> Result<()> {
        self.signal(m, Signal::CONT)
    }

    /// SIGTERM; its end is for [`Mesh::has_ended`].
    pub fn terminate(&self, m: usize) -> Result<()> {
        self.signal(m, Signal::TERM)
    }

    /// Whether a machine's process is no more; it may be started again then.
    pub fn has_ended(&mut self, m: usize) -> bool {
        let me = &mut self.machines[m];
        let ended = match &mut me.child {
            None => true,
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
        };
        if ended {
            me.child = None;
        }
        ended
    }

    /// Empty the data folder of a machine that does not run.
    pub fn wipe(&mut self, m: usize) -> Result<()> {
        let me = &self.machines[m];
        if me.child.is_some() {
            bail!("{}: still runs", me.name);
        }
        let data = me.dir.join("data");
        fs::remove_dir_all(&data).and_then(|()| fs::create_dir_all(&data)).context(me.name.clone())
    }

    /// The last lines of a machine's log.
    pub fn log(&self, m: usize, lines: usize) -> Vec<String> {
        let text = fs::read(self.machines[m].dir.join("log")).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].iter().map(|l| l.to_string()).collect()
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        for child in self.machines.iter_mut().filter_map(|m| m.child.as_mut()) {
            let _ = child.kill();
        }
        for child in self.machines.iter_mut().filter_map(|m| m.child.as_mut()) {
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}
