//! Two processes of one sidecar for a while: which of them lives and which is ready, told by two files in `$TMPDIR`, each with a lock
//! that the kernel lets go with its holder. What is in them is a hint and never state: one that is missing, cut or foreign is no
//! neighbour.
use silvercross_core::interface::Micros;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, Write};
use std::path::{Path, PathBuf};

const SEATS: usize = 2;
/// The form of the line in a seat, and its version.
const FORM: &str = "silvercross-seat 1";
/// No line is longer.
const MOST: u64 = 128;

/// What a process says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Said {
    /// When it started.
    pub started: Micros,
    /// Whether it serves.
    pub serves: bool,
    /// How many connections it holds.
    pub held: usize,
}

impl Said {
    fn line(&self) -> String {
        format!("{FORM} {} {} {}\n", self.started, u8::from(self.serves), self.held)
    }

    fn read(line: &str) -> Option<Said> {
        let mut words = line.strip_prefix(FORM)?.strip_suffix('\n')?.split_ascii_whitespace();
        let started = words.next()?.parse().ok()?;
        let serves = words.next()? == "1";
        let held = words.next()?.parse().ok()?;
        words.next().is_none().then_some(Said { started, serves, held })
    }
}

/// This process's seat.
pub struct Seat {
    file: File,
    other: PathBuf,
    started: Micros,
}

fn path(dir: &Path, number: usize) -> PathBuf {
    dir.join(format!("silvercross-seat-{number}"))
}

impl Seat {
    /// Take a free seat; `None` where there is none, or files cannot be written or locked.
    pub fn take(dir: &Path, started: Micros) -> Option<Seat> {
        (0..SEATS).find_map(|n| {
            let open =
                OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path(dir, n));
            let mut file = open.ok()?;
            file.try_lock().ok()?;
            // What the last holder wrote is not true of this one.
            file.set_len(0).and_then(|()| file.rewind()).ok()?;
            Some(Seat { file, other: path(dir, 1 - n), started })
        })
    }

    /// Say whether this process serves, and what it holds.
    pub fn say(&mut self, serves: bool, held: usize) {
        let line = Said { started: self.started, serves, held }.line();
        let _ = self.file.rewind().and_then(|()| self.file.write_all(line.as_bytes()));
        // A shorter line than the last leaves none of it behind.
        let _ = self.file.set_len(line.len() as u64);
    }

    /// Whether another process of this sidecar lives.
    pub fn has_neighbour(&self) -> bool {
        self.neighbour().is_some()
    }

    /// What the other process says, if one lives: `Some(None)` where that cannot be read.
    pub fn neighbour_says(&self) -> Option<Option<Said>> {
        let mut line = String::new();
        let read = self.neighbour()?.take(MOST).read_to_string(&mut line);
        Some(read.ok().and_then(|_| Said::read(&line)))
    }

    /// Whether that other process started after this one and serves.
    pub fn has_successor(&self) -> bool {
        self.neighbour_says().flatten().is_some_and(|said| said.serves && said.started > self.started)
    }

    fn neighbour(&self) -> Option<File> {
        let file = File::open(&self.other).ok()?;
        match file.try_lock_shared() {
            Err(TryLockError::WouldBlock) => Some(file),
            // Nobody holds it: whoever wrote there has ended.
            Ok(()) | Err(TryLockError::Error(_)) => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let dir = std::env::temp_dir().join(format!("silvercross-seat-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("made");
        dir
    }

    #[test]
    fn a_ready_later_neighbour_is_a_successor_and_no_other() {
        let dir = folder("order");
        let mut old = Seat::take(&dir, 10).expect("free");
        assert!(!old.has_neighbour());
        let mut new = Seat::take(&dir, 20).expect("free");
        assert!(Seat::take(&dir, 30).is_none(), "a third has no seat");
        assert!(old.has_neighbour() && new.has_neighbour() && !old.has_successor());
        old.say(true, 100);
        new.say(false, 7);
        assert!(!old.has_successor(), "it does not serve yet");
        new.say(true, 7);
        assert!(old.has_successor() && !new.has_successor());
        assert_eq!(old.neighbour_says().flatten().map(|s| s.held), Some(7));
        drop(new);
        assert!(!old.has_neighbour() && !old.has_successor(), "what a process wrote is void with its end");
        // Its seat is free again, and what it wrote there is gone.
        let third = Seat::take(&dir, 30).expect("free");
        assert!(old.has_neighbour() && !old.has_successor());
        drop((old, third));
        std::fs::remove_dir_all(dir).expect("removed");
    }

    #[test]
    fn a_line_that_is_cut_foreign_or_of_another_version_is_no_successor() {
        let dir = folder("lines");
        let old = Seat::take(&dir, 10).expect("free");
        let mut new = Seat::take(&dir, 20).expect("free");
        for (line, good) in [
            ("", false),
            ("silvercross-seat 1 20 1 2", false),
            ("silvercross-seat 2 20 1 2\n", false),
            ("silvercross-seat 1 20 1 2 3\n", false),
            ("silvercross-seat 1 20 1\n", false),
            ("silvercross-seat 1 20 0 2\n", false),
            ("silvercross-seat 1 x 1 2\n", false),
            ("something else\n", false),
            ("\u{fffd}\n", false),
            ("silvercross-seat 1 20 1 2\n", true),
        ] {
            new.file.set_len(0).expect("cut");
            new.file.rewind().expect("rewound");
            new.file.write_all(line.as_bytes()).expect("written");
            assert_eq!(old.has_successor(), good, "{line:?}");
        }
        drop((old, new));
        std::fs::remove_dir_all(dir).expect("removed");
    }
}
