// Command scale measures the resource use and propagation times of control programs at
// several fleet sizes. It starts fleets of real oleander-control processes with one
// platform stand-in on loopback, prints a table of the results, and extrapolates them to a
// target size.
//
// Invariant: it kills only the processes that it started.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

type flags struct {
	Sizes     []int         `default:"8,32,64,128" help:"Numbers of hosts."`
	Bin       string        `default:"bin" help:"Folder of the programs."`
	Port      int           `default:"20000" help:"First port used."`
	Settle    time.Duration `default:"12s" help:"Time between the start of a fleet and its measurement."`
	Measure   time.Duration `default:"15s" help:"Length of the measurement at rest."`
	Target    int           `default:"390" help:"Number of hosts to extrapolate to."`
	Endpoints int           `default:"600" help:"Number of endpoints at the target size."`
}

func main() {
	var opts flags
	kong.Parse(&opts, kong.Description("Measures what a host's control program costs at several fleet sizes."))
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts flags) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	var results []result
	for _, n := range opts.Sizes {
		r, err := measureFleet(opts, n, stop)
		if err != nil {
			return fmt.Errorf("measure fleet of %d hosts: %w", n, err)
		}
		results = append(results, r)
		printTable(os.Stderr, results[len(results)-1:])
	}
	printTable(os.Stdout, results)
	printFit(os.Stdout, results, opts.Target)
	return nil
}

// measureFleet starts a fleet of n hosts, measures it and stops it. A signal on stop ends the
// fleet and the program.
func measureFleet(opts flags, n int, stop <-chan os.Signal) (result, error) {
	f, err := startFleet(opts, n)
	if err != nil {
		return result{}, err
	}
	defer f.stop()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-stop:
			// os.Exit runs no deferred functions, so the fleet must be stopped first.
			f.stop()
			os.Exit(1)
		case <-done:
		}
	}()
	return f.measure(opts)
}
