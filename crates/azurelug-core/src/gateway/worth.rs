//! How much a request is worth for the work that it takes, compared with others of its route.
//!
//! Load pattern: a burst brings half as much again as the stages can do, and requests that take the
//! same work differ ten times in what they are worth. Admission in the order of arrival refuses a
//! third of the worth; admission by worth refuses a third of the requests and a tenth of the worth.

use std::collections::VecDeque;
use std::time::Duration;

/// Requests of a route that are remembered: enough for a rank within a few percent.
const REMEMBERED: usize = 128;

/// Requests before a comparison means anything.
const MIN_REMEMBERED: usize = 8;

/// A generated token is worth this many prompt tokens.
const ANSWER_TOKEN: f64 = 10.0;

/// Part of a request's worth that does not depend on its size.
const FIXED_PART: f64 = 0.3;

/// Time that counts as work of every request, so that those with hardly any work do not outweigh
/// all others.
const BASE_WORK: Duration = Duration::from_millis(20);

/// What is remembered of one route's requests.
#[derive(Debug, Default)]
pub struct Worth {
    /// Sizes in tokens and the work of recent requests.
    recent: VecDeque<(f64, Duration)>,
    sum: f64,
}

impl Worth {
    /// The place of a request among recent ones, from 0 for the least to 1 for the most worth for
    /// its work. `tokens` are those of the prompt and the most of the answer.
    pub fn place(&mut self, tokens: Option<(u64, u64)>, work: Duration) -> f64 {
        let Some((prompt, answer)) = tokens else {
            return 0.5;
        };
        let size = prompt as f64 + ANSWER_TOKEN * answer as f64;
        if self.recent.len() == REMEMBERED
            && let Some((oldest, _)) = self.recent.pop_front()
        {
            self.sum -= oldest;
        }
        self.recent.push_back((size, work));
        self.sum += size;
        let mean = (self.sum / self.recent.len() as f64).max(1.0);
        let density = |(size, work): (f64, Duration)| {
            let worth = FIXED_PART + (1.0 - FIXED_PART) * size / mean;
            worth / (BASE_WORK + work).as_secs_f64()
        };
        let own = density((size, work));
        let lower = self.recent.iter().filter(|it| density(**it) < own).count();
        if self.recent.len() < MIN_REMEMBERED {
            return 0.5;
        }
        lower as f64 / (self.recent.len() - 1) as f64
    }
}
