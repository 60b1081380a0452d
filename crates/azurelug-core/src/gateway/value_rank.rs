//! Ranks requests of a route by their value relative to the work that they cause.
//!
//! Load pattern: a burst exceeds the capacity of the stages by half, and the values of requests
//! with the same work differ by a factor of ten. Admission in order of arrival loses a third of the
//! total value; admission by value refuses a third of the requests, but loses only a tenth of the
//! value.

use std::collections::VecDeque;
use std::time::Duration;

/// Recent requests kept for each route: enough for a rank that is accurate to a few percent.
const MAX_RECENT: usize = 128;

/// Requests needed before the rank is meaningful.
const MIN_RECENT: usize = 8;

/// Size of a generated token in prompt tokens.
const ANSWER_TOKEN_SIZE: f64 = 10.0;

/// Fraction of a request's value that does not depend on its size.
const FIXED_FRACTION: f64 = 0.3;

/// Added to the work of every request, so that requests with almost no work do not outrank all
/// others.
const BASE_WORK: Duration = Duration::from_millis(20);

/// Recent requests of one route.
#[derive(Debug, Default)]
pub struct ValueRanking {
    /// Size in tokens and work of each request.
    recent: VecDeque<(f64, Duration)>,
    sum: f64,
}

impl ValueRanking {
    /// Records a request and returns its rank among recent ones by value per work, from 0 (lowest)
    /// to 1 (highest). `tokens` holds the prompt tokens and the maximum of answer tokens.
    pub fn rank(&mut self, tokens: Option<(u64, u64)>, work: Duration) -> f64 {
        let Some((prompt, answer)) = tokens else {
            return 0.5;
        };
        let size = prompt as f64 + ANSWER_TOKEN_SIZE * answer as f64;
        if self.recent.len() == MAX_RECENT
            && let Some((oldest, _)) = self.recent.pop_front()
        {
            self.sum -= oldest;
        }
        self.recent.push_back((size, work));
        self.sum += size;
        let mean = (self.sum / self.recent.len() as f64).max(1.0);
        let density = |(size, work): (f64, Duration)| {
            let value = FIXED_FRACTION + (1.0 - FIXED_FRACTION) * size / mean;
            value / (BASE_WORK + work).as_secs_f64()
        };
        let new_density = density((size, work));
        let lower = self
            .recent
            .iter()
            .filter(|it| density(**it) < new_density)
            .count();
        if self.recent.len() < MIN_RECENT {
            return 0.5;
        }
        lower as f64 / (self.recent.len() - 1) as f64
    }
}
