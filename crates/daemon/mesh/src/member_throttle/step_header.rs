//! The response header with the step that applied to a member's request.
use silvercross_throttle::ThrottleStep;

/// On responses to members' requests: `STEP/STEPS`. Part of the wire protocol.
const STEP_HEADER: &str = "Member-Step";

/// The values of a header among header lines.
pub(super) fn header_values<'l>(lines: &'l [u8], header: &'l str) -> impl Iterator<Item = &'l [u8]> + 'l {
    lines.split(|byte| *byte == b'\n').filter_map(move |line| {
        let (name, value) = line.split_at_checked(header.len())?;
        let value = value.strip_prefix(b":").filter(|_| name.eq_ignore_ascii_case(header.as_bytes()))?;
        Some(value.trim_ascii())
    })
}

/// Sets the step in a response's header lines; a header of this name that is already there is removed.
pub(crate) fn set_step_header(lines: &mut Vec<u8>, step: Option<ThrottleStep>) {
    if header_values(lines, STEP_HEADER).next().is_some() {
        let mut kept = Vec::with_capacity(lines.len());
        for line in lines.split_inclusive(|byte| *byte == b'\n') {
            if header_values(line, STEP_HEADER).next().is_none() {
                kept.extend_from_slice(line);
            }
        }
        *lines = kept;
    }
    if let Some(step) = step {
        lines.extend_from_slice(format!("{STEP_HEADER}: {step}\r\n").as_bytes());
    }
}
