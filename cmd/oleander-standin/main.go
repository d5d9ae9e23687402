// Command oleander-standin plays the platform and the back ends on one machine,
// for trials and tests. See docs/operators/standins.md.
package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"oleanderfall.example/oleanderfall/internal/standin"
)

type flags struct {
	World string `arg:"" help:"INI file that lists the parts to play." type:"existingfile"`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Plays the platform, engines, services and trainers for trials and tests."))
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	w, err := standin.StartWorld(f.World)
	if err != nil {
		log.Error("standin: World not started.", "err", err)
		os.Exit(1)
	}
	log.Info("standin: World started.", "control", w.Control)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	w.Close()
}
