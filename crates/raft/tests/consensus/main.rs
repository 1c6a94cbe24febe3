//! Tests of the Raft implementation: single nodes and whole clusters with a simulated clock,
//! network and disk, all driven by a seed.

mod catch_up;
mod cluster;
mod election;
mod follower;
mod leader;
mod machine_loss;
mod membership_policy;
mod quorum_contact;
mod simulation;
mod status;
mod support;
