// Command oleanderfall is the program that runs on the operators' platform, on front hosts
// and on store hosts. A store host holds no data.
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
	"oleanderfall.example/oleanderfall/internal/protocol/operatorapi"
	"oleanderfall.example/oleanderfall/internal/transport/front"
	"oleanderfall.example/oleanderfall/internal/transport/ingress"
	"oleanderfall.example/oleanderfall/internal/transport/logging"
	"oleanderfall.example/oleanderfall/platform"
)

const (
	// exitFailure is the exit status if the command fails.
	exitFailure = 2
	// gcPercent is below Go's default of 100, because memory is scarcer than processor time.
	gcPercent = 25
	// memoryLimitShare is the share of the host's memory that is set as Go's soft memory
	// limit, near which the garbage collector runs as often as necessary.
	memoryLimitShare = 0.7
	// stopTimeoutMargin is how much longer than the grace period a planned stop may take. The node
	// normally stops within it.
	stopTimeoutMargin = 10 * time.Second
	startTimeout      = 10 * time.Second
)

type cli struct {
	Settings string   `help:"Settings file of the platform." env:"OLEANDERFALL_SETTINGS" type:"path" required:""`
	LogLevel string   `help:"debug, info, warn or error." default:"info" enum:"debug,info,warn,error"`
	Front    frontCmd `cmd:"" help:"Serve callers and trainers, and the directory."`
	Store    storeCmd `cmd:"" help:"Stand on a store host. It holds nothing: all that lasts is on the platform."`
}

type frontCmd struct {
	MaxConnections  int   `help:"Open connections of clients; 0 follows from the descriptors and the memory." default:"0"`
	HeadMemoryMiB   int64 `name:"head-memory-mib" help:"Memory for heads and small bodies of requests; 0 follows from the memory." default:"0"`
	BodyMemoryMiB   int64 `name:"body-memory-mib" help:"Memory for large bodies of requests; 0 follows from the memory." default:"0"`
	AnswerMemoryMiB int64 `name:"answer-memory-mib" help:"Memory for large answers; 0 follows from the memory." default:"0"`
}

// limits returns the limits on what clients hold that the flags set.
func (f *frontCmd) limits() ingress.Limits {
	return ingress.Limits{Connections: f.MaxConnections, HeadMemory: f.HeadMemoryMiB << 20, BodyMemory: f.BodyMemoryMiB << 20, AnswerMemory: f.AnswerMemoryMiB << 20}
}

type storeCmd struct{}

func main() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // first, since the signal ends a process that does not handle it
	var c cli
	k := kong.Parse(&c, kong.Name("oleanderfall"), kong.Description("Rollout service for reinforcement learning."))
	output := logging.NewBoundedWriter(os.Stdout)
	log := newLogger(output, c.LogLevel)
	slog.SetDefault(log)
	code := 0
	if err := k.Run(&c, log, hangups); err != nil {
		log.Error("Command failed", "err", err.Error())
		code = exitFailure
	}
	output.Close()
	os.Exit(code)
}

func newLogger(out *logging.BoundedWriter, level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: l}))
}

// Run runs a front host until SIGINT or SIGTERM. It returns an error if the settings are
// invalid, or if the start or the stop fails.
func (f *frontCmd) Run(c *cli, log *slog.Logger, hangups chan os.Signal) error {
	s, unused, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	if len(unused) > 0 {
		log.Info("Settings fields not used", "fields", unused)
	}
	s.Ingress = f.limits()
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	go validateSettingsOnHangup(hangups, c.Settings, log)
	store := platform.NewStore(s.StoreAddress)
	app := fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.GracePeriod+stopTimeoutMargin),
		fx.Supply(s, log, prometheus.NewRegistry()),
		fx.Provide(
			func() front.Store { return store },
			fx.Annotate(func() objectapi.API { return store.Stale() }, fx.ResultTags(`name:"stale"`)),
			func() backend.Client { return platform.NewEndpointClient() },
			func() front.Decoder { return platform.Decoder{} },
			func() operatorapi.Client { return platform.NewOperatorClient(s.OperatorAPI.Address) },
			func() front.Handlers { return platform.Handlers{} },
		),
		front.Module,
	)
	stopped := app.Wait() // before the start, so that a signal during it does not end the process
	startCtx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	<-stopped
	stopCtx, cancelStop := context.WithTimeout(context.Background(), s.GracePeriod+stopTimeoutMargin)
	defer cancelStop()
	return app.Stop(stopCtx)
}

// validateSettingsOnHangup checks the settings file on each SIGHUP and logs the result. The
// settings of a running process do not change.
func validateSettingsOnHangup(hangups <-chan os.Signal, path string, log *slog.Logger) {
	for range hangups {
		_, _, err := platform.LoadSettings(path)
		log.Info("Settings file checked; settings in force unchanged", "err", err)
	}
}

// Run runs on a store host until SIGINT or SIGTERM. It only checks that the settings file
// exists.
func (storeCmd) Run(c *cli, log *slog.Logger) error {
	if _, err := os.Stat(c.Settings); err != nil {
		return fmt.Errorf("settings file: %w", err)
	}
	log.Info("Store host started; it holds no data")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	log.Info("Store host stopped")
	return nil
}
