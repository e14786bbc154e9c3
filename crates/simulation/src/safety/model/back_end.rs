//! Event handling of the back end.

use super::super::plan::Step;
use super::{Event, GatewayEvent, Model, QueuedEvent};

impl Model<'_> {
    pub(super) fn backend_event(&mut self, event: Event) {
        if self.now < self.backend.frozen_until {
            let until = self.backend.frozen_until;
            self.events.push(until, QueuedEvent::Plain(event));
            return;
        }
        let (Event::BackendGetsPart { sending, incarnation }
        | Event::BackendGetsWhole { sending, incarnation }
        | Event::BackendEnds { sending, incarnation }) = event
        else {
            return;
        };
        if incarnation != self.backend.incarnation || !self.backend.is_up(self.now) {
            return self.break_connection(sending);
        }
        match event {
            Event::BackendGetsWhole { .. } => {
                self.backend.begin(self.sendings[sending].id);
                self.on_step(sending, Step::Running);
                let after = self.jittered(20);
                self.push(after, Event::BackendEnds { sending, incarnation });
            }
            Event::BackendEnds { .. } if self.reaches_gateway(sending) => {
                let attempt = self.sendings[sending].attempt;
                self.push_gateway(1, sending, GatewayEvent::AnswerBegun { attempt });
            }
            _ => {}
        }
    }

    pub(super) fn break_connection(&mut self, sending: usize) {
        let attempt = self.sendings[sending].attempt;
        self.push_gateway(1, sending, GatewayEvent::Broken { attempt });
    }
}
