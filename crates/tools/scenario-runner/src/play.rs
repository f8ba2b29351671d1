//! Plays a script once, or under several policies side by side.
use crate::sockets::{self, Program};
use silvercross_emulator::baselines::NAMED;
use silvercross_emulator::figures::Figures;
use silvercross_emulator::script::{Mode, Script};
use silvercross_emulator::{virtual_time, Policy};
use slog::Logger;
use std::path::PathBuf;

/// Who decides in a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Side {
    /// A policy by name, in this build.
    Policy(Policy),
    /// Another build of the sidecar.
    Build(PathBuf),
}

impl Side {
    /// A policy's name, or the path of a build.
    pub fn named(text: &str) -> Result<Side, String> {
        if let Some(p) = Policy::named(text) {
            return Ok(Side::Policy(p));
        }
        let path = PathBuf::from(text);
        if path.is_file() {
            return Ok(Side::Build(path));
        }
        let names: Vec<&str> = NAMED.iter().map(|n| n.0).collect();
        Err(format!("{text:?} is no policy (module, {}) and no file", names.join(", ")))
    }

    /// As it is shown.
    pub fn name(&self) -> String {
        match self {
            Side::Policy(p) => p.name().to_string(),
            Side::Build(path) => path.display().to_string(),
        }
    }
}

/// Play a script once.
pub fn once(script: &Script, seed: u64, mode: Mode, side: &Side, log: &Logger) -> Result<Figures, String> {
    match (mode, side) {
        (Mode::Virtual, Side::Policy(p)) => Ok(virtual_time::play(script, seed, *p)),
        (Mode::Virtual, Side::Build(path)) => {
            Err(format!("{}: a build is played on sockets only: add --mode sockets", path.display()))
        }
        (Mode::Sockets, side) => {
            let mut figures = sockets::play(script, seed, &program(side)?, log)?;
            figures.policy = side.name();
            Ok(figures)
        }
    }
}

/// What to start for a side on sockets: this very program as a sidecar, so that nothing else needs to be built first.
pub fn program(side: &Side) -> Result<Program, String> {
    match side {
        Side::Build(path) => Ok(Program { path: path.clone(), args: Vec::new() }),
        Side::Policy(p) => {
            let path =
                std::env::current_exe().map_err(|e| format!("cannot find this program's own file: {e}"))?;
            Ok(Program { path, args: vec!["sidecar".into(), p.name().into()] })
        }
    }
}

/// Play the plain policies on the very same run, in simulated time, side by side, and note what they got.
pub fn baselines(script: &Script, seed: u64, figures: &mut Figures) {
    let done: Vec<(&str, Figures)> = std::thread::scope(|scope| {
        let run = |pick| scope.spawn(move || virtual_time::play(script, seed, Policy::Plain(pick)));
        let runs = NAMED.map(|(name, pick)| (name, run(pick)));
        runs.into_iter().filter_map(|(name, run)| Some((name, run.join().ok()?))).collect()
    });
    figures.baselines = done.iter().map(|(name, f)| (name.to_string(), f.served_worth)).collect();
    figures.baselines_broken = done.iter().map(|(name, f)| (name.to_string(), f.rules.broken())).collect();
}
