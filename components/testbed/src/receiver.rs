//! Fake receivers of orders: engines and the platform.

use chervilgate_clock::Time;
use chervilgate_coord::{FencingToken, Order, OrderReply};

use crate::{
    history::Fact,
    process::{Answer, Endpoint, Request},
};

/// An engine that carries out every order, or every order with a current fencing token.
///
/// With `fencing`, it refuses tokens lower than the highest one it has seen. It keeps
/// no order ids in either case: an order that arrives twice is carried out twice.
#[derive(Debug)]
pub struct FakeEngine {
    fencing: bool,
    max_fence: FencingToken,
}

impl FakeEngine {
    /// Creates an engine that has seen no orders.
    pub fn new(fencing: bool) -> FakeEngine {
        FakeEngine { fencing, max_fence: FencingToken::default() }
    }

    fn apply(&mut self, order: &Order) -> OrderReply {
        if !self.fencing {
            return OrderReply::Done;
        }
        if order.fence < self.max_fence {
            return OrderReply::Fenced;
        }
        self.max_fence = order.fence;
        OrderReply::Done
    }
}

impl Endpoint for FakeEngine {
    fn handle(&mut self, _now: Time, request: &Request, facts: &mut Vec<Fact>) -> Option<Answer> {
        let Request::Order(order) = request else {
            return None;
        };
        let reply = self.apply(order);
        facts.push(Fact::Received { order: order.clone(), fencing: self.fencing, reply });
        Some(Answer::Order(reply))
    }
}

/// The platform's interface for target orders: accepts every order, without fencing.
///
/// Duplicate deliveries are harmless, because the platform carries out each order id
/// only once.
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
