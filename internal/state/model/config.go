package model

import "time"

// The struct tags of Config and of the types below define the settings. Package settings
// reads them: "ini" is the key, "default" its value if omitted (a key without default or
// optional is required), "range" the inclusive limits, "choice" the allowed values, "ref" the
// kind of section that the value must name, "kind" the format to validate, and "help" the
// text of the settings reference.

// Config is one accepted generation of the shared configuration; the program oleanderfall
// uses the one in package catalog instead. It is immutable once built:
// all users share the pointer and must not modify it.
type Config struct {
	System      System                      `json:"system" section:"system"`
	Zones       map[ZoneID]Zone             `json:"zones" section:"zone"`
	Hosts       map[HostID]Host             `json:"hosts" section:"host"`
	Deployments map[DeploymentID]Deployment `json:"deployments" section:"deployment"`
	Services    map[ServiceID]Service       `json:"services" section:"service"`
	Endpoints   map[EndpointID]Endpoint     `json:"endpoints" section:"endpoint"`
	Callers     map[CallerID]Caller         `json:"callers" section:"caller"`
	Trainers    map[TrainerID]Trainer       `json:"trainers" section:"trainer"`
	Scorers     map[ScorerID]Scorer         `json:"scorers" section:"scorer"`
}

// System contains the limits that apply to the complete installation.
type System struct {
	// AddressLifetime is how long a caller may cache a response that lists entry hosts.
	AddressLifetime time.Duration `json:"address_lifetime" ini:"address_lifetime" default:"10s" range:"100ms..10m" help:"How long a caller may keep an answer that names entry hosts."`
	// ClaimShards is the number of shards of the idempotency-key space.
	ClaimShards int `json:"claim_shards" ini:"claim_shards" default:"4" range:"1..64" help:"Shards of the idempotency-key space."`
	// ClaimCommitInterval is the minimum time between two group commits of one claim shard.
	ClaimCommitInterval time.Duration `json:"claim_commit_interval" ini:"claim_commit_interval" default:"40ms" range:"1ms..1s" help:"Least time between two group commits of one claim shard."`
	// ClaimLifetime is how long a claim is kept after its request has ended.
	ClaimLifetime time.Duration `json:"claim_lifetime" ini:"claim_lifetime" default:"10m" range:"1s..24h" help:"How long a claim is remembered after its request ended."`
	// ObjectAPIReadsPerSecond bounds the reads that each program of a host sends to the
	// object API.
	ObjectAPIReadsPerSecond float64 `json:"object_api_reads_per_second" ini:"object_api_reads_per_second" default:"100" range:"1..2000" help:"Reads a second that each program of a host may send to the object API."`
	// ObjectAPIWritesPerSecond bounds the writes that each program of a host sends to the
	// object API.
	ObjectAPIWritesPerSecond float64 `json:"object_api_writes_per_second" ini:"object_api_writes_per_second" default:"50" range:"1..500" help:"Writes a second that each program of a host may send to the object API."`
}

// Zone is an availability zone.
type Zone struct {
	Region RegionID `json:"region" ini:"region" help:"The region the zone lies in."`
}

// Host is one machine of the system.
type Host struct {
	Zone ZoneID `json:"zone" ini:"zone" ref:"zone" help:"The availability zone the host stands in."`
	// Entry is the HTTP address for callers, empty if the host runs no entry program.
	Entry string `json:"entry" ini:"entry" optional:"true" kind:"address" help:"HTTP address that callers use; empty for none."`
	// EntryMesh is the UDP address at which other entry programs reach the entry program.
	EntryMesh string `json:"entry_mesh" ini:"entry_mesh" optional:"true" kind:"address" help:"UDP address of the entry program for other entry programs."`
	// Control is the UDP address of the control program.
	Control string `json:"control" ini:"control" kind:"address" help:"UDP address of the control program."`
	// Rollout is the HTTP address of the rollout program, empty if there is none.
	Rollout string `json:"rollout" ini:"rollout" optional:"true" kind:"address" help:"HTTP address of the rollout program; empty for none."`
	// BulkDisk reports whether the host has a small disk for bulk data.
	BulkDisk bool `json:"bulk_disk" ini:"bulk_disk" default:"false" help:"The host has a small disk for bulk data."`
}

// Deployment is a set of engines that serve one model to services and trainers.
type Deployment struct {
	Model string `json:"model" ini:"model" help:"The model's name in the weight store."`
	// MaxRunning is the maximum number of requests that one engine runs concurrently.
	MaxRunning int `json:"max_running" ini:"max_running" default:"32" range:"1..4096" help:"Most requests one engine runs at once."`
	// TrainingFloor is the share of slots reserved for training under live load, 0..1.
	TrainingFloor float64 `json:"training_floor" ini:"training_floor" default:"0.2" range:"0..1" help:"Share of slots kept for training under live load."`
	// ServingFloor is the share of engines that remain in service during a weight swap, 0..1.
	ServingFloor float64 `json:"serving_floor" ini:"serving_floor" default:"0.5" range:"0..1" help:"Share of engines that stay in service during a weight swap."`
	// WeightsDeadline is the time within which a new version must reach every engine.
	WeightsDeadline time.Duration `json:"weights_deadline" ini:"weights_deadline" default:"28s" range:"1s..1h" help:"Time in which a new version must reach every engine."`
}

// Service is a plain service to which the system routes requests.
type Service struct {
	// Timeout bounds a request whose caller sets no deadline.
	Timeout time.Duration `json:"timeout" ini:"timeout" default:"5s" range:"10ms..10m" help:"Bounds a request whose caller gives no deadline."`
	// NonIdempotent lists the names of the calls that may run at most once.
	NonIdempotent []string `json:"non_idempotent" ini:"non_idempotent" optional:"true" help:"Calls that may run at most once, separated by commas."`
	// Objective is the share of requests that must succeed in time, 0..1.
	Objective float64 `json:"objective" ini:"objective" default:"0.999" range:"0..1" help:"Share of requests that must succeed in time."`
	// MaxRunning is the maximum number of requests that one endpoint runs concurrently.
	MaxRunning int `json:"max_running" ini:"max_running" default:"16" range:"1..4096" help:"Most requests one endpoint runs at once."`
}

// IsNonIdempotent reports whether the call with this name may run at most once.
func (s Service) IsNonIdempotent(call string) bool {
	for _, c := range s.NonIdempotent {
		if c == call {
			return true
		}
	}
	return false
}

// EndpointKind is the kind of requests that an endpoint serves.
type EndpointKind string

// The endpoint kinds.
const (
	EndpointEngine EndpointKind = "engine"
	EndpointPlain  EndpointKind = "plain"
)

// Endpoint is one back-end server.
type Endpoint struct {
	Kind EndpointKind `json:"kind" ini:"kind" choice:"engine,plain" help:"What the endpoint serves."`
	// Deployment is set for engine endpoints, Service for plain endpoints.
	Deployment DeploymentID `json:"deployment,omitempty" ini:"deployment" optional:"true" ref:"deployment" help:"The deployment of an engine."`
	Service    ServiceID    `json:"service,omitempty" ini:"service" optional:"true" ref:"service" help:"The service of a plain endpoint."`
	Zone       ZoneID       `json:"zone" ini:"zone" ref:"zone" help:"The availability zone the endpoint stands in."`
	// Address is the HTTP host:port of the server.
	Address string `json:"address" ini:"address" kind:"address" help:"HTTP host:port of the server."`
	// Fencing reports whether the server rejects orders with an outdated fencing number.
	Fencing bool `json:"fencing" ini:"fencing" default:"false" help:"The server refuses an order with an old fencing number."`
}

// Priority is a class of work; a larger value is served first.
type Priority int

// The priorities.
const (
	PriorityTraining Priority = 0
	PriorityBatch    Priority = 1
	PriorityLive     Priority = 2
)

// Caller is a configured sender of requests.
type Caller struct {
	Priority Priority `json:"priority" ini:"priority" choice:"training,batch,live" default:"live" help:"The class of the caller's work."`
	// RequestsPerSecond bounds the caller's request rate over all entry hosts together; 0
	// means unlimited.
	RequestsPerSecond float64 `json:"requests_per_second" ini:"requests_per_second" default:"0" range:"0..1000000" help:"Bounds the caller over all entry hosts together; 0 is unlimited."`
	// MaxRunning bounds the caller's concurrent requests on one entry host; 0 means
	// unlimited.
	MaxRunning int `json:"max_running" ini:"max_running" default:"0" range:"0..100000" help:"Bounds the caller's requests at once on one entry host; 0 is unlimited."`
}

// Trainer is a consumer of samples.
type Trainer struct {
	Deployment DeploymentID `json:"deployment" ini:"deployment" ref:"deployment" help:"The deployment whose engines make the samples."`
	Scorer     ScorerID     `json:"scorer,omitempty" ini:"scorer" optional:"true" ref:"scorer" help:"The service that scores the samples."`
	// GroupSize is the number of samples generated for one prompt.
	GroupSize int `json:"group_size" ini:"group_size" default:"8" range:"1..1024" help:"Samples drawn for one prompt."`
	// StepSamples is the maximum number of samples in a step.
	StepSamples int `json:"step_samples" ini:"step_samples" default:"4096" range:"1..65536" help:"Most samples in a step."`
	// StalenessBound is the maximum number of versions by which a delivered sample may be
	// behind the trainer.
	StalenessBound int `json:"staleness_bound" ini:"staleness_bound" default:"1" range:"0..1000" help:"Most versions a delivered sample may be behind the trainer."`
	// Freshness ranges from 0 (keep the trainer busy) to 1 (keep samples fresh).
	Freshness float64 `json:"freshness" ini:"freshness" default:"0.5" range:"0..1" help:"0 keeps the trainer busy, 1 keeps samples fresh."`
	// Share is the trainer's relative weight when trainers compete for engines.
	Share float64 `json:"share" ini:"share" default:"1" range:"0.001..1000" help:"The trainer's weight when trainers compete for engines."`
	// SpareGroups is the share of additional groups that are started because of
	// stragglers, 0..1.
	SpareGroups float64 `json:"spare_groups" ini:"spare_groups" default:"0" range:"0..1" help:"Share of extra groups started against stragglers."`
}

// Scorer is a service that scores samples.
type Scorer struct {
	Address string `json:"address" ini:"address" kind:"address" help:"HTTP host:port of the scorer."`
	// Timeout bounds one call.
	Timeout time.Duration `json:"timeout" ini:"timeout" default:"2s" range:"10ms..10m" help:"Bounds one call."`
}
