// Command oleander-control is the control program, one per host. It runs membership,
// configuration, endpoint observation and weight updates.
package main

import (
	"os"

	"oleanderfall.example/oleanderfall/internal/transport/control"
	"oleanderfall.example/oleanderfall/internal/transport/process"
)

func main() {
	os.Exit(process.Run("oleander-control", "Control program of one host.", control.Module))
}
