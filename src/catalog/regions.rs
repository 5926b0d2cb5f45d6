use crate::prelude::*;

/// The regions in which a request may run, and to which it may be sent.
#[wire]
#[derive(Default)]
pub struct Regions(Option<Vec<Arc<str>>>);

impl Regions {
    /// Only the named regions, or all regions if no name is given.
    pub fn only(names: impl IntoIterator<Item = impl Into<Arc<str>>>) -> Regions {
        let names: Vec<_> = names.into_iter().map(Into::into).collect();
        Regions((!names.is_empty()).then_some(names))
    }

    /// Whether all regions are allowed, including unknown ones.
    pub fn allow_all(&self) -> bool {
        self.0.is_none()
    }

    /// Whether a region is allowed. An unknown region (`None`) is allowed only if all regions are.
    pub fn allow(&self, region: Option<&str>) -> bool {
        match &self.0 {
            None => true,
            Some(names) => region.is_some_and(|region| names.iter().any(|name| **name == *region)),
        }
    }

    /// The regions that both allow, possibly none.
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
