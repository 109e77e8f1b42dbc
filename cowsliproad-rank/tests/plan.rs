//! Plans on their way to agents.

use std::sync::Arc;

use cowsliproad_kernel::gossip;
use cowsliproad_mapswitch::order::{Epoch, ExpertsByLayerAndRank, Version};
use cowsliproad_rank::plan::{Misfit, Plan, Sheet};

/// The bytes that one packet of a datagram carries.
const PACKET: usize = 1_400;

fn plan(version: u64, experts: ExpertsByLayerAndRank) -> Plan {
    let version = Version(version);
    Plan { fence: 1, epoch: Epoch(1), version, experts: Arc::new(experts) }
}

/// 12 sets of 144 experts at 72 ranks, dealt in turn.
fn dealt() -> ExpertsByLayerAndRank {
    let rank = |rank: u16| vec![rank, rank + 72, (rank + 1) % 72];
    vec![(0..72).map(rank).collect(); 12]
}

/// The same after some hundred copies.
fn moved() -> ExpertsByLayerAndRank {
    let mut experts = dealt();
    for copy in 0..100_u16 {
        let held = &mut experts[usize::from(copy % 12)];
        held[usize::from(copy * 7 % 72)][2] = copy;
    }
    experts
}

#[test]
fn a_plan_arrives_whole_and_by_what_differs() {
    let (base, next) = (plan(7, dealt()), plan(8, moved()));
    let whole = Sheet::whole(&next);
    assert_eq!(whole.plan(None), Ok(next.clone()));
    let since = Sheet::since(&base, &next);
    assert_eq!(since.plan(Some(&base)), Ok(next));
    let bytes = gossip::encode(&since);
    assert!(bytes.len() < PACKET, "{} bytes", bytes.len());
    assert_eq!(gossip::decode(&bytes), Some(since));
}

#[test]
fn what_differs_makes_no_plan_from_another_one() {
    let (base, next) = (plan(7, dealt()), plan(8, moved()));
    let since = Sheet::since(&base, &next);
    assert_eq!(since.plan(None), Err(Misfit::NoBase));
    assert_eq!(since.plan(Some(&next)), Err(Misfit::NoBase));
    // The same number, but not the same map.
    let other = plan(7, moved());
    assert_eq!(since.plan(Some(&other)), Ok(next.clone()));
    let mut shifted = dealt();
    shifted[3][5][0] = 99;
    let other = plan(7, shifted);
    assert_eq!(since.plan(Some(&other)), Err(Misfit::Digest));
}
