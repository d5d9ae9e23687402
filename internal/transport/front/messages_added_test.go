package front

import (
	"oleanderfall.example/oleanderfall/internal/coordination/origins"
	"oleanderfall.example/oleanderfall/internal/transport/configproof"
	scalingduty "oleanderfall.example/oleanderfall/internal/transport/scaling"
)

// Messages, objects and constants that the first recorded build does not have. They are in a file of their
// own because scripts/record-messages compiles messages_test.go with that build.
func init() {
	messages["config-proof"] = message{configproof.Answer{}, "cbor"}
	messages["demand"] = message{scalingduty.HostDemand{}, "cbor"}
	messages["stored-stream-software"] = message{origins.Begun{}, "cbor"}
	addedConstants = []string{
		"call GET " + configProofPath, "call POST " + usagePath,
		"key " + streamSoftwareKey, "parameter " + teamParameter,
	}
}
