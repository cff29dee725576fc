//! The bodies of orders, and their delivery to engines and the platform.

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

/// The body of an order.
///
/// It contains the complete order, so that the next owner of the shard can send it again.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum OrderBody {
    /// Stop an engine.
    Stop {
        /// The address of the engine.
        addr: SocketAddr,
    },
    /// Run targets in an availability zone.
    Targets {
        /// The availability zone.
        zone: String,
        /// The service.
        service: String,
        /// The number of targets that are to run.
        count: u32,
        /// Whether to use cheap targets, which the platform can reclaim.
        cheap: bool,
    },
    /// Report the usage in a sealed window.
    Usage {
        /// The window.
        window: WindowId,
        /// The usage of each organisation.
        figures: Vec<OrganisationUsage>,
    },
}

/// The usage of one organisation in a window.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct OrganisationUsage {
    /// The organisation.
    pub(crate) organisation: String,
    /// Number of requests that ran.
    pub(crate) requests: u64,
    /// Number of prompt tokens.
    pub(crate) prompt: u64,
    /// Number of generated tokens.
    pub(crate) generated: u64,
}

impl OrderBody {
    /// Encodes the body as it is stored in an intent.
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        encode(self)
    }
}

/// Sends orders to engines and to the platform.
pub(crate) struct OrderDispatcher {
    /// Client for orders to engines.
    pub(crate) engines: Arc<dyn Engine>,
    /// Client for target orders.
    pub(crate) targets: Arc<dyn TargetOrders>,
    /// Client for usage reports.
    pub(crate) usage: Arc<dyn UsageReports>,
    /// Source of the current time, for deadlines.
    pub(crate) clock: Arc<dyn Clock>,
}

#[async_trait]
impl OrderSender for OrderDispatcher {
    async fn send(&self, order: &Order, deadline: Time) -> OrderReply {
        let Ok(decoded) = decode::<OrderBody>(&order.body) else {
            log::error!(target: "orders", order:% = order.id;
                "rejecting an order with an undecodable body");
            return OrderReply::Rejected;
        };
        if self.clock.now() >= deadline {
            return OrderReply::NotSent;
        }
        match decoded {
            OrderBody::Stop { addr } => self.send_to_engine(order, addr, EngineOrder::Stop).await,
            OrderBody::Targets { zone, service, count, cheap } => {
                let id = order.id.to_string();
                let epoch = order.fence.0;
                let request = TargetOrder { id, epoch, zone, service, count, cheap };
                platform_reply(self.targets.order(&request).await.map(|_| ()))
            }
            OrderBody::Usage { window, figures } => self.report(order, &window, figures).await,
        }
    }
}

impl OrderDispatcher {
    async fn send_to_engine(
        &self,
        order: &Order,
        addr: SocketAddr,
        engine_order: EngineOrder,
    ) -> OrderReply {
        let request =
            OrderRequest { id: order.id.to_string(), epoch: order.fence.0, order: engine_order };
        match self.engines.order(addr, &request).await {
            Ok(OrderOutcome::Done | OrderOutcome::Repeated) => OrderReply::Done,
            Ok(OrderOutcome::Fenced) => OrderReply::Fenced,
            Err(EngineError::Refused { .. }) => OrderReply::Rejected,
            Err(EngineError::Unreachable { .. }) => OrderReply::NotSent,
            Err(EngineError::Unknown { .. }) => OrderReply::Unknown,
        }
    }

    /// Reports the usage of each organisation; done once the platform has accepted all reports.
    async fn report(
        &self,
        order: &Order,
        window: &WindowId,
        figures: Vec<OrganisationUsage>,
    ) -> OrderReply {
        for org_usage in figures {
            let report = UsageReport {
                organisation: org_usage.organisation,
                window: window.number,
                epoch: order.fence.0,
                requests: org_usage.requests,
                prompt_tokens: org_usage.prompt,
                output_tokens: org_usage.generated,
            };
            let reply = platform_reply(self.usage.report(&report).await);
            if reply != OrderReply::Done {
                log::warn!(target: "usage", window:%;
                    "usage report not accepted; it will be sent again");
                return OrderReply::Unknown;
            }
        }
        OrderReply::Done
    }
}

fn platform_reply(result: Result<(), PlatformError>) -> OrderReply {
    match result {
        Ok(()) => OrderReply::Done,
        // A refusal can be temporary, for example during an outage, so the order is sent again.
        Err(PlatformError::Refused { .. } | PlatformError::Unknown { .. }) => OrderReply::Unknown,
    }
}
