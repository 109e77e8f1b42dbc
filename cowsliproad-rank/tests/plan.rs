//! Tests of how plans are sent to agents.

use std::sync::Arc;

use cowsliproad_kernel::gossip;
use cowsliproad_mapswitch::order::{Epoch, ExpertsByLayerAndRank, Version};
use cowsliproad_rank::plan::{MapPlan, PlanUpdate, PlanUpdateError};

/// The payload of one network packet.
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

/// Returns a map that assigns 12 sets of 144 experts round-robin to 72 ranks.
fn experts_assigned_round_robin() -> ExpertsByLayerAndRank {
    let rank = |rank: u16| vec![rank, rank + 72, (rank + 1) % 72];
    vec![(0..72).map(rank).collect(); 12]
}

/// Returns the map of `experts_assigned_round_robin` after a hundred experts
/// were copied to other ranks.
fn experts_after_copies() -> ExpertsByLayerAndRank {
    let mut experts = experts_assigned_round_robin();
    for copy in 0..100_u16 {
        let held = &mut experts[usize::from(copy % 12)];
        held[usize::from(copy * 7 % 72)][2] = copy;
    }
    experts
}

#[test]
fn whole_and_difference_updates_rebuild_the_plan() {
    let (base, next) = (
        map_plan(7, experts_assigned_round_robin()),
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
fn difference_update_rejects_a_wrong_base_plan() {
    let (base, next) = (
        map_plan(7, experts_assigned_round_robin()),
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
    // This base plan has the expected version but a different map.
    let other = map_plan(7, experts_after_copies());
    assert_eq!(difference_update.rebuild_plan(Some(&other)), Ok(next.clone()));
    let mut shifted = experts_assigned_round_robin();
    shifted[3][5][0] = 99;
    let other = map_plan(7, shifted);
    assert_eq!(
        difference_update.rebuild_plan(Some(&other)),
        Err(PlanUpdateError::Digest)
    );
}
