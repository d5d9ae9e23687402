// Command oleander-standin simulates the platform, the back ends and the clients on one
// machine, for trials and tests. See docs/operators/standins.md.
package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/standin"
)

type commands struct {
	World worldCommand `cmd:"" help:"Play the parts that an INI file lists, until stopped."`
	Judge judgeCommand `cmd:"" help:"Wait for callers and trainers, then check what really ran."`
}

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Description("Plays the platform, engines, services, callers and trainers for trials and tests."))
	parsed.FatalIfErrorf(parsed.Run())
}

type worldCommand struct {
	File string `arg:"" help:"INI file that lists the parts to play." type:"existingfile"`
}

// Run runs the parts until SIGINT or SIGTERM.
func (c *worldCommand) Run() error {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	w, err := standin.StartWorld(c.File)
	if err != nil {
		return err
	}
	log.Info("Stand-in world started", "control", w.Control)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	w.Close()
	return nil
}

type judgeCommand struct {
	Config  string        `help:"Folder of the shared configuration." type:"existingdir" required:""`
	Worlds  []string      `help:"Control addresses (host:port) of the worlds to read." required:""`
	Timeout time.Duration `help:"Longest wait for callers and trainers." default:"60s"`
	JSON    bool          `help:"Print the verdict as JSON."`
}

// Run prints the verdict. It returns an error if a rule was broken or if a caller or trainer
// did not end in time.
func (c *judgeCommand) Run() error {
	config, err := settings.LoadConfig(c.Config)
	if err != nil {
		return err
	}
	ended := c.waitForClients()
	evidence := standin.Evidence{
		Callers:         map[string][]standin.SentRequest{},
		Trainers:        map[string]standin.TrainerReport{},
		StalenessBounds: map[string]int{},
	}
	for id, t := range config.Trainers {
		evidence.StalenessBounds[string(id)] = t.StalenessBound
	}
	for _, w := range c.Worlds {
		if err := collectEvidence(w, &evidence); err != nil {
			return err
		}
	}
	v := standin.Judge(evidence)
	if !ended {
		v.BrokenRules = append(v.BrokenRules, fmt.Sprintf("callers and trainers did not end within %s", c.Timeout))
	}
	if c.JSON {
		_ = json.NewEncoder(os.Stdout).Encode(v)
	} else {
		fmt.Print(v.Summary())
	}
	if len(v.BrokenRules) > 0 {
		return fmt.Errorf("%d rules broken", len(v.BrokenRules))
	}
	return nil
}

// waitForClients polls until the callers and trainers of all worlds have ended. It returns
// false after the timeout, or if a world cannot be reached.
func (c *judgeCommand) waitForClients() bool {
	deadline := time.Now().Add(c.Timeout)
	for time.Now().Before(deadline) {
		ended := true
		for _, w := range c.Worlds {
			resp, err := http.Get("http://" + w + "/done")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			ended = ended && resp.StatusCode == http.StatusOK
		}
		if ended {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// collectEvidence adds the logs of a world's back ends, callers and trainers to e. world is
// the control address.
func collectEvidence(world string, e *standin.Evidence) error {
	var parts []string
	if err := getJSON(world, "/parts", &parts); err != nil {
		return err
	}
	for _, p := range parts {
		kind, name, _ := strings.Cut(p, ".")
		switch kind {
		case "engine", "plain":
			var runs []standin.Run
			if err := getJSON(world, "/log/"+p, &runs); err != nil {
				return err
			}
			e.Runs = append(e.Runs, runs...)
		case "caller":
			var sent []standin.SentRequest
			if err := getJSON(world, "/log/"+p, &sent); err != nil {
				return err
			}
			e.Callers[name] = sent
		case "trainer":
			var report standin.TrainerReport
			if err := getJSON(world, "/log/"+p, &report); err != nil {
				return err
			}
			e.Trainers[name] = report
		}
	}
	return nil
}

func getJSON(world, path string, out any) error {
	resp, err := http.Get("http://" + world + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}
