package model

import "time"

// DrainEvidence is one witness's word that an endpoint or a host is leaving.
// Leaving belongs to one incarnation: a later incarnation starts clean.
type DrainEvidence struct {
	Endpoint    EndpointID  `json:"endpoint,omitempty"`
	Host        HostID      `json:"host,omitempty"`
	Incarnation Incarnation `json:"incarnation"`
	Source      DrainSource `json:"source"`
	// Age is how long ago the evidence was first seen, as known by the sender.
	Age time.Duration `json:"age"`
}

// DrainSource says who noticed that an endpoint or a host is leaving.
type DrainSource string

// The witnesses of a drain.
const (
	DrainFromHostList DrainSource = "host_list"
	DrainFromEndpoint DrainSource = "endpoint"
	DrainFromOperator DrainSource = "operator"
	DrainFromPeer     DrainSource = "peer"
)

// HostState is a host's condition as the membership protocol sees it.
type HostState string

// The conditions of a host.
const (
	HostAlive   HostState = "alive"
	HostSuspect HostState = "suspect"
	HostLeaving HostState = "leaving"
	HostDead    HostState = "dead"
)

// Member is a host in the membership view.
type Member struct {
	Host        HostID      `json:"host"`
	Zone        ZoneID      `json:"zone"`
	Incarnation Incarnation `json:"incarnation"`
	State       HostState   `json:"state"`
	// Control, EntryMesh, Entry and Rollout are the addresses as in Host.
	Control   string `json:"control"`
	EntryMesh string `json:"entry_mesh,omitempty"`
	Entry     string `json:"entry,omitempty"`
	Rollout   string `json:"rollout,omitempty"`
}

// QuarantinedRequest is a request fingerprint that crashed endpoints.
type QuarantinedRequest struct {
	Fingerprint uint64 `json:"fingerprint"`
	// Crashes counts distinct endpoint incarnations that died running it.
	Crashes int `json:"crashes"`
	// Remaining is how long the fingerprint stays suspected.
	Remaining time.Duration `json:"remaining"`
}

// EndpointLoad is an endpoint's load as last reported.
type EndpointLoad struct {
	Endpoint EndpointID    `json:"endpoint"`
	Running  int           `json:"running"`
	Queued   int           `json:"queued"`
	Version  WeightVersion `json:"version"`
	// Age is how old the report is at the sender.
	Age time.Duration `json:"age"`
}

// CallerDemand is how much a caller asks of one entry host.
type CallerDemand struct {
	Host   HostID   `json:"host"`
	Caller CallerID `json:"caller"`
	// PerSecond is the rate of requests that arrived, admitted or not.
	PerSecond float64 `json:"per_second"`
}

// FleetView is what a control program hands to the data-path programs of its host.
// A holder keeps using the last view it got when control is gone.
type FleetView struct {
	// Sequence grows with every change of the view within one control incarnation.
	Sequence   uint64               `json:"sequence"`
	Generation Generation           `json:"generation"`
	Config     *Config              `json:"config,omitempty"`
	Members    []Member             `json:"members"`
	Drains     []DrainEvidence      `json:"drains"`
	Quarantine []QuarantinedRequest `json:"quarantine"`
	Loads      []EndpointLoad       `json:"loads"`
	// Demands are the callers' demands on all entry hosts, as last heard.
	Demands []CallerDemand `json:"demands"`
	// OutageFor is how long the object API has been unreachable, 0 when it answers.
	OutageFor time.Duration `json:"outage_for"`
}
