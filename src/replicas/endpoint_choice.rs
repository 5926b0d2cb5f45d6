use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::index::sample;

use crate::prelude::*;

/// Endpoints drawn for each request by [`EndpointChoice::Sampled`]. More find a fast endpoint more
/// often, but let more entries find the same one.
pub const SAMPLED_ENDPOINTS: usize = 4;

/// Which endpoints of a service under load control are compared for a request.
#[value]
#[derive(Copy, Default)]
pub enum EndpointChoice {
    /// All of them.
    All,
    /// Some drawn at random (power of d choices), and the one with the most of the prompt cached.
    /// Entries whose counts of each other's requests are outdated then don't all choose the same.
    #[default]
    Sampled,
}

impl EndpointChoice {
    /// The choice with this name, as given on the command line.
    pub fn from_name(name: &str) -> Option<EndpointChoice> {
        match name {
            "all" => Some(EndpointChoice::All),
            "sampled" => Some(EndpointChoice::Sampled),
            _ => None,
        }
    }
}

/// Draws endpoints at random; the same ones for the same seed.
#[derive(Debug)]
pub(super) struct EndpointSampler(SmallRng);

impl EndpointSampler {
    pub(super) fn open(seed: u64) -> EndpointSampler {
        EndpointSampler(SmallRng::seed_from_u64(seed))
    }

    /// Keeps up to [`SAMPLED_ENDPOINTS`] of `endpoints`, and the first one with the highest
    /// `cached_tokens` if that is not zero.
    pub(super) fn draw<T: Copy>(
        &mut self,
        endpoints: &[T],
        cached_tokens: impl Fn(&T) -> u64,
    ) -> Vec<T> {
        let amount = SAMPLED_ENDPOINTS.min(endpoints.len());
        let mut indices = sample(&mut self.0, endpoints.len(), amount).into_vec();
        let tokens = |index: &usize| cached_tokens(&endpoints[*index]);
        let warmest = (0..endpoints.len()).rev().max_by_key(tokens);
        indices.extend(warmest.filter(|index| tokens(index) > 0 && !indices.contains(index)));
        indices.into_iter().map(|index| endpoints[index]).collect()
    }
}
