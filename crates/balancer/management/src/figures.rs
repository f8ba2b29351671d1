//! The metrics, each of which is defined here.
use std::fmt::Write;

/// Maximum number of removed classes whose counters are kept; beyond it the one that was removed first is replaced.
const MAX_REMOVED: usize = 64;

#[derive(Debug)]
struct ClassCounters {
    name: String,
    fulfilled: u64,
    throttled: u64,
    faulted: u64,
    /// Index of the change of settings that removed it.
    removed_by: Option<u64>,
}

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<ClassCounters>,
    changes: u64,
    relayed: u64,
    accepted: u64,
    invalid: u64,
}

/// Gauges, read at the time of the call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Accepted requests without a final answer.
    pub open_requests: usize,
    /// Upstreams in the list, draining ones included.
    pub registry_entries: usize,
    /// Those of them that are not picked now, because of failures or a drain.
    pub out_of_rotation: usize,
}

type Count = fn(&ClassCounters) -> u64;

impl Metrics {
    /// Creates metrics for these classes, with all counters at 0.
    pub fn new(classes: &[String]) -> Self {
        let mut new = Metrics::default();
        new.set_classes(classes);
        new
    }

    /// Sets the configured classes. A new class starts at 0, a class that is configured again continues its counters, and a
    /// removed class keeps its line.
    pub fn set_classes(&mut self, names: &[String]) {
        self.changes += 1;
        for c in &mut self.classes {
            c.removed_by = if names.contains(&c.name) { None } else { c.removed_by.or(Some(self.changes)) };
        }
        for name in names {
            if self.class_index(name).is_some() {
                continue;
            }
            let new_class = ClassCounters {
                name: name.clone(),
                fulfilled: 0,
                throttled: 0,
                faulted: 0,
                removed_by: None,
            };
            let removed =
                self.classes.iter().enumerate().filter_map(|(i, c)| c.removed_by.map(|since| (since, i)));
            match removed.clone().min().filter(|_| removed.count() >= MAX_REMOVED) {
                Some((_, i)) => self.classes[i] = new_class,
                None => self.classes.push(new_class),
            }
        }
    }

    /// Index of the counters of a class.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|c| c.name == name)
    }

    /// Counts the final answer to a request, when it is passed to the client's connection: 200 as fulfilled, 429 and 503 as
    /// throttled, any other status as faulted.
    pub fn count_response(&mut self, class: usize, status: u16) {
        let Some(c) = self.classes.get_mut(class) else { return };
        match status {
            200 => c.fulfilled += 1,
            429 | 503 => c.throttled += 1,
            _ => c.faulted += 1,
        }
    }

    /// Counts an attempt whose last byte was written to an upstream.
    pub fn count_relayed(&mut self) {
        self.relayed += 1;
    }

    /// Counts a reload of the configuration at SIGHUP, which was accepted or was invalid.
    pub fn count_reload(&mut self, accepted: bool) {
        *(if accepted { &mut self.accepted } else { &mut self.invalid }) += 1;
    }

    /// All metrics, one per line.
    pub fn render(&self, gauges: &Gauges) -> String {
        let mut out = String::with_capacity(256 + self.classes.len() * 160);
        let counts: [(&str, Count); 3] =
            [("fulfilled", |c| c.fulfilled), ("throttled", |c| c.throttled), ("faulted", |c| c.faulted)];
        for (what, count) in counts {
            for c in &self.classes {
                let _ = writeln!(out, "svc_{what}_total{{priority=\"{}\"}} {}", escaped(&c.name), count(c));
            }
        }
        for (what, value) in [
            ("relayed_total", self.relayed),
            ("open_requests", gauges.open_requests as u64),
            ("registry_entries", gauges.registry_entries as u64),
            ("out_of_rotation", gauges.out_of_rotation as u64),
            ("cfg_accepted_total", self.accepted),
            ("cfg_invalid_total", self.invalid),
        ] {
            let _ = writeln!(out, "svc_{what} {value}");
        }
        out
    }
}

/// Escapes the value of a label.
fn escaped(name: &str) -> String {
    name.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(of: &[&str]) -> Vec<String> {
        of.iter().map(|n| n.to_string()).collect()
    }

    fn has_line(f: &Metrics, line: &str) -> bool {
        f.render(&Gauges::default()).lines().any(|l| l == line)
    }

    #[test]
    fn each_answer_is_counted_once_by_its_status() {
        let mut f = Metrics::new(&names(&["a", "b"]));
        assert!(has_line(&f, "svc_faulted_total{priority=\"b\"} 0"), "every class is listed from the start");
        let a = f.class_index("a").expect("named");
        for status in [200, 200, 429, 503, 502, 400, 408] {
            f.count_response(a, status);
        }
        for (what, n) in [("fulfilled", 2), ("throttled", 2), ("faulted", 3)] {
            assert!(has_line(&f, &format!("svc_{what}_total{{priority=\"a\"}} {n}")), "{what}");
            assert!(has_line(&f, &format!("svc_{what}_total{{priority=\"b\"}} 0")), "{what}");
        }
    }

    #[test]
    fn a_removed_class_keeps_its_line_and_continues_when_it_is_configured_again() {
        let mut f = Metrics::new(&names(&["a", "b"]));
        f.count_response(f.class_index("b").expect("named"), 200);
        f.set_classes(&names(&["a", "c"]));
        assert!(has_line(&f, "svc_fulfilled_total{priority=\"b\"} 1"));
        assert!(has_line(&f, "svc_fulfilled_total{priority=\"c\"} 0"));
        f.set_classes(&names(&["b"]));
        f.count_response(f.class_index("b").expect("named"), 200);
        assert!(has_line(&f, "svc_fulfilled_total{priority=\"b\"} 2"));
    }

    #[test]
    fn the_number_of_removed_classes_is_bounded() {
        let mut f = Metrics::new(&names(&["stays"]));
        f.count_response(0, 200);
        for n in 0..1_000 {
            f.set_classes(&names(&["stays", &format!("c{n}")]));
        }
        assert!(f.classes.len() <= MAX_REMOVED + 2, "{}", f.classes.len());
        assert!(has_line(&f, "svc_fulfilled_total{priority=\"stays\"} 1"));
        assert!(f.class_index("c999").is_some() && f.class_index("c900").is_none());
    }

    #[test]
    fn names_are_escaped_in_labels() {
        let f = Metrics::new(&names(&["a\"} 9\nsvc_x \\"]));
        assert!(
            has_line(&f, r#"svc_fulfilled_total{priority="a\"} 9\nsvc_x \\"} 0"#),
            "{}",
            f.render(&Gauges::default())
        );
    }

    #[test]
    fn gauges_are_rendered_as_given() {
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
