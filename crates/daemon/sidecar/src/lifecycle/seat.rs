//! Coordination of two processes of one sidecar that run side by side during a restart. Each holds one of two files (seats)
//! in `$TMPDIR`, locked; the kernel releases the lock when the process ends, so the lock tells whether it is alive. The
//! contents are a hint and never state: a line that is missing, truncated or foreign counts as not serving.
use silvercross_core::interface::Micros;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, Write};
use std::path::{Path, PathBuf};

const SEAT_COUNT: usize = 2;
/// Prefix of the line in a seat file, with the format's version.
const LINE_PREFIX: &str = "silvercross-seat 1";
/// Maximum length of that line, in bytes.
const MAX_LINE_BYTES: u64 = 128;

/// Status that a process writes to its seat file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Said {
    /// Start time of the process.
    pub started: Micros,
    /// Whether the process serves.
    pub serves: bool,
    /// Number of its open connections.
    pub held: usize,
}

impl Said {
    fn line(&self) -> String {
        format!("{LINE_PREFIX} {} {} {}\n", self.started, u8::from(self.serves), self.held)
    }

    fn read(line: &str) -> Option<Said> {
        let mut words = line.strip_prefix(LINE_PREFIX)?.strip_suffix('\n')?.split_ascii_whitespace();
        let started = words.next()?.parse().ok()?;
        let serves = words.next()? == "1";
        let held = words.next()?.parse().ok()?;
        words.next().is_none().then_some(Said { started, serves, held })
    }
}

/// The seat file that this process holds locked.
pub struct Seat {
    file: File,
    other: PathBuf,
    started: Micros,
}

fn path(dir: &Path, number: usize) -> PathBuf {
    dir.join(format!("silvercross-seat-{number}"))
}

impl Seat {
    /// Takes a free seat; `None` if there is none, or if the files cannot be written or locked.
    pub fn take(dir: &Path, started: Micros) -> Option<Seat> {
        (0..SEAT_COUNT).find_map(|n| {
            let open =
                OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path(dir, n));
            let mut file = open.ok()?;
            file.try_lock().ok()?;
            // The previous holder's status does not apply to this process.
            file.set_len(0).and_then(|()| file.rewind()).ok()?;
            Some(Seat { file, other: path(dir, 1 - n), started })
        })
    }

    /// Writes whether this process serves, and its number of open connections.
    pub fn say(&mut self, serves: bool, held: usize) {
        let line = Said { started: self.started, serves, held }.line();
        let _ = self.file.rewind().and_then(|()| self.file.write_all(line.as_bytes()));
        // Removes the rest of a longer previous line.
        let _ = self.file.set_len(line.len() as u64);
    }

    /// Whether another process of this sidecar is alive.
    pub fn has_neighbour(&self) -> bool {
        self.neighbour().is_some()
    }

    /// Status of the other process, if one is alive; `Some(None)` if its status cannot be read.
    pub fn neighbour_says(&self) -> Option<Option<Said>> {
        let mut line = String::new();
        let read = self.neighbour()?.take(MAX_LINE_BYTES).read_to_string(&mut line);
        Some(read.ok().and_then(|_| Said::read(&line)))
    }

    /// Whether the other process started after this one and serves.
    pub fn has_successor(&self) -> bool {
        self.neighbour_says().flatten().is_some_and(|said| said.serves && said.started > self.started)
    }

    fn neighbour(&self) -> Option<File> {
        let file = File::open(&self.other).ok()?;
        match file.try_lock_shared() {
            Err(TryLockError::WouldBlock) => Some(file),
            // Not locked: the process that wrote the file has ended.
            Ok(()) | Err(TryLockError::Error(_)) => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn create_test_directory(name: &str) -> PathBuf {
        let dir = std::env::temp_dir().join(format!("silvercross-seat-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).expect("made");
        dir
    }

    #[test]
    fn a_ready_later_neighbour_is_a_successor_and_no_other() {
        let dir = create_test_directory("order");
        let mut old = Seat::take(&dir, 10).expect("free");
        assert!(!old.has_neighbour());
        let mut new = Seat::take(&dir, 20).expect("free");
        assert!(Seat::take(&dir, 30).is_none(), "a third has no seat");
        assert!(old.has_neighbour() && new.has_neighbour() && !old.has_successor());
        old.say(true, 100);
        new.say(false, 7);
        assert!(!old.has_successor(), "the newer process does not serve yet");
        new.say(true, 7);
        assert!(old.has_successor() && !new.has_successor());
        assert_eq!(old.neighbour_says().flatten().map(|s| s.held), Some(7));
        drop(new);
        assert!(
            !old.has_neighbour() && !old.has_successor(),
            "the status of a process counted after its end"
        );
        // The seat is free again, and taking it clears the previous status.
        let third = Seat::take(&dir, 30).expect("free");
        assert!(old.has_neighbour() && !old.has_successor());
        drop((old, third));
        std::fs::remove_dir_all(dir).expect("removed");
    }

    #[test]
    fn a_line_that_is_cut_foreign_or_of_another_version_is_no_successor() {
        let dir = create_test_directory("lines");
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
