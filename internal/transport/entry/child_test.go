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
)

// childVariable makes the test binary run an entry server instead of the tests.
const childVariable = "OLEANDER_TEST_ENTRY"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	runChild()
}

// runChild serves the configuration on standard input until that ends.
func runChild() {
	in := json.NewDecoder(os.Stdin)
	var c model.Config
	if err := in.Decode(&c); err != nil {
		panic(err)
	}
	s := NewServer(Options{Host: "e1", Zone: "lj-a", Metrics: prometheus.NewRegistry(), Log: slog.New(slog.DiscardHandler), Seed: 1})
	s.Apply(&model.FleetView{Sequence: 1, Generation: 1, Config: &c})
	front := NewFront(s)
	if err := front.Start("127.0.0.1:0"); err != nil {
		panic(err)
	}
	fmt.Println(front.Address())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// child runs the bed's entry server in a process of its own on two cores. stop ends
// it and returns the processor time it used.
func (b *bed) child(t testing.TB) (stop func() time.Duration) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childVariable+"=1", "GOMAXPROCS=2")
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
