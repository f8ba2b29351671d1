//! The mark of the sites that a request has crossed. Nothing crosses twice, and what comes back to a site that it has left is
//! refused with the reason: two gateways that point at each other never play ping-pong.

/// The header that carries it: the sites left, in order, with commas between.
pub const HEADER: &str = "X-Gateway-Hops";
/// So many crossings a request may make.
pub const MAX_CROSSINGS: usize = 1;
/// More names than this, or longer ones, are no mark.
const MOST_NAMES: usize = 8;
const LONGEST_NAME: usize = 64;

/// The sites a request has left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hops(Vec<String>);

/// Why a request does not go over, or is not taken from the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopError {
    /// It has crossed before.
    CrossedAlready,
    /// It has left this very site before.
    Loop,
    /// It comes over the link without having left a site.
    Missing,
    /// Its mark cannot be read.
    Malformed,
}

impl HopError {
    /// As the refusal says it.
    pub fn reason(self) -> &'static str {
        match self {
            HopError::CrossedAlready => "it has crossed between sites before",
            HopError::Loop => "it has left this site before",
            HopError::Missing => "it came over the link without its hops",
            HopError::Malformed => "its hops cannot be read",
        }
    }
}

/// Whether a site's name can stand in a mark.
pub fn is_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.len() <= LONGEST_NAME && name.chars().all(plain)
}

impl Hops {
    /// Read the header's value; without one nothing was crossed.
    pub fn read(value: Option<&str>) -> Result<Hops, HopError> {
        let Some(value) = value else { return Ok(Hops::default()) };
        let names: Vec<String> = value.split(',').map(|n| n.trim().to_string()).collect();
        if names.len() > MOST_NAMES || !names.iter().all(|n| is_name(n)) {
            return Err(HopError::Malformed);
        }
        Ok(Hops(names))
    }

    /// The mark under which it leaves `home`, if it may.
    pub fn leave(&self, home: &str) -> Result<Hops, HopError> {
        if self.0.len() >= MAX_CROSSINGS {
            return Err(HopError::CrossedAlready);
        }
        let mut names = self.0.clone();
        names.push(home.to_string());
        Ok(Hops(names))
    }

    /// Whether it may be taken from the link at `home`.
    pub fn arrive(&self, home: &str) -> Result<(), HopError> {
        match self.0.as_slice() {
            [] => Err(HopError::Missing),
            names if names.iter().any(|n| n == home) => Err(HopError::Loop),
            names if names.len() > MAX_CROSSINGS => Err(HopError::CrossedAlready),
            _ => Ok(()),
        }
    }

    /// As the header has it.
    pub fn value(&self) -> String {
        self.0.join(",")
    }
}
