use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::index::sample;

use crate::prelude::*;

/// Endpoints drawn for each request by [`EndpointChoice::Sampled`]. More find a fast endpoint more
/// often, but let more entries find the same one.
pub const SAMPLED_ENDPOINTS: usize = 4;

/// Endpoints of other failure domains drawn besides, which are chosen if the near ones are full.
const SAMPLED_FAR_ENDPOINTS: usize = 1;

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

    /// Keeps up to [`SAMPLED_ENDPOINTS`] of the `endpoints` that are near, one of the others, and
    /// the first one with the highest `cached_tokens` if that is not zero.
    pub(super) fn draw<T: Copy>(
        &mut self,
        endpoints: &[T],
        is_near: impl Fn(&T) -> bool,
        cached_tokens: impl Fn(&T) -> u64,
    ) -> Vec<T> {
        let (near, far): (Vec<usize>, Vec<usize>) =
            (0..endpoints.len()).partition(|index| is_near(&endpoints[*index]));
        let mut indices = self.some_of(&near, SAMPLED_ENDPOINTS);
        let others = if near.is_empty() { SAMPLED_ENDPOINTS } else { SAMPLED_FAR_ENDPOINTS };
        indices.extend(self.some_of(&far, others));
        let tokens = |index: &usize| cached_tokens(&endpoints[*index]);
        let warmest = (0..endpoints.len()).rev().max_by_key(tokens);
        indices.extend(warmest.filter(|index| tokens(index) > 0 && !indices.contains(index)));
        indices.into_iter().map(|index| endpoints[index]).collect()
    }

    fn some_of(&mut self, indices: &[usize], amount: usize) -> Vec<usize> {
        let drawn = sample(&mut self.0, indices.len(), amount.min(indices.len()));
        drawn.into_iter().map(|at| indices[at]).collect()
    }
}
