package model

// HostID names one machine that runs this system's processes.
type HostID string

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a region, a group of availability zones.
type RegionID string

// EndpointID names one back end: a model engine server or a plain service server.
type EndpointID string

// DeploymentID names a rollout deployment: the engines that serve one model.
type DeploymentID string

// ServiceID names a plain service the system routes to.
type ServiceID string

// CallerID names a caller, as its client certificate or header states it.
type CallerID string

// TrainerID names a trainer.
type TrainerID string

// ScorerID names a service that scores samples.
type ScorerID string

// WeightVersion numbers published weights of one model; 0 means none reported.
type WeightVersion uint64

// Generation numbers accepted configurations; it only grows. 0 means none yet.
type Generation uint64

// Epoch numbers the ownership of a shard; it grows with each takeover.
type Epoch uint64

// Incarnation distinguishes two lives of the same host or endpoint.
type Incarnation uint64
