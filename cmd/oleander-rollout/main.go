// Command oleander-rollout generates samples for trainers.
package main

import (
	"os"

	"oleanderfall.example/oleanderfall/internal/transport/process"
	"oleanderfall.example/oleanderfall/internal/transport/rollout"
)

func main() {
	os.Exit(process.Run("oleander-rollout", "Rollout program for trainers.", rollout.Module))
}
