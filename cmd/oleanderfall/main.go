// Command oleanderfall is the program of the operators' platform: a front host, or a
// store host, which holds nothing.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"oleanderfall.example/oleanderfall/internal/protocol/backend"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/transport/front"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/platform"
)

const (
	exitSettings = 2
	// gcPercent trades processor time for memory, which is the dearer of the two.
	gcPercent = 25
	// memoryShare is the part of the host's memory at which the collector runs as often
	// as it must.
	memoryShare = 0.7
	// stopTimeout bounds a planned stop from above; the node ends within its grace period.
	stopTimeout  = time.Minute
	startTimeout = 10 * time.Second
)

type cli struct {
	Settings string   `help:"Settings file of the platform." env:"OLEANDERFALL_SETTINGS" type:"path" required:""`
	LogLevel string   `help:"debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	Front    frontCmd `cmd:"" help:"Serve callers and trainers, and the directory."`
	Store    storeCmd `cmd:"" help:"Stand on a store host. It holds nothing: all that lasts is on the platform."`
}

type frontCmd struct{}

type storeCmd struct{}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("oleanderfall"), kong.Description("Rollout service for reinforcement learning."))
	output := logging.NewBounded(os.Stdout)
	log := newLogger(output, c.LogLevel)
	slog.SetDefault(log)
	code := 0
	if err := k.Run(&c, log); err != nil {
		log.Error("process: Not started.", "err", err.Error())
		code = exitSettings
	}
	output.Close()
	os.Exit(code)
}

func newLogger(out *logging.Bounded, level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: l}))
}

// Run serves a front host until it is told to stop.
func (frontCmd) Run(c *cli, log *slog.Logger) error {
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	go reload(c.Settings, log)
	store := platform.NewStore(s.StoreAddress)
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.Supply(s, log, prometheus.NewRegistry()),
		fx.Provide(
			func() front.Store { return store },
			fx.Annotate(func() objectapi.API { return store.Stale() }, fx.ResultTags(`name:"stale"`)),
			func() backend.Client { return platform.NewEndpoints() },
			func() front.Decoder { return platform.Adapter{} },
			func() front.Handlers { return platform.Handlers{} },
		),
		front.Module,
	)
	starting, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(starting); err != nil {
		return err
	}
	<-app.Wait()
	stopping, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	return app.Stop(stopping)
}

// reload checks the settings file again on SIGHUP. What a process is told of itself
// does not change while it runs, so the present settings stay in force.
func reload(path string, log *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		_, err := platform.LoadSettings(path)
		log.Info("process: The settings file was read again; the present settings stay.", "err", err)
	}
}

// Run waits on a store host until it is told to stop.
func (storeCmd) Run(c *cli, log *slog.Logger) error {
	signal.Ignore(syscall.SIGHUP)
	if _, err := os.Stat(c.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	log.Info("store: Started; nothing is kept on this host.")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	log.Info("store: Stopped.")
	return nil
}
