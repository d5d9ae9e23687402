// Command oleander-entry accepts callers' requests and forwards them to endpoints.
package main

import (
	"os"

	"oleanderfall.example/oleanderfall/internal/transport/entry"
	"oleanderfall.example/oleanderfall/internal/transport/process"
)

func main() {
	os.Exit(process.Run("oleander-entry", "Entry program for callers.", entry.Module))
}
