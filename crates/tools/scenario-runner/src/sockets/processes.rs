//! The sidecars as processes: started with a configuration of their own, heard by their log, ended with the run whatever
//! becomes of it.
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::thread;

/// Lines of a sidecar's log that are kept to be shown when it ends.
const KEPT: usize = 8;

/// The program of a sidecar, and what it is started with.
#[derive(Clone, Debug)]
pub struct Program {
    /// The file.
    pub path: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
}

/// What a sidecar reads at its start.
#[derive(Clone, Copy, Debug)]
pub struct Files<'p> {
    /// Its configuration.
    pub config: &'p Path,
    /// Its fleet's file, if it is a member of one.
    pub fleet: Option<&'p Path>,
}

/// A sidecar has said where it listens.
pub struct Started {
    /// Which one.
    pub number: usize,
    /// Its how-manieth start.
    pub life: u32,
    /// Where it listens; `None`: it ended before it said so.
    pub at: Option<SocketAddr>,
    /// Where a gateway listens for the other side.
    pub link: Option<SocketAddr>,
    /// Where operators connect.
    pub management: Option<SocketAddr>,
    /// Where it takes what other members of its fleet send.
    pub fleet: Option<SocketAddr>,
}

/// A running sidecar. Dropping it ends it.
pub struct Process {
    child: Child,
    /// The end of this pipe tells a sidecar of ours that the rehearsal is gone, however that came.
    _alive: Option<ChildStdin>,
    last: Arc<Mutex<VecDeque<String>>>,
}

impl Process {
    /// Start one; `started` and then a byte on `wake` come once it has said where it listens.
    pub fn start(
        program: &Program,
        role: &[&str],
        files: Files<'_>,
        number: usize,
        life: u32,
        started: Sender<Started>,
        wake: UnixStream,
    ) -> Result<Self, String> {
        let mut command = Command::new(&program.path);
        command.args(&program.args).args(role).env_clear().env("PROXY_CONFIG", files.config);
        if let Some(fleet) = files.fleet {
            command.env("PROXY_FLEET", fleet);
        }
        command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", program.path.display()))?;
        let alive = child.stdin.take();
        let lines = child.stderr.take().map(BufReader::new);
        let last: Arc<Mutex<VecDeque<String>>> = Arc::default();
        let kept = last.clone();
        thread::spawn(move || {
            let mut told = false;
            let tell = |at, link, management, fleet| {
                let _ = started.send(Started { number, life, at, link, management, fleet });
                let _ = (&wake).write_all(b"s");
            };
            for line in lines.into_iter().flat_map(|l| l.lines().map_while(io::Result::ok)) {
                if !told {
                    let value: Option<serde_json::Value> = serde_json::from_str(&line).ok();
                    let said =
                        |key: &str| value.as_ref().and_then(|v| v[key].as_str()).and_then(|a| a.parse().ok());
                    let at = said("listen").or_else(|| said("near"));
                    if at.is_some() {
                        told = true;
                        tell(at, said("link"), said("management"), said("fleet"));
                    }
                }
                if let Ok(mut kept) = kept.lock() {
                    if kept.len() >= KEPT {
                        kept.pop_front();
                    }
                    kept.push_back(line);
                }
            }
            if !told {
                tell(None, None, None, None);
            }
        });
        Ok(Process { child, _alive: alive, last })
    }

    /// Whether it has ended by itself, with its last line.
    pub fn has_ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok().flatten()?;
        Some(format!("{status}: {}", self.last_line()))
    }

    /// Ask it to stop, as a planned restart does.
    pub fn ask_to_stop(&self) {
        self.signal("TERM");
    }

    /// Send it a signal by name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &pid]).stderr(Stdio::null()).status();
    }

    /// The last line it logged.
    pub fn last_line(&self) -> String {
        let last = self.last.lock().ok().and_then(|l| l.back().cloned());
        last.unwrap_or_else(|| "it logged nothing".into())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A file for a sidecar's configuration.
pub fn write_config(folder: &Path, number: usize, config: &serde_json::Value) -> Result<PathBuf, String> {
    let path = folder.join(format!("n{number}.json"));
    std::fs::write(&path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(path)
}
