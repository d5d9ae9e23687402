package wire

import "oleanderfall.example/oleanderfall/internal/state/model"

// ViewRequest requests the fleet view as soon as it differs from the requester's view.
type ViewRequest struct {
	// ControlIncarnation and After are the incarnation of the control program and the
	// sequence of the requester's view, 0 if it has none.
	ControlIncarnation uint64 `cbor:"1,keyasint"`
	After              uint64 `cbor:"2,keyasint"`
	// Generation is the generation of the requester's configuration. The reply omits the
	// configuration if its generation is the same.
	Generation model.Generation `cbor:"3,keyasint"`
	// WaitMillis is how long to wait for a change before replying with an unchanged view.
	WaitMillis int64 `cbor:"4,keyasint"`
}

// ViewReply contains the fleet view. View.Config is nil if its generation is the requester's.
type ViewReply struct {
	ControlIncarnation uint64          `cbor:"1,keyasint"`
	View               model.FleetView `cbor:"2,keyasint"`
}

// Report contains the observations that a data-path program sends to its control program.
type Report struct {
	Host       model.HostID               `cbor:"1,keyasint"`
	Program    string                     `cbor:"2,keyasint"`
	Drains     []model.DrainEvidence      `cbor:"3,keyasint"`
	Quarantine []model.QuarantinedRequest `cbor:"4,keyasint"`
	Demands    []model.CallerDemand       `cbor:"5,keyasint"`
	// Stopping reports that the program has begun a planned stop.
	Stopping bool `cbor:"6,keyasint"`
	// NotReady reports that the entry program does not serve callers, because its port is
	// closed or it has no view. Programs of earlier builds leave it out.
	NotReady bool `cbor:"7,keyasint,omitempty"`
}

// EntryProgram is the Program of the reports of the entry program.
const EntryProgram = "oleander-entry"

// ReportReply acknowledges a Report.
type ReportReply struct{}

// ApplyRequest submits a complete configuration.
type ApplyRequest struct {
	// Config is the canonical form (settings.EncodeConfig).
	Config []byte `cbor:"1,keyasint"`
	// Base is the generation on which the operator's change is based.
	Base     model.Generation `cbor:"2,keyasint"`
	Operator string           `cbor:"3,keyasint"`
	Note     string           `cbor:"4,keyasint"`
	// RequestID makes the call idempotent.
	RequestID string `cbor:"5,keyasint"`
}

// ApplyReply returns the generation that contains the change.
type ApplyReply struct {
	Generation model.Generation `cbor:"1,keyasint"`
}

// ConfigRequest requests a generation; 0 means the one in force at the receiver.
type ConfigRequest struct {
	Generation model.Generation `cbor:"1,keyasint"`
	// List requests the history instead of a configuration.
	List bool `cbor:"2,keyasint"`
	// Packed requests the compressed form; peers set it.
	Packed bool `cbor:"3,keyasint"`
	// Head requests only the number and the digest of the generation in force.
	Head bool `cbor:"4,keyasint"`
}

// ConfigReply returns a generation, its head or the history.
type ConfigReply struct {
	Generation model.Generation `cbor:"1,keyasint"`
	Config     []byte           `cbor:"2,keyasint"`
	History    []Change         `cbor:"3,keyasint"`
	// Packed is the compressed canonical form. Digest is the digest of the canonical form.
	Packed []byte `cbor:"4,keyasint"`
	Digest string `cbor:"5,keyasint"`
}

// Change describes one accepted generation.
type Change struct {
	Generation model.Generation `cbor:"1,keyasint" json:"generation"`
	Operator   string           `cbor:"2,keyasint" json:"operator"`
	Note       string           `cbor:"3,keyasint" json:"note"`
	// AppliedUnixMillis is the time of the commit by the committing host's clock. It is
	// for display only.
	AppliedUnixMillis int64  `cbor:"4,keyasint" json:"applied_unix_ms"`
	Digest            string `cbor:"5,keyasint" json:"digest"`
}

// DrainRequest drains an endpoint or a host, or cancels its drain. Exactly one of Endpoint
// and Host is set.
type DrainRequest struct {
	Endpoint model.EndpointID `cbor:"1,keyasint"`
	Host     model.HostID     `cbor:"2,keyasint"`
	Cancel   bool             `cbor:"3,keyasint"`
	Operator string           `cbor:"4,keyasint"`
}

// DrainReply acknowledges a DrainRequest.
type DrainReply struct{}

// StatusRequest requests the status of a control program.
type StatusRequest struct{}

// StatusReply is the status of a control program and its view of the fleet.
type StatusReply struct {
	Host      model.HostID     `cbor:"1,keyasint" json:"host"`
	View      model.FleetView  `cbor:"2,keyasint" json:"view"`
	Hosts     []HostGeneration `cbor:"3,keyasint" json:"hosts"`
	Shards    []ShardStatus    `cbor:"4,keyasint" json:"shards"`
	Endpoints []EndpointStatus `cbor:"5,keyasint" json:"endpoints"`
}

// HostGeneration is the last received configuration generation of a host.
type HostGeneration struct {
	Host       model.HostID     `cbor:"1,keyasint" json:"host"`
	Generation model.Generation `cbor:"2,keyasint" json:"generation"`
}

// ShardStatus is the owner of a shard.
type ShardStatus struct {
	Shard string       `cbor:"1,keyasint" json:"shard"`
	Owner model.HostID `cbor:"2,keyasint" json:"holder"`
	Epoch model.Epoch  `cbor:"3,keyasint" json:"epoch"`
}

// EndpointStatus is the last reported state of an endpoint. Draining is set if it is draining.
type EndpointStatus struct {
	Endpoint model.EndpointID    `cbor:"1,keyasint" json:"endpoint"`
	Version  model.WeightVersion `cbor:"2,keyasint" json:"version"`
	Draining bool                `cbor:"3,keyasint" json:"leaving"`
	// Reachable reports whether the endpoint could be reached.
	Reachable bool `cbor:"4,keyasint" json:"reached"`
}
