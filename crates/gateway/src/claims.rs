//! A request's claim, from taking it to noting what became of it.

use crate::duty::GatewayDuty;
use crate::request::AcceptedRequest;
use mastbay_attempts::{Exchange, Outcome, Step};
use mastbay_claims::{ClaimOutcome, ClaimRequest, ClaimState, Intent};
use mastbay_web::within;

fn wish(request: &AcceptedRequest, intent: Intent) -> Option<ClaimRequest> {
    let key = request.claim.clone()?;
    Some(ClaimRequest { key, request: request.name.id, intent })
}

/// Takes the claim and gives the next step.
pub async fn take(duty: &GatewayDuty, request: &AcceptedRequest, exchange: &mut Exchange) -> Step {
    let Some(wish) = wish(request, Intent::Take) else {
        return exchange.claim_kept();
    };
    let verdict = duty.take_claim(wish.clone());
    let time_left = request.deadline.since(duty.node().now());
    match within(time_left, verdict.recv()).await {
        Ok(Ok(ClaimOutcome::Kept)) => exchange.claim_kept(),
        Ok(Ok(ClaimOutcome::Taken { state, .. })) => {
            exchange.claim_taken(matches!(state, ClaimState::Completed { .. }))
        }
        Ok(Ok(ClaimOutcome::Unavailable) | Err(_)) | Err(_) => {
            duty.forget_claim(&wish);
            exchange.claim_unavailable()
        }
    }
}

/// Notes in the claim what became of the request. An unknown outcome leaves the claim held.
pub fn settle(duty: &GatewayDuty, request: &AcceptedRequest, outcome: Outcome, status: u16) {
    let intent = match outcome {
        Outcome::Answered => Intent::Complete { status },
        Outcome::NotRun(_) => Intent::Release,
        Outcome::Unknown(_) => return,
    };
    if let Some(wish) = wish(request, intent) {
        duty.note_claim(wish);
    }
}
