package model

// HostID identifies a machine that runs the system's processes.
type HostID string

// ZoneID identifies an availability zone.
type ZoneID string

// RegionID identifies a region, which is a group of availability zones.
type RegionID string

// EndpointID identifies a back-end server: a model engine or a server of a plain service.
type EndpointID string

// DeploymentID identifies a deployment: the engines that serve one model.
type DeploymentID string

// ServiceID identifies a plain service to which the system routes requests.
type ServiceID string

// CallerID identifies a caller, as given by its client certificate or header.
type CallerID string

// TrainerID identifies a trainer.
type TrainerID string

// ScorerID identifies a service that scores samples.
type ScorerID string

// WeightVersion is the number of a published weight version of one model; 0 means that none
// was reported.
type WeightVersion uint64

// Generation is the number of an accepted configuration. It never decreases; 0 means that none
// has been accepted.
type Generation uint64

// Epoch is the number of a shard ownership. It increases with each takeover.
type Epoch uint64

// Incarnation distinguishes successive starts of the same host or endpoint.
type Incarnation uint64
