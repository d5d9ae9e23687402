package ledger

import (
	"encoding/json"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// DesiredPrefix is the key prefix of the objects that store a Desired, one per deployment.
const DesiredPrefix = "weights/"

// Desired is the weight version that a deployment's engines should load. It never decreases.
type Desired struct {
	Version model.WeightVersion `json:"version"`
	// Trainer is the trainer that published the version.
	Trainer model.TrainerID `json:"trainer,omitempty"`
}

// EncodeDesired returns the stored form of d.
func EncodeDesired(d Desired) ([]byte, error) {
	b, err := json.Marshal(d)
	return b, Error.Wrap(err)
}

// DecodeDesired decodes the stored form of a Desired.
func DecodeDesired(b []byte) (Desired, error) {
	var d Desired
	err := json.Unmarshal(b, &d)
	return d, Error.Wrap(err)
}
