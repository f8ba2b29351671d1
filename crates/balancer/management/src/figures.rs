//! The figures: each has its one definition here.
use std::fmt::Write;

/// Classes that are gone are kept while they count; past so many the one that has been gone for longest makes room.
const GONE_KEPT: usize = 64;

#[derive(Debug)]
struct OfClass {
    name: String,
    fulfilled: u64,
    throttled: u64,
    faulted: u64,
    /// The change of settings that dropped it.
    gone: Option<u64>,
}

/// What is counted from the start of the process on.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<OfClass>,
    changes: u64,
    relayed: u64,
    accepted: u64,
    invalid: u64,
}

/// What is read at the moment of the call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests taken whose final answer is not out.
    pub open_requests: usize,
    /// Upstreams in the list, those that drain included.
    pub registry_entries: usize,
    /// Those of them that would not be picked now, for their failures or their drain.
    pub out_of_rotation: usize,
}

type Count = fn(&OfClass) -> u64;

impl Metrics {
    /// All at 0, for these classes.
    pub fn new(classes: &[String]) -> Self {
        let mut new = Metrics::default();
        new.set_classes(classes);
        new
    }

    /// The settings name these classes now. One that comes begins at 0, one that comes back goes on, one that is
    /// gone keeps its line.
    pub fn set_classes(&mut self, names: &[String]) {
        self.changes += 1;
        for c in &mut self.classes {
            c.gone = if names.contains(&c.name) { None } else { c.gone.or(Some(self.changes)) };
        }
        for name in names {
            if self.class_index(name).is_some() {
                continue;
            }
            let fresh = OfClass { name: name.clone(), fulfilled: 0, throttled: 0, faulted: 0, gone: None };
            let gone = self.classes.iter().enumerate().filter_map(|(i, c)| c.gone.map(|since| (since, i)));
            match gone.clone().min().filter(|_| gone.count() >= GONE_KEPT) {
                Some((_, i)) => self.classes[i] = fresh,
                None => self.classes.push(fresh),
            }
        }
    }

    /// Where a class is counted.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name)
    }

    /// The final answer to a request of a class was handed to its client's connection: 200 is fulfilled, 429 and 503
    /// are throttled, all else is faulted.
    pub fn count_response(&mut self, class: usize, status: u16) {
        let Some(c) = self.classes.get_mut(class) else { return };
        match status {
            200 => c.fulfilled += 1,
            429 | 503 => c.throttled += 1,
            _ => c.faulted += 1,
        }
    }

    /// The last byte of an attempt was written to an upstream.
    pub fn count_relayed(&mut self) {
        self.relayed += 1;
    }

    /// A file was taken at SIGHUP, or turned down.
    pub fn count_reload(&mut self, taken: bool) {
        *(if taken { &mut self.accepted } else { &mut self.invalid }) += 1;
    }

    /// All figures, one a line.
    pub fn render(&self, gauges: &Gauges) -> String {
        let mut out = String::with_capacity(256 + self.classes.len() * 160);
        let counts: [(&str, Count); 3] =
            [("fulfilled", |c| c.fulfilled), ("throttled", |c| c.throttled), ("faulted", |c| c.faulted)];
        for (what, count) in counts {
            for c in &self.classes {
                let _ = writeln!(out, "svc_{what}_total{{priority=\"{}\"}} {}", escaped(&c.name), count(c));
            }
        }
        for (what, figure) in [
            ("relayed_total", self.relayed),
            ("open_requests", gauges.open_requests as u64),
            ("registry_entries", gauges.registry_entries as u64),
            ("out_of_rotation", gauges.out_of_rotation as u64),
            ("cfg_accepted_total", self.accepted),
            ("cfg_invalid_total", self.invalid),
        ] {
            let _ = writeln!(out, "svc_{what} {figure}");
        }
        out
    }
}

/// A label's value in quotes.
fn escaped(name: &str) -> String {
    name.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(of: &[&str]) -> Vec<String> {
        of.iter().map(|n| n.to_string()).collect()
    }

    fn line(f: &Metrics, line: &str) -> bool {
        f.render(&Gauges::default()).lines().any(|l| l == line)
    }

    #[test]
    fn each_answer_counts_once_by_its_status() {
        let mut f = Metrics::new(&names(&["a", "b"]));
        assert!(line(&f, "svc_faulted_total{priority=\"b\"} 0"), "every class is there from the start");
        let a = f.class_index("a").expect("named");
        for status in [200, 200, 429, 503, 502, 400, 408] {
            f.count_response(a, status);
        }
        for (what, n) in [("fulfilled", 2), ("throttled", 2), ("faulted", 3)] {
            assert!(line(&f, &format!("svc_{what}_total{{priority=\"a\"}} {n}")), "{what}");
            assert!(line(&f, &format!("svc_{what}_total{{priority=\"b\"}} 0")), "{what}");
        }
    }

    #[test]
    fn a_class_that_is_gone_keeps_its_line_and_goes_on_when_it_is_back() {
        let mut f = Metrics::new(&names(&["a", "b"]));
        f.count_response(f.class_index("b").expect("named"), 200);
        f.set_classes(&names(&["a", "c"]));
        assert!(line(&f, "svc_fulfilled_total{priority=\"b\"} 1"));
        assert!(line(&f, "svc_fulfilled_total{priority=\"c\"} 0"));
        f.set_classes(&names(&["b"]));
        f.count_response(f.class_index("b").expect("named"), 200);
        assert!(line(&f, "svc_fulfilled_total{priority=\"b\"} 2"));
    }

    #[test]
    fn a_thousand_changes_do_not_pile_up() {
        let mut f = Metrics::new(&names(&["stays"]));
        f.count_response(0, 200);
        for n in 0..1_000 {
            f.set_classes(&names(&["stays", &format!("c{n}")]));
        }
        assert!(f.classes.len() <= GONE_KEPT + 2, "{}", f.classes.len());
        assert!(line(&f, "svc_fulfilled_total{priority=\"stays\"} 1"));
        assert!(f.class_index("c999").is_some() && f.class_index("c900").is_none());
    }

    #[test]
    fn a_name_cannot_break_out_of_its_label() {
        let f = Metrics::new(&names(&["a\"} 9\nsvc_x \\"]));
        assert!(
            line(&f, r#"svc_fulfilled_total{priority="a\"} 9\nsvc_x \\"} 0"#),
            "{}",
            f.render(&Gauges::default())
        );
    }

    #[test]
    fn gauges_are_as_they_are_told() {
        let mut f = Metrics::new(&[]);
        f.count_relayed();
        f.count_reload(true);
        f.count_reload(false);
        f.count_reload(false);
        let text = f.render(&Gauges { open_requests: 14, registry_entries: 8, out_of_rotation: 1 });
        assert_eq!(
            text,
            "svc_relayed_total 1\nsvc_open_requests 14\nsvc_registry_entries 8\nsvc_out_of_rotation 1\n\
             svc_cfg_accepted_total 1\nsvc_cfg_invalid_total 2\n"
        );
    }
}
