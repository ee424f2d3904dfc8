use crate::rollout::endpoints_in_use;

/// What the endpoints of a service do for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// The same at each endpoint.
    Plain,
    /// They prefill a prompt, less of it where a part of it is cached.
    Prompts,
}

impl Work {
    /// Returns the share of a version's endpoints that get requests before it is promoted.
    const fn sampled_share(self) -> f64 {
        match self {
            Self::Plain => 1.0 / 12.0,
            Self::Prompts => 1.0 / 4.0,
        }
    }

    /// Returns how many requests load a sampled endpoint as much as the mean in general use, relative to
    /// those in general use. A prompt costs it more, as it has not cached any part of it.
    const fn requests_for_usual_load(self) -> f64 {
        match self {
            Self::Plain => 1.0,
            Self::Prompts => 0.4,
        }
    }
}

/// Load of a sampled endpoint with prompts before it is put under load, relative to the mean in general use:
/// its first prompts come while nothing is cached.
const EARLY_PROMPT_LOAD: f64 = 0.5;

/// Load of a sampled endpoint, relative to the mean in general use, in which endpoints differ by about as
/// much.
const LOAD_FACTOR: f64 = 1.5;

/// The endpoints of a version on trial that get requests, and how many of these.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Number of endpoints that get requests.
    pub endpoints: usize,
    /// Largest share of the service's requests that they get before they are put under load.
    pub early_share: f64,
    /// Share with which they are loaded as the busiest endpoints in general use.
    pub load_share: f64,
}

impl Sample {
    /// Returns the sample of a version with this many endpoints.
    #[must_use]
    pub fn of(endpoints: usize, work: Work) -> Self {
        let sampled = endpoints_in_use(work.sampled_share(), endpoints);
        let share = work.requests_for_usual_load() * sampled as f64 / endpoints.max(1) as f64;
        Self {
            endpoints: sampled,
            early_share: match work {
                Work::Plain => share,
                Work::Prompts => share * EARLY_PROMPT_LOAD,
            },
            load_share: (share * LOAD_FACTOR).min(1.0),
        }
    }
}
