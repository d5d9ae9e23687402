// Command oleander-control is the control-plane program, of which each host runs one. It runs
// membership, configuration, endpoint observation and weight updates.
package main

import (
	"os"

	"oleanderfall.example/oleanderfall/internal/transport/control"
	"oleanderfall.example/oleanderfall/internal/transport/process"
)

func main() {
	os.Exit(process.Run("oleander-control", "Control program of one host.", control.Module))
}
