//! Taking and settling the claim of a request that must run at most once.

use crate::duty::GatewayDuty;
use crate::request::AcceptedRequest;
use mastbay_attempts::{Exchange, Outcome, Step};
use mastbay_claims::{ClaimOutcome, ClaimRequest, ClaimState, Intent};
use mastbay_web::within;

fn claim_request(request: &AcceptedRequest, intent: Intent) -> Option<ClaimRequest> {
    let key = request.claim.clone()?;
    Some(ClaimRequest { key, request: request.identity.id, intent })
}

/// Takes the claim of the request, if it has one, and returns the next step of `exchange`.
pub async fn take(duty: &GatewayDuty, request: &AcceptedRequest, exchange: &mut Exchange) -> Step {
    let Some(claim_request) = claim_request(request, Intent::Take) else {
        return exchange.claim_kept();
    };
    let answer = duty.take_claim(claim_request.clone());
    let time_left = request.deadline.since(duty.node().now());
    match within(time_left, answer.recv()).await {
        Ok(Ok(ClaimOutcome::Kept)) => exchange.claim_kept(),
        Ok(Ok(ClaimOutcome::Taken { state, .. })) => {
            exchange.claim_taken(matches!(state, ClaimState::Completed { .. }))
        }
        Ok(Ok(ClaimOutcome::Unavailable) | Err(_)) | Err(_) => {
            duty.abandon_claim(&claim_request);
            exchange.claim_unavailable()
        }
    }
}

/// Completes or releases the claim by the outcome of the request. An unknown outcome leaves the
/// claim held, as the request may have run.
pub fn settle(duty: &GatewayDuty, request: &AcceptedRequest, outcome: Outcome, status: u16) {
    let intent = match outcome {
        Outcome::Answered => Intent::Complete { status },
        Outcome::NotRun(_) => Intent::Release,
        Outcome::Unknown(_) => return,
    };
    if let Some(claim_request) = claim_request(request, intent) {
        duty.settle_claim(claim_request);
    }
}
