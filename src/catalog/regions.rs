use crate::prelude::*;

/// The regions in which something may run, and to which it may be sent.
#[wire]
#[derive(Default)]
pub struct Regions(Option<Vec<Arc<str>>>);

impl Regions {
    /// Only those named; with no name, anywhere.
    pub fn only(names: impl IntoIterator<Item = impl Into<Arc<str>>>) -> Regions {
        let names: Vec<_> = names.into_iter().map(Into::into).collect();
        Regions((!names.is_empty()).then_some(names))
    }

    /// Whether all regions are allowed, also those not known.
    pub fn are_all(&self) -> bool {
        self.0.is_none()
    }

    /// Whether a region is allowed. One that is not known is allowed only where all are.
    pub fn allow(&self, region: Option<&str>) -> bool {
        match &self.0 {
            None => true,
            Some(names) => region.is_some_and(|region| names.iter().any(|name| **name == *region)),
        }
    }

    /// What both allow, which may be nothing.
    pub fn and(&self, other: &Regions) -> Regions {
        match (&self.0, &other.0) {
            (Some(names), Some(_)) => {
                let both = names.iter().filter(|name| other.allow(Some(name)));
                Regions(Some(both.cloned().collect()))
            }
            (Some(_), None) => self.clone(),
            (None, _) => other.clone(),
        }
    }
}
