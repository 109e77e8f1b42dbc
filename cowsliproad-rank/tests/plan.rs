//! Plans on their way to agents.

use std::sync::Arc;

use cowsliproad_kernel::gossip;
use cowsliproad_mapswitch::order::{Epoch, ExpertsByLayerAndRank, Version};
use cowsliproad_rank::plan::{MapPlan, PlanUpdate, PlanUpdateError};

/// The bytes that one packet of a datagram carries.
const MAX_PACKET_BYTES: usize = 1_400;

fn map_plan(map_version: u64, experts: ExpertsByLayerAndRank) -> MapPlan {
    let map_version = Version(map_version);
    MapPlan {
        fencing_number: 1,
        group_epoch: Epoch(1),
        map_version,
        experts: Arc::new(experts),
    }
}

/// 12 sets of 144 experts at 72 ranks, dealt in turn.
fn experts_dealt_in_turn() -> ExpertsByLayerAndRank {
    let rank = |rank: u16| vec![rank, rank + 72, (rank + 1) % 72];
    vec![(0..72).map(rank).collect(); 12]
}

/// The same after some hundred copies.
fn experts_after_copies() -> ExpertsByLayerAndRank {
    let mut experts = experts_dealt_in_turn();
    for copy in 0..100_u16 {
        let held = &mut experts[usize::from(copy % 12)];
        held[usize::from(copy * 7 % 72)][2] = copy;
    }
    experts
}

#[test]
fn a_plan_arrives_whole_and_by_what_differs() {
    let (base, next) = (
        map_plan(7, experts_dealt_in_turn()),
        map_plan(8, experts_after_copies()),
    );
    let whole_update = PlanUpdate::with_whole_map(&next);
    assert_eq!(whole_update.rebuild_plan(None), Ok(next.clone()));
    let difference_update = PlanUpdate::with_differences(&base, &next);
    assert_eq!(difference_update.rebuild_plan(Some(&base)), Ok(next));
    let bytes = gossip::encode(&difference_update);
    assert!(bytes.len() < MAX_PACKET_BYTES, "{} bytes", bytes.len());
    assert_eq!(gossip::decode(&bytes), Some(difference_update));
}

#[test]
fn what_differs_makes_no_plan_from_another_one() {
    let (base, next) = (
        map_plan(7, experts_dealt_in_turn()),
        map_plan(8, experts_after_copies()),
    );
    let difference_update = PlanUpdate::with_differences(&base, &next);
    assert_eq!(
        difference_update.rebuild_plan(None),
        Err(PlanUpdateError::NoBase)
    );
    assert_eq!(
        difference_update.rebuild_plan(Some(&next)),
        Err(PlanUpdateError::NoBase)
    );
    // The same number, but not the same map.
    let other = map_plan(7, experts_after_copies());
    assert_eq!(difference_update.rebuild_plan(Some(&other)), Ok(next.clone()));
    let mut shifted = experts_dealt_in_turn();
    shifted[3][5][0] = 99;
    let other = map_plan(7, shifted);
    assert_eq!(
        difference_update.rebuild_plan(Some(&other)),
        Err(PlanUpdateError::Digest)
    );
}
