//! The content of orders, and sending them to whom they are for.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use chervilgate_clients::{
    Engine, EngineError, EngineOrder, OrderOutcome, OrderRequest, PlatformError, TargetOrder,
    TargetOrders, UsageReport, UsageReports,
};
use chervilgate_clock::{Clock, Time};
use chervilgate_coord::{Order, OrderReply, decode, encode, window::WindowId};
use chervilgate_driver::OrderSender;
use serde::{Deserialize, Serialize};

/// What is ordered; the whole order, so that a successor can send it again.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Content {
    /// An engine is to stop.
    Stop {
        /// Where it listens.
        addr: SocketAddr,
    },
    /// Targets are to run in an availability zone.
    Targets {
        /// The availability zone.
        zone: String,
        /// The service.
        service: String,
        /// How many.
        count: u32,
        /// Whether cheaper ones will do.
        cheap: bool,
    },
    /// A sealed window is to be reported.
    Usage {
        /// The window.
        window: WindowId,
        /// The figures by organisation.
        figures: Vec<Figures>,
    },
}

/// One organisation's figures.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Figures {
    /// The organisation.
    pub(crate) organisation: String,
    /// Requests that ran.
    pub(crate) requests: u64,
    /// Prompt tokens.
    pub(crate) prompt: u64,
    /// Generated tokens.
    pub(crate) generated: u64,
}

impl Content {
    /// Its bytes within an intent.
    pub(crate) fn to_body(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Sends orders through the clients.
pub(crate) struct Sender {
    /// Orders to engines.
    pub(crate) engines: Arc<dyn Engine>,
    /// Orders for targets.
    pub(crate) targets: Arc<dyn TargetOrders>,
    /// Usage reports.
    pub(crate) usage: Arc<dyn UsageReports>,
    /// The present time.
    pub(crate) clock: Arc<dyn Clock>,
}

#[async_trait]
impl OrderSender for Sender {
    async fn send(&self, order: &Order, deadline: Time) -> OrderReply {
        let Ok(content) = decode::<Content>(&order.body) else {
            log::error!(target: "orders", order:% = order.id; "an order that cannot be read");
            return OrderReply::Rejected;
        };
        if self.clock.now() >= deadline {
            return OrderReply::NotSent;
        }
        match content {
            Content::Stop { addr } => self.order_engine(order, addr, EngineOrder::Stop).await,
            Content::Targets { zone, service, count, cheap } => {
                let id = order.id.to_string();
                let epoch = order.fence.0;
                let wanted = TargetOrder { id, epoch, zone, service, count, cheap };
                platform_reply(self.targets.order(&wanted).await.map(|_| ()))
            }
            Content::Usage { window, figures } => self.report(order, &window, figures).await,
        }
    }
}

impl Sender {
    async fn order_engine(
        &self,
        order: &Order,
        addr: SocketAddr,
        content: EngineOrder,
    ) -> OrderReply {
        let request =
            OrderRequest { id: order.id.to_string(), epoch: order.fence.0, order: content };
        match self.engines.order(addr, &request).await {
            Ok(OrderOutcome::Done | OrderOutcome::Repeated) => OrderReply::Done,
            Ok(OrderOutcome::Fenced) => OrderReply::Fenced,
            Err(EngineError::Refused { .. }) => OrderReply::Rejected,
            Err(EngineError::Unreachable { .. }) => OrderReply::NotSent,
            Err(EngineError::Unknown { .. }) => OrderReply::Unknown,
        }
    }

    /// Reports each organisation's figures; done when all have been taken.
    async fn report(&self, order: &Order, window: &WindowId, figures: Vec<Figures>) -> OrderReply {
        for figures in figures {
            let report = UsageReport {
                organisation: figures.organisation,
                window: window.number,
                epoch: order.fence.0,
                requests: figures.requests,
                prompt_tokens: figures.prompt,
                output_tokens: figures.generated,
            };
            let reply = platform_reply(self.usage.report(&report).await);
            if reply != OrderReply::Done {
                log::warn!(target: "usage", window:%; "a report was not taken; it will be repeated");
                return OrderReply::Unknown;
            }
        }
        OrderReply::Done
    }
}

fn platform_reply(result: Result<(), PlatformError>) -> OrderReply {
    match result {
        Ok(()) => OrderReply::Done,
        // A refusal may pass, as during an outage: the order is repeated.
        Err(PlatformError::Refused { .. } | PlatformError::Unknown { .. }) => OrderReply::Unknown,
    }
}
