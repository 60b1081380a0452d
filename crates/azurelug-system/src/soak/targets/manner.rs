//! The manners in which targets answer, and the requests that they run.

use std::sync::Arc;
use std::time::Duration;

use azurelug_gateway::body::BodyInterrupted;
use bytes::Bytes;
use rand::RngExt;
use rand_pcg::Pcg64;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::versions::version;
use super::{Behaviour, EVENT_COUNT, EVENT_INTERVAL, Target, TargetPool};
use crate::soak::checker::Checker;

/// The manner in which a target answers, whatever its behaviour. None is a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manner {
    /// At once.
    #[default]
    Usual,
    /// Falls silent at some place of each answer for 0.5 to 2 s and goes on.
    Pauses,
    /// Sends neither a length nor chunks; answers end with their connection.
    Unframed,
    /// Both.
    PausesUnframed,
}

impl Manner {
    pub(in crate::soak) fn draw(random: &mut Pcg64) -> Self {
        let all = [Self::Pauses, Self::Unframed, Self::PausesUnframed];
        all[random.random_range(0..all.len())]
    }

    pub(super) fn is_unframed(self) -> bool {
        matches!(self, Self::Unframed | Self::PausesUnframed)
    }

    /// The place of a pause, from 0 (before the head) to `last`, and its length.
    fn draw_pause(self, last: u64) -> Option<(u64, Duration)> {
        let place = rand::rng().random_range(0..=last);
        let length = Duration::from_millis(rand::rng().random_range(500..2000));
        matches!(self, Self::Pauses | Self::PausesUnframed).then_some((place, length))
    }
}

/// A request that a target runs. Dropping it without [`Run::end`] records that the gateway closed
/// the connection before the answer was complete.
pub(super) struct Run {
    id: String,
    target: String,
    pool: Arc<TargetPool>,
    checker: Arc<Checker>,
    started: Instant,
    pause: Option<(u64, Duration)>,
    is_ended: bool,
}

impl Run {
    pub(super) fn new(target: &Target, id: &str, behaviour: Behaviour, is_call: bool) -> Self {
        let manner = target.pool.manner(&target.name);
        let pause = match target.name.starts_with("llm") {
            true => manner.draw_pause(EVENT_COUNT),
            false if manner.is_unframed() && !is_call => manner.draw_pause(2),
            false => manner.draw_pause(0),
        };
        // Nothing is expected of calls, which may be repeated, and of faulty targets.
        let is_sound = matches!(behaviour, Behaviour::Normal | Behaviour::Slow) && !is_call;
        Self {
            id: id.to_owned(),
            target: target.name.clone(),
            pool: Arc::clone(&target.pool),
            checker: Arc::clone(&target.checker),
            started: Instant::now(),
            pause,
            is_ended: !is_sound,
        }
    }

    pub(super) async fn pause_at(&mut self, place: u64) {
        if let Some((_, length)) = self.pause.take_if(|(at, _)| *at == place) {
            sleep(length).await;
        }
    }

    pub(super) fn end(&mut self) {
        self.is_ended = true;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.is_ended && self.pool.is_link_sound(&self.target, self.started) {
            self.checker.record_given_up(&self.id, &self.target);
        }
    }
}

type Parts = mpsc::Sender<Result<Bytes, BodyInterrupted>>;

/// Sends the events after `last`; pauses before or inside one of them.
pub(super) async fn send_events(sender: Parts, behaviour: Behaviour, last: u64, mut run: Run) {
    for id in last + 1..=EVENT_COUNT {
        if behaviour == Behaviour::BreaksOff && id == last + 3 {
            let _ = sender.send(Ok(Bytes::from(format!("id: {id}\nda")))).await;
            let _ = sender.send(Err(BodyInterrupted)).await;
            return;
        }
        // Pauses before some events and inside the others.
        if id.is_multiple_of(2) {
            run.pause_at(id).await;
        }
        sleep(EVENT_INTERVAL).await;
        let event = format!("id: {id}\ndata: {}\n\n", version(&run.target));
        let (start, rest) = event.split_at(event.len() / 2);
        if sender
            .send(Ok(Bytes::copy_from_slice(start.as_bytes())))
            .await
            .is_err()
        {
            return;
        }
        run.pause_at(id).await;
        if sender
            .send(Ok(Bytes::copy_from_slice(rest.as_bytes())))
            .await
            .is_err()
        {
            return;
        }
    }
    run.end();
}

/// Sends a body in two parts; may pause after each of them.
pub(super) async fn send_halves(sender: Parts, body: String, mut run: Run) {
    let (start, rest) = body.split_at(body.len() / 2);
    for (place, half) in [(1, start), (2, rest)] {
        if sender
            .send(Ok(Bytes::copy_from_slice(half.as_bytes())))
            .await
            .is_err()
        {
            return;
        }
        run.pause_at(place).await;
    }
    run.end();
}
