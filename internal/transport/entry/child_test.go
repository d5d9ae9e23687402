package entry

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/ingress"
)

// childEnvVar makes the test binary run an entry server instead of the tests.
const childEnvVar = "OLEANDER_TEST_ENTRY"

func TestMain(m *testing.M) {
	if os.Getenv(childEnvVar) == "" {
		os.Exit(m.Run())
	}
	runChild()
}

// newTestLimiter returns a limiter that no client of a test meets.
func newTestLimiter() *ingress.Limiter {
	return ingress.NewLimiter(ingress.DefaultLimits(0, 0), prometheus.NewRegistry(), slog.New(slog.DiscardHandler))
}

// runChild runs an entry server with the configuration read from standard input, until
// standard input is closed. It prints the server's address.
func runChild() {
	in := json.NewDecoder(os.Stdin)
	var c model.Config
	if err := in.Decode(&c); err != nil {
		panic(err)
	}
	s := NewServer(Options{Host: "e1", Zone: "lj-a", Metrics: prometheus.NewRegistry(), Log: slog.New(slog.DiscardHandler), Seed: 1})
	s.Apply(&model.FleetView{Sequence: 1, Generation: 1, Config: &c})
	httpServer := NewHTTPServer(s, newTestLimiter())
	if err := httpServer.Start("127.0.0.1:0"); err != nil {
		panic(err)
	}
	fmt.Println(httpServer.Address())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startChild runs an entry server with the environment's configuration in a separate
// process on two cores and sends further requests to it. stop ends the process and returns
// the CPU time it used.
func (b *testEnv) startChild(t testing.TB) (stop func() time.Duration) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnvVar+"=1", "GOMAXPROCS=2")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if err := json.NewEncoder(in).Encode(b.config); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	b.address = line[:len(line)-1]
	return func() time.Duration {
		_ = in.Close()
		_ = cmd.Wait()
		return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	}
}
