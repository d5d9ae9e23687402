package wire

import "oleanderfall.example/oleanderfall/internal/state/model"

// FeedRequest asks for the fleet view once it differs from what the caller holds.
type FeedRequest struct {
	// ControlIncarnation and After are those of the view held, 0 for none.
	ControlIncarnation uint64 `cbor:"1,keyasint"`
	After              uint64 `cbor:"2,keyasint"`
	// Generation is that of the configuration held; the reply leaves it out then.
	Generation model.Generation `cbor:"3,keyasint"`
	// WaitMillis is how long to wait for a change before replying all the same.
	WaitMillis int64 `cbor:"4,keyasint"`
}

// FeedReply carries the view. View.Config is nil when the generation is the one held.
type FeedReply struct {
	ControlIncarnation uint64          `cbor:"1,keyasint"`
	View               model.FleetView `cbor:"2,keyasint"`
}

// Report is what a data-path program tells its control program.
type Report struct {
	Host       model.HostID               `cbor:"1,keyasint"`
	Program    string                     `cbor:"2,keyasint"`
	Drains     []model.DrainEvidence      `cbor:"3,keyasint"`
	Quarantine []model.QuarantinedRequest `cbor:"4,keyasint"`
	Demands    []model.CallerDemand       `cbor:"5,keyasint"`
	// Stopping says that this program of the host began a planned stop.
	Stopping bool `cbor:"6,keyasint"`
}

// ReportReply acknowledges a Report.
type ReportReply struct{}

// ApplyRequest hands over a whole configuration.
type ApplyRequest struct {
	// Config is the canonical form (settings.EncodeConfig).
	Config []byte `cbor:"1,keyasint"`
	// Base is the generation the operator's change started from.
	Base     model.Generation `cbor:"2,keyasint"`
	Operator string           `cbor:"3,keyasint"`
	Note     string           `cbor:"4,keyasint"`
	// RequestID makes the call idempotent.
	RequestID string `cbor:"5,keyasint"`
}

// ApplyReply names the generation that holds the change.
type ApplyReply struct {
	Generation model.Generation `cbor:"1,keyasint"`
}

// ConfigRequest asks for a generation; 0 asks for the one in force here.
type ConfigRequest struct {
	Generation model.Generation `cbor:"1,keyasint"`
	// List asks for the history instead of a configuration.
	List bool `cbor:"2,keyasint"`
	// Packed asks for the compressed form, as peers do.
	Packed bool `cbor:"3,keyasint"`
	// Head asks for the number and the digest of the generation in force only.
	Head bool `cbor:"4,keyasint"`
}

// ConfigReply carries a generation.
type ConfigReply struct {
	Generation model.Generation `cbor:"1,keyasint"`
	Config     []byte           `cbor:"2,keyasint"`
	History    []Change         `cbor:"3,keyasint"`
	// Packed is the compressed canonical form, Digest that of the canonical form.
	Packed []byte `cbor:"4,keyasint"`
	Digest string `cbor:"5,keyasint"`
}

// Change describes one accepted generation.
type Change struct {
	Generation model.Generation `cbor:"1,keyasint" json:"generation"`
	Operator   string           `cbor:"2,keyasint" json:"operator"`
	Note       string           `cbor:"3,keyasint" json:"note"`
	// AppliedUnixMillis is the committing host's clock, for people only.
	AppliedUnixMillis int64  `cbor:"4,keyasint" json:"applied_unix_ms"`
	Digest            string `cbor:"5,keyasint" json:"digest"`
}

// DrainRequest drains an endpoint or a host, or ends its drain.
type DrainRequest struct {
	Endpoint model.EndpointID `cbor:"1,keyasint"`
	Host     model.HostID     `cbor:"2,keyasint"`
	Cancel   bool             `cbor:"3,keyasint"`
	Operator string           `cbor:"4,keyasint"`
}

// DrainReply acknowledges a DrainRequest.
type DrainReply struct{}

// StatusRequest asks a control program what it sees.
type StatusRequest struct{}

// StatusReply is a control program's account of itself and of its view.
type StatusReply struct {
	Host     model.HostID     `cbor:"1,keyasint" json:"host"`
	View     model.FleetView  `cbor:"2,keyasint" json:"view"`
	Hosts    []HostGeneration `cbor:"3,keyasint" json:"hosts"`
	Shards   []ShardStatus    `cbor:"4,keyasint" json:"shards"`
	Endpoint []EndpointStatus `cbor:"5,keyasint" json:"endpoints"`
}

// HostGeneration says which generation a host has in force, as last heard.
type HostGeneration struct {
	Host       model.HostID     `cbor:"1,keyasint" json:"host"`
	Generation model.Generation `cbor:"2,keyasint" json:"generation"`
}

// ShardStatus says who holds a shard.
type ShardStatus struct {
	Shard  string       `cbor:"1,keyasint" json:"shard"`
	Holder model.HostID `cbor:"2,keyasint" json:"holder"`
	Epoch  model.Epoch  `cbor:"3,keyasint" json:"epoch"`
}

// EndpointStatus is what an endpoint last reported of itself.
type EndpointStatus struct {
	Endpoint model.EndpointID    `cbor:"1,keyasint" json:"endpoint"`
	Version  model.WeightVersion `cbor:"2,keyasint" json:"version"`
	Leaving  bool                `cbor:"3,keyasint" json:"leaving"`
	Reached  bool                `cbor:"4,keyasint" json:"reached"`
}
