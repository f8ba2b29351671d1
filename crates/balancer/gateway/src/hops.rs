//! The sites that a request has left, in a header. A request crosses to another site at most [`MAX_CROSSINGS`] times and is
//! refused at a site that it has left, so that two gateways that point at each other cause no loop.

/// The header: names of the sites that the request has left, in order, separated by commas.
pub const HEADER: &str = "X-Gateway-Hops";
/// Maximum number of times that a request may cross to another site.
pub const MAX_CROSSINGS: usize = 1;
/// Maximum number of names in the header.
const MAX_NAMES: usize = 8;
/// Maximum bytes of a name.
const MAX_NAME_BYTES: usize = 64;

/// The sites that a request has left, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hops(Vec<String>);

/// Why a request may not cross to another site, or is not accepted from the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopError {
    /// It has crossed the maximum number of times.
    CrossedAlready,
    /// It has left this site before.
    Loop,
    /// It came over the link without the header.
    Missing,
    /// Its header can't be parsed.
    Malformed,
}

impl HopError {
    /// The reason as stated in the refusal.
    pub fn reason(self) -> &'static str {
        match self {
            HopError::CrossedAlready => "it has crossed between sites before",
            HopError::Loop => "it has left this site before",
            HopError::Missing => "it came over the link without its hops",
            HopError::Malformed => "its hops cannot be read",
        }
    }
}

/// Whether a site's name is valid in the header.
pub fn is_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed)
}

impl Hops {
    /// Parses the value of the header; a request without the header has left no site.
    pub fn read(value: Option<&str>) -> Result<Hops, HopError> {
        let Some(value) = value else { return Ok(Hops::default()) };
        let names: Vec<String> = value.split(',').map(|n| n.trim().to_string()).collect();
        if names.len() > MAX_NAMES || !names.iter().all(|n| is_name(n)) {
            return Err(HopError::Malformed);
        }
        Ok(Hops(names))
    }

    /// The hops with which the request leaves `site`, if it may cross.
    pub fn leave(&self, site: &str) -> Result<Hops, HopError> {
        if self.0.len() >= MAX_CROSSINGS {
            return Err(HopError::CrossedAlready);
        }
        let mut names = self.0.clone();
        names.push(site.to_string());
        Ok(Hops(names))
    }

    /// Whether the request may be accepted from the link at `site`.
    pub fn arrive(&self, site: &str) -> Result<(), HopError> {
        match self.0.as_slice() {
            [] => Err(HopError::Missing),
            names if names.iter().any(|n| n == site) => Err(HopError::Loop),
            names if names.len() > MAX_CROSSINGS => Err(HopError::CrossedAlready),
            _ => Ok(()),
        }
    }

    /// The value of the header.
    pub fn value(&self) -> String {
        self.0.join(",")
    }
}
