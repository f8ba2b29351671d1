//! The machines and their processes.
use super::address_block::{lock_starts, AddressBlock, Port, PortRange, INTERNAL_PORTS};
use super::plan::{zone_name, MeshPlan};
use super::settings_file::{MachineSettings, SideSettings};
use crate::identifiers::unique_number;
use anyhow::{bail, Context, Result};
use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Machines of a mesh, at most.
const MAX_MACHINES: usize = 250;
/// Control machines that a process is told of at its start.
const SEEDS: usize = 3;

/// A program of another build than the mesh's.
#[derive(Clone, Debug)]
pub struct OtherProgram {
    /// Where it is.
    pub path: PathBuf,
    /// Its word on the command line for this kind of machine; `None`: as the mesh's.
    pub word: Option<String>,
}

/// One machine.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// Whether it holds, or may hold, the control state.
    pub is_control: bool,
    /// The service of its upstream; empty on a control machine.
    pub service: String,
    dir: PathBuf,
    child: Option<Child>,
    other_program: Option<OtherProgram>,
}

/// All machines, and the folder of their files. Dropping it ends the processes and removes the folder.
#[derive(Debug)]
pub struct Mesh {
    /// Control machines first, then sides, then spare control machines.
    pub machines: Vec<Machine>,
    plan: MeshPlan,
    program: PathBuf,
    block: AddressBlock,
    dir: PathBuf,
}

fn check(plan: &MeshPlan) -> Result<()> {
    let count = plan.machine_count();
    let is_complete =
        plan.control_count > 0 && plan.side_count > 0 && plan.zone_count > 0 && !plan.services.is_empty();
    if !is_complete || count > MAX_MACHINES {
        bail!("a mesh has control machines, sides, zones and services, and {MAX_MACHINES} machines at most");
    }
    let linked = INTERNAL_PORTS.last - INTERNAL_PORTS.first;
    if plan.has_links && count > usize::from(linked) {
        bail!("with links in between, a mesh has {linked} machines at most");
    }
    Ok(())
}

fn machine(plan: &MeshPlan, block: &AddressBlock, dir: &Path, number: usize) -> Machine {
    let sides = plan.control_count..plan.control_count + plan.side_count;
    let is_control = !sides.contains(&number);
    // The number among machines of its kind.
    let of_kind = match is_control {
        true if number >= sides.end => number - plan.side_count,
        true => number,
        false => number - sides.start,
    };
    let name = format!("{}-{}", if is_control { "core" } else { "side" }, of_kind + 1);
    let service = if is_control { "" } else { &plan.services[of_kind % plan.services.len()] };
    Machine {
        dir: dir.join(&name),
        name,
        address: block.address(number),
        zone: zone_name(of_kind % plan.zone_count),
        is_control,
        service: service.to_string(),
        child: None,
        other_program: None,
    }
}

impl Mesh {
    /// Prepare the machines; nothing runs yet.
    ///
    /// # Errors
    /// When the plan can't be, no addresses are free, or a folder can't be made.
    pub fn prepare(plan: &MeshPlan, program: &Path) -> Result<Self> {
        check(plan)?;
        let count = plan.machine_count();
        let block = AddressBlock::find(count)?;
        let (process, number) = (std::process::id(), unique_number() as u32);
        let dir = std::env::temp_dir().join(format!("silvercross-testbed-{process}-{number:08x}"));
        fs::create_dir(&dir).with_context(|| format!("{}", dir.display()))?;
        let machines = (0..count).map(|number| machine(plan, &block, &dir, number)).collect();
        let mesh = Mesh { machines, plan: plan.clone(), program: program.to_path_buf(), block, dir };
        for machine in &mesh.machines {
            fs::create_dir_all(machine.data_dir())?;
        }
        Ok(mesh)
    }

    /// Where upstreams and operators call.
    pub fn control(&self, machine: usize) -> SocketAddr {
        self.block.at(machine, Port::Control)
    }

    /// Where the platform asks.
    pub fn ready(&self, machine: usize) -> SocketAddr {
        self.block.at(machine, Port::Ready)
    }

    /// Where the upstream is.
    pub fn upstream(&self, machine: usize) -> SocketAddr {
        self.block.at(machine, Port::Upstream)
    }

    /// Where the machine's clients bring their requests.
    pub fn outbound(&self, machine: usize) -> SocketAddr {
        self.block.at(machine, Port::Outbound)
    }

    /// Where a machine takes what other sidecars send to it, and the port at which it calls them.
    pub fn internal(&self, machine: usize) -> SocketAddr {
        self.block.internal(machine, if self.plan.has_links { machine as u16 } else { 0 })
    }

    /// What a connection between two machines carries, in bytes a second.
    pub(crate) fn link_bytes_per_second(&self) -> Option<u64> {
        self.plan.link_bytes_per_second
    }

    /// Numbers of the machines that hold the control state.
    pub fn control_machines(&self) -> Range<usize> {
        0..self.plan.control_count
    }

    /// Numbers of the machines with an upstream.
    pub fn side_machines(&self) -> Range<usize> {
        self.plan.control_count..self.plan.control_count + self.plan.side_count
    }

    /// Numbers of the machines that may hold the control state, and don't run at the start.
    pub fn spare_machines(&self) -> Range<usize> {
        self.plan.control_count + self.plan.side_count..self.machines.len()
    }

    /// Between two heartbeats of an upstream, in seconds.
    pub fn heartbeat_s(&self) -> f64 {
        self.plan.heartbeat_s
    }

    /// Where the machines' files are.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// The settings file of a machine that is told of these others.
    fn settings(&self, number: usize, is_first_start: bool, seeds: &[usize]) -> String {
        let machine = &self.machines[number];
        let data_dir = machine.data_dir();
        let side = (!machine.is_control).then(|| SideSettings {
            inbound: self.block.at(number, Port::Inbound),
            outbound: self.outbound(number),
            ready: self.ready(number),
            upstream: self.upstream(number),
            service: &machine.service,
        });
        let settings = MachineSettings {
            name: &machine.name,
            address: machine.address,
            zone: &machine.zone,
            control: self.control(number),
            side,
            data_dir: machine.is_control.then_some(data_dir.as_path()),
            internal_ports: PortRange {
                first: self.internal(number).port(),
                last: self.block.last_internal_port(),
            },
            seeds: seeds.iter().map(|seed| self.control(*seed)).collect(),
            is_first_start,
        };
        settings.text(&self.plan)
    }

    /// Start a machine's process. `is_first_start`: the mesh starts for the first time.
    ///
    /// # Errors
    /// When it runs already or can't be started.
    pub fn start(&mut self, machine: usize, is_first_start: bool) -> Result<()> {
        let seeds: Vec<usize> = self.control_machines().take(SEEDS).collect();
        let settings = self.settings(machine, is_first_start, &seeds);
        self.start_with_settings(machine, &settings)
    }

    /// Start it again, and tell it of these machines only.
    ///
    /// # Errors
    /// When it runs already or can't be started.
    pub fn start_with_seeds(&mut self, machine: usize, seeds: &[usize]) -> Result<()> {
        let settings = self.settings(machine, false, seeds);
        self.start_with_settings(machine, &settings)
    }

    /// The next start of a machine is of this program; `None`: of the mesh's.
    pub fn use_program(&mut self, machine: usize, program: Option<OtherProgram>) {
        self.machines[machine].other_program = program;
    }

    fn start_with_settings(&mut self, machine: usize, settings: &str) -> Result<()> {
        let machine = &mut self.machines[machine];
        if machine.child.is_some() {
            bail!("{}: runs already", machine.name);
        }
        let file = machine.dir.join("boot.yaml");
        fs::write(&file, settings).with_context(|| format!("{}", file.display()))?;
        let log = File::options().create(true).append(true).open(machine.dir.join("log"))?;
        let other = machine.other_program.as_ref();
        let program = other.map_or(&self.program, |other| &other.path);
        let word = if machine.is_control { "control" } else { "sidecar" };
        let lock = lock_starts();
        let child = Command::new(program)
            .arg(other.and_then(|other| other.word.as_deref()).unwrap_or(word))
            .args(&self.plan.arguments)
            .env_clear()
            .env("SILVERCROSS_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| format!("{}", program.display()))?;
        drop(lock);
        machine.child = Some(child);
        Ok(())
    }

    /// Start all but the spare ones for the first time.
    ///
    /// # Errors
    /// When one can't be started.
    pub fn start_all(&mut self) -> Result<()> {
        (0..self.spare_machines().start).try_for_each(|machine| self.start(machine, true))
    }

    /// The process of a machine, if it runs.
    pub fn pid(&self, machine: usize) -> Option<u32> {
        self.machines[machine].child.as_ref().map(Child::id)
    }

    fn signal(&self, machine: usize, signal: Signal) -> Result<()> {
        let name = &self.machines[machine].name;
        let pid = self.pid(machine).and_then(|pid| Pid::from_raw(pid as i32));
        kill_process(pid.with_context(|| format!("{name}: does not run"))?, signal).context(name.clone())
    }

    /// SIGKILL, and its end.
    ///
    /// # Errors
    /// When it does not run.
    pub fn kill(&mut self, machine: usize) -> Result<()> {
        let machine = &mut self.machines[machine];
        let name = &machine.name;
        let mut child = machine.child.take().with_context(|| format!("{name}: does not run"))?;
        child.kill().with_context(|| name.clone())?;
        child.wait().with_context(|| name.clone())?;
        Ok(())
    }

    /// SIGSTOP.
    ///
    /// # Errors
    /// When it does not run.
    pub fn freeze(&self, machine: usize) -> Result<()> {
        self.signal(machine, Signal::STOP)
    }

    /// SIGCONT.
    ///
    /// # Errors
    /// When it does not run.
    pub fn thaw(&self, machine: usize) -> Result<()> {
        self.signal(machine, Signal::CONT)
    }

    /// SIGTERM; its end is for [`Mesh::has_ended`].
    ///
    /// # Errors
    /// When it does not run.
    pub fn terminate(&self, machine: usize) -> Result<()> {
        self.signal(machine, Signal::TERM)
    }

    /// SIGHUP.
    ///
    /// # Errors
    /// When it does not run.
    pub fn hang_up(&self, machine: usize) -> Result<()> {
        self.signal(machine, Signal::HUP)
    }

    /// Whether a machine's process is no more; it may be started again then.
    pub fn has_ended(&mut self, machine: usize) -> bool {
        let child = &mut self.machines[machine].child;
        let has_ended = child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
        if has_ended {
            *child = None;
        }
        has_ended
    }

    /// Empty the data folder of a machine that does not run.
    ///
    /// # Errors
    /// When it runs or the folder can't be emptied.
    pub fn wipe(&mut self, machine: usize) -> Result<()> {
        let machine = &self.machines[machine];
        if machine.child.is_some() {
            bail!("{}: still runs", machine.name);
        }
        let data = machine.data_dir();
        fs::remove_dir_all(&data).and_then(|()| fs::create_dir_all(&data)).context(machine.name.clone())
    }

    /// The last lines of a machine's log.
    pub fn log(&self, machine: usize, lines: usize) -> Vec<String> {
        let bytes = fs::read(self.machines[machine].dir.join("log")).unwrap_or_default();
        let text = String::from_utf8_lossy(&bytes);
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].iter().map(|line| line.to_string()).collect()
    }
}

impl Machine {
    fn data_dir(&self) -> PathBuf {
        self.dir.join("data")
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        // All are killed before the first is waited for. One that has ended already is no fault.
        for child in self.machines.iter_mut().filter_map(|machine| machine.child.as_mut()) {
            let _ = child.kill();
        }
        for child in self.machines.iter_mut().filter_map(|machine| machine.child.as_mut()) {
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}
