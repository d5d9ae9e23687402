package ledger

import (
	"encoding/json"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// DesiredPrefix begins the keys of the objects that hold a Desired, one a deployment.
const DesiredPrefix = "weights/"

// Desired is the weight version that a deployment's engines shall have. It only rises.
type Desired struct {
	Version model.WeightVersion `json:"version"`
	// Trainer published the version.
	Trainer model.TrainerID `json:"trainer,omitempty"`
}

// EncodeDesired returns the stored form.
func EncodeDesired(d Desired) ([]byte, error) {
	b, err := json.Marshal(d)
	return b, Error.Wrap(err)
}

// DecodeDesired reads the stored form.
func DecodeDesired(b []byte) (Desired, error) {
	var d Desired
	err := json.Unmarshal(b, &d)
	return d, Error.Wrap(err)
}
