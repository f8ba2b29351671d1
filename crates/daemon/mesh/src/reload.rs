//! Other settings in a running process: at SIGHUP, and when the file has changed. What can change takes hold; the rest is named; a
//! file that can't be used changes nothing.
use crate::node_state::NodeState;
use crate::settings::{self, NodeSettings};
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::SystemTime;

/// The settings file as it was last looked at.
#[derive(Default)]
pub struct Reload {
    path: RefCell<Option<PathBuf>>,
    seen: Cell<Option<(SystemTime, u64)>>,
}

/// What came of looking.
#[derive(Debug, PartialEq, Eq)]
pub enum Looked {
    /// It has not changed.
    Same,
    /// It can't be used: why.
    Unusable(String),
    /// These keys took hold, and these would at the next start.
    Taken(Vec<&'static str>, Vec<&'static str>),
}

fn stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let meta = std::fs::metadata(path).ok()?;
    Some((meta.modified().ok()?, meta.len()))
}

impl Reload {
    /// This is the file, read a moment ago.
    pub fn begin(&self, path: &Path) {
        self.seen.set(stamp(path));
        *self.path.borrow_mut() = Some(path.to_path_buf());
    }
}

/// Look at the file; `asked`: read it even if it looks the same.
pub fn look(node_state: &Rc<NodeState>, asked: bool) -> Looked {
    let Some(path) = node_state.reload.path.borrow().clone() else { return Looked::Same };
    let stamp = stamp(&path);
    if !asked && stamp == node_state.reload.seen.get() {
        return Looked::Same;
    }
    node_state.reload.seen.set(stamp);
    let settings = match settings::read(&path) {
        Ok(settings) => settings,
        Err(why) => {
            warn!(node_state.log, "the settings file can't be used, nothing is changed"; "why" => &why);
            return Looked::Unusable(why);
        }
    };
    let took = node_state.take(&settings);
    let later = fixed(&node_state.settings, &settings);
    if !took.is_empty() {
        info!(node_state.log, "settings in force"; "keys" => took.join(" "));
    }
    if !later.is_empty() {
        info!(node_state.log, "settings that need a restart"; "keys" => later.join(" "));
    }
    Looked::Taken(took, later)
}

/// The keys that differ and are read at the start only.
fn fixed(old: &NodeSettings, new: &NodeSettings) -> Vec<&'static str> {
    let pairs = [
        ("node", old.node != new.node),
        ("ip", old.ip != new.ip),
        ("zone", old.zone != new.zone),
        ("zones", old.zones != new.zones),
        ("countersAt.inbound", old.inbound != new.inbound),
        ("countersAt.outbound", old.outbound != new.outbound),
        ("countersAt.ready", old.ready != new.ready),
        ("countersAt.control", old.control != new.control),
        ("internalPorts", old.ports != new.ports),
        ("sizeLimits.memoryMb", old.memory != new.memory),
        ("sizeLimits.fileHandles", old.descriptors != new.descriptors),
        ("dataDir", old.data != new.data),
        ("localStation", old.station != new.station),
        ("destination", old.destination != new.destination),
    ];
    pairs.into_iter().filter(|p| p.1).map(|p| p.0).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::tests::support::{self, SidecarOptions};
    use silvercross_admission::State;

    #[test]
    fn what_can_change_takes_hold_the_rest_is_named_and_a_broken_file_changes_nothing() {
        support::run(async {
            let (_, at) = support::station().await;
            let (sidecar, text) = support::sidecar_of(1, at, SidecarOptions::default()).await;
            let node_state = &sidecar.node_state;
            let path =
                std::env::temp_dir().join(format!("silvercross-mesh-reload-{}.yaml", std::process::id()));
            let write = |text: &str| std::fs::write(&path, text).expect("written");
            write(&text);
            node_state.reload.begin(&path);
            assert_eq!(look(node_state, false), Looked::Same);
            assert_eq!(look(node_state, true), Looked::Taken(vec![], vec![]));
            let more = "heartbeatS: 0.7\nseeds: ['127.0.0.9:1']\nbounds: ['drainS=0', 'retrySlack=6']\n";
            write(&format!("{text}{more}"));
            assert_eq!(look(node_state, false), Looked::Taken(vec!["seeds", "heartbeatS", "bounds"], vec![]));
            let reloadable = node_state.reloadable.get();
            assert_eq!(
                (reloadable.beat, reloadable.bounds.drain, reloadable.bounds.retry_slack),
                (700_000, 0, 6.0)
            );
            // The gate goes by it: a leaving upstream gets nothing from here on.
            sidecar.beat();
            let draining = "{\"destination\":\"quotes\",\"state\":\"draining\",\"slots\":8,\"sequence\":2}";
            node_state.upstream_heartbeat("i-127.0.0.1", serde_json::from_str(draining).expect("a beat"));
            let state = node_state.gate.with_admission(|w| w.station().map(|s| s.state));
            assert!(
                matches!(state, Some(State::Draining(until)) if until <= node_state.now().as_micros()),
                "{state:?}"
            );
            write("zone: ''\n");
            assert!(matches!(look(node_state, false), Looked::Unusable(_)));
            assert_eq!(look(node_state, false), Looked::Same);
            assert_eq!(node_state.reloadable.get(), reloadable);
            write(&format!("{text}{more}").replace("destination: quotes", "destination: other"));
            assert_eq!(look(node_state, false), Looked::Taken(vec![], vec!["destination"]));
            std::fs::remove_file(&path).expect("removed");
            assert!(matches!(look(node_state, false), Looked::Unusable(_)));
        });
    }
}
