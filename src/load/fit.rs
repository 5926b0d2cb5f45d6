//! Estimates from samples of which older ones count less.

/// What is assumed before there are samples: a line through two points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinePrior {
    /// The value at zero.
    pub intercept: f64,
    /// The increase per unit.
    pub slope: f64,
    /// The second point; the first is at zero.
    pub far_x: f64,
    /// The number of samples that the two points count like.
    pub samples: f64,
}

/// A least squares fit of y = a + b x with exponential forgetting. Neither a nor b is negative.
#[derive(Debug, Clone)]
pub struct LinearFit {
    /// Never forgotten, so that the slope stays defined when all samples have the same x.
    prior: Sums,
    samples: Sums,
    /// The factor by which each sample reduces the weight of the earlier ones.
    keep: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Sums {
    fn scaled(self, factor: f64) -> Sums {
        Sums {
            weight: self.weight * factor,
            x: self.x * factor,
            y: self.y * factor,
            xx: self.xx * factor,
            xy: self.xy * factor,
        }
    }

    fn plus(self, other: Sums) -> Sums {
        Sums {
            weight: self.weight + other.weight,
            x: self.x + other.x,
            y: self.y + other.y,
            xx: self.xx + other.xx,
            xy: self.xy + other.xy,
        }
    }

    fn of(x: f64, y: f64) -> Sums {
        Sums { weight: 1.0, x, y, xx: x * x, xy: x * y }
    }
}

impl LinearFit {
    /// A fit without samples. Those of the last `memory_samples` count most.
    pub fn open(prior: LinePrior, memory_samples: f64) -> LinearFit {
        let at = |x: f64| Sums::of(x, prior.intercept + prior.slope * x);
        let prior_sums = at(0.0).plus(at(prior.far_x)).scaled(prior.samples / 2.0);
        LinearFit { prior: prior_sums, samples: Sums::default(), keep: 1.0 - 1.0 / memory_samples }
    }

    /// Adds a sample.
    pub fn add(&mut self, x: f64, y: f64) {
        self.samples = self.samples.scaled(self.keep).plus(Sums::of(x, y));
    }

    /// The value at zero and the increase per unit.
    pub fn line(&self) -> (f64, f64) {
        let sums = self.prior.plus(self.samples);
        let spread = sums.weight * sums.xx - sums.x * sums.x;
        let slope = ((sums.weight * sums.xy - sums.x * sums.y) / spread).max(0.0);
        let intercept = (sums.y - slope * sums.x) / sums.weight;
        match intercept < 0.0 {
            true => (0.0, (sums.xy / sums.xx).max(0.0)),
            false => (intercept, slope),
        }
    }

    /// The estimate at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        let (intercept, slope) = self.line();
        intercept + slope * x
    }
}

/// A mean with exponential forgetting.
#[derive(Debug, Clone)]
pub struct ForgettingMean {
    weight: f64,
    sum: f64,
    keep: f64,
}

impl ForgettingMean {
    /// A mean without samples. Those of the last `memory_samples` count most.
    pub fn open(memory_samples: f64) -> ForgettingMean {
        ForgettingMean { weight: 0.0, sum: 0.0, keep: 1.0 - 1.0 / memory_samples }
    }

    /// Adds a sample.
    pub fn add(&mut self, value: f64) {
        self.weight = self.weight * self.keep + 1.0;
        self.sum = self.sum * self.keep + value;
    }

    /// The mean of the samples and of a prior value that counts like `prior_samples` samples.
    pub fn with_prior(&self, prior: f64, prior_samples: f64) -> f64 {
        (self.sum + prior * prior_samples) / (self.weight + prior_samples)
    }
}
