//! The transfer of an expert map from the coordinator to all agents.
//!
//! An order to an engine contains a whole map, but a new map differs from the
//! previous map in only a few lists. So an agent that has the previous map
//! receives the differences: a datagram of one packet instead of about eight,
//! any of which may be lost. Agents that lack the previous map receive the
//! whole map.
//!
//! Ranks don't compare maps. So an agent accepts a plan only if the digest
//! matches: an agent that would assemble a different map than the other agents
//! rejects the plan.

use std::{net::SocketAddr, sync::Arc};

use cowsliproad_mapswitch::order::{Epoch, ExpertsByLayerAndRank, Version};
use serde::{Deserialize, Serialize};

/// An expert map that all ranks have to prepare.
#[derive(Clone, Debug, PartialEq)]
pub struct MapPlan {
    /// The fencing number of the coordinator that made the plan.
    pub fencing_number: u64,
    /// The epoch of the group in which the plan is valid. The epoch changes
    /// when the group forms again.
    pub group_epoch: Epoch,
    /// The version of the planned map.
    pub map_version: Version,
    /// The experts that every rank holds under the planned map.
    pub experts: Arc<ExpertsByLayerAndRank>,
}

/// A plan in the form in which agents send it to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlanUpdate {
    /// The fencing number of the coordinator that made the plan.
    #[serde(rename = "f")]
    pub fencing_number: u64,
    /// The epoch of the group in which the plan is valid. The epoch changes
    /// when the group forms again.
    #[serde(rename = "e")]
    pub group_epoch: Epoch,
    /// The version of the planned map.
    #[serde(rename = "v")]
    pub map_version: Version,
    /// The whole map, or its differences from a base plan.
    #[serde(rename = "c")]
    plan_content: PlanContent,
    /// The digest of the experts of all ranks under the planned map.
    #[serde(rename = "d")]
    map_digest: u64,
    /// The agents to which the receiver forwards the plan.
    #[serde(rename = "p")]
    pub forward_to_agents: Vec<SocketAddr>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum PlanContent {
    /// The whole map: all experts, by layer and rank.
    #[serde(rename = "w")]
    Whole(Arc<ExpertsByLayerAndRank>),
    /// The version of the base plan, and the expert lists that differ from
    /// that plan.
    #[serde(rename = "s")]
    Differences(Version, Vec<LayerSetRankAndExperts>),
}

/// The experts that one rank holds in one set of layers. The fields are the
/// index of the layer set, the rank, and the ids of the experts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct LayerSetRankAndExperts(u16, u16, Vec<u16>);

/// The reason why an agent can't rebuild a plan from an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlanUpdateError {
    /// The agent doesn't have the base plan of the update.
    NoBase,
    /// The rebuilt map's digest differs from that of the sent map.
    Digest,
}

impl PlanUpdate {
    /// Creates an update that holds the whole plan, for agents that lack the
    /// base plan.
    pub fn with_whole_map(plan: &MapPlan) -> PlanUpdate {
        PlanUpdate::new(plan, PlanContent::Whole(plan.experts.clone()))
    }

    /// Creates an update that holds the differences from a base plan, for
    /// agents that have the base plan.
    pub fn with_differences(base: &MapPlan, plan: &MapPlan) -> PlanUpdate {
        let mut lists = Vec::new();
        let sets = base.experts.iter().zip(plan.experts.iter()).enumerate();
        for (set, (old, new)) in sets {
            let ranks = old.iter().zip(new).enumerate();
            for (rank, (_, held)) in ranks.filter(|(_, it)| it.0 != it.1) {
                lists.push(LayerSetRankAndExperts(
                    set as u16,
                    rank as u16,
                    held.clone(),
                ));
            }
        }
        PlanUpdate::new(
            plan,
            PlanContent::Differences(base.map_version, lists),
        )
    }

    /// Returns a copy of the update that the receiver forwards to these
    /// agents.
    pub fn with_forwarding_to(&self, agents: &[SocketAddr]) -> PlanUpdate {
        PlanUpdate { forward_to_agents: agents.to_vec(), ..self.clone() }
    }

    fn new(plan: &MapPlan, plan_content: PlanContent) -> PlanUpdate {
        let MapPlan { fencing_number, group_epoch, map_version, .. } = *plan;
        let map_digest = digest_of_experts(&plan.experts);
        PlanUpdate {
            fencing_number,
            group_epoch,
            map_version,
            plan_content,
            map_digest,
            forward_to_agents: Vec::new(),
        }
    }

    /// Rebuilds the plan of the update. `held_plan` is the plan that the agent
    /// already has, if any.
    pub fn rebuild_plan(
        &self,
        held_plan: Option<&MapPlan>,
    ) -> Result<MapPlan, PlanUpdateError> {
        let experts = match &self.plan_content {
            PlanContent::Whole(experts) => experts.clone(),
            PlanContent::Differences(base, lists) => {
                let held = held_plan.filter(|it| it.map_version == *base);
                let held = held.ok_or(PlanUpdateError::NoBase)?;
                Arc::new(replace_expert_lists(&held.experts, lists)?)
            }
        };
        if digest_of_experts(&experts) != self.map_digest {
            return Err(PlanUpdateError::Digest);
        }
        let PlanUpdate { fencing_number, group_epoch, map_version, .. } =
            *self;
        Ok(MapPlan { fencing_number, group_epoch, map_version, experts })
    }
}

fn replace_expert_lists(
    base: &ExpertsByLayerAndRank,
    lists: &[LayerSetRankAndExperts],
) -> Result<ExpertsByLayerAndRank, PlanUpdateError> {
    let mut experts = base.clone();
    for LayerSetRankAndExperts(set, rank, held) in lists {
        let ranks = experts.get_mut(usize::from(*set));
        let list = ranks.and_then(|it| it.get_mut(usize::from(*rank)));
        *list.ok_or(PlanUpdateError::Digest)? = held.clone();
    }
    Ok(experts)
}

fn digest_of_experts(experts: &ExpertsByLayerAndRank) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for held in experts.iter().flatten() {
        hasher.update(&(held.len() as u16).to_le_bytes());
        for expert in held {
            hasher.update(&expert.to_le_bytes());
        }
    }
    let bytes = hasher.finalize();
    let (first, _) = bytes.as_bytes().split_at(size_of::<u64>());
    first.iter().fold(0, |sum, it| sum << 8 | u64::from(*it))
}
