//! A map on its way from the coordinator to all agents.
//!
//! Engines are ordered a whole map, but a new one differs from the one
//! before in a few lists. So an agent that has the last one is sent what
//! differs: a datagram of one packet instead of some eight, any of which may
//! be lost. A whole map is sent to those that lack the one before.
//!
//! Ranks don't compare maps, so a plan is only taken when its digest fits:
//! an agent that would put together another map than the rest has none.

use std::{net::SocketAddr, sync::Arc};

use cowsliproad_mapswitch::order::{Epoch, ExpertsByLayerAndRank, Version};
use serde::{Deserialize, Serialize};

/// A map that is to be prepared.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The coordinator's fencing number.
    pub fence: u64,
    /// The formation that it is for.
    pub epoch: Epoch,
    /// Its number.
    pub version: Version,
    /// The experts of every rank.
    pub experts: Arc<ExpertsByLayerAndRank>,
}

/// A plan as it is sent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Sheet {
    /// The coordinator's fencing number.
    #[serde(rename = "f")]
    pub fence: u64,
    /// The formation that it is for.
    #[serde(rename = "e")]
    pub epoch: Epoch,
    /// Its number.
    #[serde(rename = "v")]
    pub version: Version,
    /// What it says.
    #[serde(rename = "c")]
    content: Content,
    /// Of all experts of the map.
    #[serde(rename = "d")]
    digest: u64,
    /// Agents that whoever gets this passes it on to.
    #[serde(rename = "p")]
    pub pass_on: Vec<SocketAddr>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum Content {
    /// The experts of every rank.
    #[serde(rename = "w")]
    Whole(Arc<ExpertsByLayerAndRank>),
    /// What differs from another plan.
    #[serde(rename = "s")]
    Since(Version, Vec<List>),
}

/// A set, a rank and the experts that it has there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct List(u16, u16, Vec<u16>);

/// Why a sheet makes no plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Misfit {
    /// The plan that it starts from isn't there.
    NoBase,
    /// The map is not the one that was sent.
    Digest,
}

impl Sheet {
    /// A plan as whoever has nothing needs it.
    pub fn whole(plan: &Plan) -> Sheet {
        Sheet::new(plan, Content::Whole(plan.experts.clone()))
    }

    /// A plan as whoever has another one needs it.
    pub fn since(base: &Plan, plan: &Plan) -> Sheet {
        let mut lists = Vec::new();
        let sets = base.experts.iter().zip(plan.experts.iter()).enumerate();
        for (set, (old, new)) in sets {
            let ranks = old.iter().zip(new).enumerate();
            for (rank, (_, held)) in ranks.filter(|(_, it)| it.0 != it.1) {
                lists.push(List(set as u16, rank as u16, held.clone()));
            }
        }
        Sheet::new(plan, Content::Since(base.version, lists))
    }

    /// The same, to be passed on to some agents.
    pub fn with_pass_on(&self, agents: &[SocketAddr]) -> Sheet {
        Sheet { pass_on: agents.to_vec(), ..self.clone() }
    }

    fn new(plan: &Plan, content: Content) -> Sheet {
        let Plan { fence, epoch, version, .. } = *plan;
        let digest = digest(&plan.experts);
        Sheet { fence, epoch, version, content, digest, pass_on: Vec::new() }
    }

    /// The plan, for an agent that has another one.
    pub fn plan(&self, held: Option<&Plan>) -> Result<Plan, Misfit> {
        let experts = match &self.content {
            Content::Whole(experts) => experts.clone(),
            Content::Since(base, lists) => {
                let held = held.filter(|it| it.version == *base);
                let held = held.ok_or(Misfit::NoBase)?;
                Arc::new(changed(&held.experts, lists)?)
            }
        };
        if digest(&experts) != self.digest {
            return Err(Misfit::Digest);
        }
        let Sheet { fence, epoch, version, .. } = *self;
        Ok(Plan { fence, epoch, version, experts })
    }
}

fn changed(
    base: &ExpertsByLayerAndRank,
    lists: &[List],
) -> Result<ExpertsByLayerAndRank, Misfit> {
    let mut experts = base.clone();
    for List(set, rank, held) in lists {
        let ranks = experts.get_mut(usize::from(*set));
        let list = ranks.and_then(|it| it.get_mut(usize::from(*rank)));
        *list.ok_or(Misfit::Digest)? = held.clone();
    }
    Ok(experts)
}

fn digest(experts: &ExpertsByLayerAndRank) -> u64 {
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
