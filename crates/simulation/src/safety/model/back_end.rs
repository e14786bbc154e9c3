//! What the back end does.

use super::super::plan::Step;
use super::{Carried, Event, GatewayEvent, Model};

impl Model<'_> {
    pub(super) fn backend_event(&mut self, event: Event) {
        if self.now < self.backend.frozen_until {
            let until = self.backend.frozen_until;
            self.events.push(until, Carried::Plain(event));
            return;
        }
        let (Event::BackendGetsPart { sending, life }
        | Event::BackendGetsWhole { sending, life }
        | Event::BackendEnds { sending, life }) = event
        else {
            return;
        };
        if life != self.backend.life || !self.backend.is_up(self.now) {
            return self.break_connection(sending);
        }
        match event {
            Event::BackendGetsWhole { .. } => {
                self.backend.begin(self.sendings[sending].id);
                self.reach(sending, Step::Running);
                let after = self.about(20);
                self.push(after, Event::BackendEnds { sending, life });
            }
            Event::BackendEnds { .. } if self.gateway_hears(sending) => {
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
