// Command oleander-control runs once on each host: membership, configuration,
// endpoint observation, weights.
package main

import (
	"os"

	"oleanderfall.example/oleanderfall/internal/transport/control"
	"oleanderfall.example/oleanderfall/internal/transport/process"
)

func main() {
	os.Exit(process.Run("oleander-control", "Control program of one host.", control.Module))
}
