//! The prompt parts and the own keys of the requests of the model of the quarantine.

use azurelug_types::fleet::PartKey;
use rand::RngExt;

use crate::quarantine_model::Model;

/// Id of the own key of a request.
pub(crate) fn request_id(digest: u64) -> u64 {
    PartKey::request(0, digest).id
}

fn is_request(id: u64) -> bool {
    PartKey { service: 0, id }.is_request()
}

impl Model {
    /// The ids of the keys of a client's request; its own one is the first.
    pub(crate) fn draw_ids(&mut self) -> Vec<u64> {
        let parts = self.draw_parts();
        let Some(own) = self.draw_own_key() else {
            return parts;
        };
        // A repeated request has the same parts each time, the hot one also all deadly parts.
        let mut parts = parts;
        if own == self.size.hot.0 || self.deadly.iter().any(|it| it.id == own) {
            parts = vec![own % 3, 1000 + own % 100];
        }
        if own == self.size.hot.0 {
            let deadly = self.deadly.iter().map(|it| it.id);
            parts.extend(deadly.filter(|id| !is_request(*id)));
        }
        let has_parts = self.size.has_parts;
        let parts = parts.into_iter().filter(|_| has_parts);
        std::iter::once(own).chain(parts).collect()
    }

    fn draw_parts(&mut self) -> Vec<u64> {
        let square: f64 = self.random.random_range(0.0_f64..1.0).powi(2);
        let document = 1000 + (square * self.size.documents as f64) as u64;
        let mut ids = vec![self.random.random_range(0..3), document];
        for deadly in self.deadly.iter().filter(|it| !is_request(it.id)) {
            if self.random.random_range(0.0..1.0) < deadly.share {
                ids.push(deadly.id);
            }
        }
        ids
    }

    /// The own key of a request; none if requests have only those of their parts.
    fn draw_own_key(&mut self) -> Option<u64> {
        if !self.size.has_own_keys {
            return None;
        }
        let mut draw: f64 = self.random.random_range(0.0..1.0);
        let deadly = self.deadly.iter().filter(|it| is_request(it.id));
        let repeated = deadly.map(|it| (it.id, it.share)).chain([self.size.hot]);
        for (id, share) in repeated {
            if draw < share {
                return Some(id);
            }
            draw -= share;
        }
        self.next_id += 1;
        Some(request_id(self.next_id))
    }
}
