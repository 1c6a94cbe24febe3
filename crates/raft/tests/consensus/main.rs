//! Members of the log, alone and in clusters, on a seeded clock, network and disk.

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
