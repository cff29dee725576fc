//! Fake receivers of orders.

use chervilgate_clock::Time;
use chervilgate_coord::{Fence, Order, OrderReply};

use crate::{
    history::Fact,
    process::{Answer, Endpoint, Request},
};

/// An engine that carries out what it is told.
///
/// One that checks fencing tokens refuses any lower than its highest. Neither
/// kind remembers order ids: an order that comes twice is carried out twice.
#[derive(Debug)]
pub struct FakeEngine {
    fencing: bool,
    highest: Fence,
}

impl FakeEngine {
    /// An engine that has had no orders.
    pub fn new(fencing: bool) -> FakeEngine {
        FakeEngine { fencing, highest: Fence::default() }
    }

    fn take(&mut self, order: &Order) -> OrderReply {
        if !self.fencing {
            return OrderReply::Done;
        }
        if order.fence < self.highest {
            return OrderReply::Fenced;
        }
        self.highest = order.fence;
        OrderReply::Done
    }
}

impl Endpoint for FakeEngine {
    fn handle(&mut self, _now: Time, request: &Request, facts: &mut Vec<Fact>) -> Option<Answer> {
        let Request::Order(order) = request else {
            return None;
        };
        let reply = self.take(order);
        facts.push(Fact::Received { order: order.clone(), fencing: self.fencing, reply });
        Some(Answer::Order(reply))
    }
}

/// The platform's interface for target orders; an order id counts once.
#[derive(Debug, Default)]
pub struct FakePlatform;

impl Endpoint for FakePlatform {
    fn handle(&mut self, _now: Time, request: &Request, facts: &mut Vec<Fact>) -> Option<Answer> {
        let Request::Order(order) = request else {
            return None;
        };
        facts.push(Fact::Received {
            order: order.clone(),
            fencing: false,
            reply: OrderReply::Done,
        });
        facts.push(Fact::TargetOrdered { order: order.clone() });
        Some(Answer::Order(OrderReply::Done))
    }
}
