package model

import "time"

// DrainEvidence is a report from one source that an endpoint or a host is leaving. It applies
// to one incarnation and does not affect later ones. Incarnation 0 means that it is unknown or,
// from an operator, every incarnation.
type DrainEvidence struct {
	Endpoint    EndpointID  `json:"endpoint,omitempty"`
	Host        HostID      `json:"host,omitempty"`
	Incarnation Incarnation `json:"incarnation"`
	Source      DrainSource `json:"source"`
	// Age is the time since the evidence was first received, as known to the sender.
	Age time.Duration `json:"age"`
}

// DrainSource is the source of a report that an endpoint or a host is leaving.
type DrainSource string

// The drain sources.
const (
	DrainFromHostList DrainSource = "host_list"
	DrainFromEndpoint DrainSource = "endpoint"
	DrainFromOperator DrainSource = "operator"
	DrainFromPeer     DrainSource = "peer"
)

// HostState is the state of a host in the membership protocol.
type HostState string

// The host states.
const (
	HostAlive    HostState = "alive"
	HostSuspect  HostState = "suspect"
	HostDraining HostState = "leaving"
	HostDead     HostState = "dead"
)

// Member is a host in the membership view.
type Member struct {
	Host        HostID      `json:"host"`
	Zone        ZoneID      `json:"zone"`
	Incarnation Incarnation `json:"incarnation"`
	State       HostState   `json:"state"`
	// Control, EntryMesh, Entry and Rollout are the addresses from Host.
	Control   string `json:"control"`
	EntryMesh string `json:"entry_mesh,omitempty"`
	Entry     string `json:"entry,omitempty"`
	Rollout   string `json:"rollout,omitempty"`
	// EntryNotReady is set if the host's entry program does not serve callers.
	EntryNotReady bool `json:"entry_not_ready,omitempty"`
}

// QuarantinedRequest is the fingerprint of requests that crashed endpoints.
type QuarantinedRequest struct {
	Fingerprint uint64 `json:"fingerprint"`
	// Crashes is the number of distinct endpoint incarnations that crashed while running
	// such a request.
	Crashes int `json:"crashes"`
	// Consecutive is the number of crashes in attempts of any hosts, each of which began after its
	// host knew of the one before. Builds that do not know it leave it zero.
	Consecutive int `json:"consecutive,omitempty"`
	// Remaining is the time until the quarantine ends.
	Remaining time.Duration `json:"remaining"`
}

// EndpointLoad is the last reported load of an endpoint.
type EndpointLoad struct {
	Endpoint EndpointID    `json:"endpoint"`
	Running  int           `json:"running"`
	Queued   int           `json:"queued"`
	Version  WeightVersion `json:"version"`
	// Age is the age of the report at the sender.
	Age time.Duration `json:"age"`
}

// CallerDemand is a caller's request rate at one entry host.
type CallerDemand struct {
	Host   HostID   `json:"host"`
	Caller CallerID `json:"caller"`
	// PerSecond is the rate of received requests, whether admitted or not.
	PerSecond float64 `json:"per_second"`
}

// FleetView is the state of the fleet that a control program sends to the data-path programs
// of its host. They continue to use the last view received while the control program is
// unavailable.
type FleetView struct {
	// Sequence increases with every change of the view within one incarnation of the
	// control program.
	Sequence   uint64               `json:"sequence"`
	Generation Generation           `json:"generation"`
	Config     *Config              `json:"config,omitempty"`
	Members    []Member             `json:"members"`
	Drains     []DrainEvidence      `json:"drains"`
	Quarantine []QuarantinedRequest `json:"quarantine"`
	Loads      []EndpointLoad       `json:"loads"`
	// Demands lists the last received demands of callers at all entry hosts.
	Demands []CallerDemand `json:"demands"`
	// OutageFor is how long the object API has been unavailable, 0 if it is available.
	OutageFor time.Duration `json:"outage_for"`
}
