package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oleanderfall.example/oleanderfall/platform"
)

// runMain is the environment variable that makes the test program run as a front host.
const runMain = "OLEANDERFALL_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		os.Args = []string{os.Args[0], "front"}
		main()
	}
	os.Exit(m.Run())
}

// frontProcess is a front host in a process of its own. Its grace period is 4 s.
type frontProcess struct {
	t      *testing.T
	cmd    *exec.Cmd
	ip     string
	ended  chan struct{}
	err    error
	output strings.Builder
}

const graceSeconds = 4

// startFront starts host i. The store has no configuration.
func startFront(t *testing.T, i int) *frontProcess {
	t.Helper()
	store := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(store.Close)
	pid := os.Getpid()
	p := &frontProcess{t: t, ip: fmt.Sprintf("127.%d.%d.%d", 224+pid&15, pid>>4&255, i), ended: make(chan struct{})}
	settings := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("node_name = \"h%d\"\nzone = \"a\"\nip = %q\nfirst_start = true\n"+
		"[listen]\nfront = \"%[2]s:18161\"\nready_address = \"%[2]s:18167\"\ncontrol = \"%[2]s:18166\"\ndirectory = \"%[2]s:18164\"\n"+
		"[platform]\naddress = %[3]q\nwrites_per_s = 400\nreads_per_s = 2000\n[bounds]\ngrace_period_s = %[4]d\nlease_ms = 300\nstatus_retention_s = 60\n",
		i, p.ip, strings.TrimPrefix(store.URL, "http://"), graceSeconds)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(program)
	p.cmd.Env = append(os.Environ(), runMain+"=1", "GORACE=atexit_sleep_ms=0", platform.SettingsVariable+"="+settings)
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	return p
}

// awaitPort waits until the process listens on a port, and returns a connection to it.
func (p *frontProcess) awaitPort(port string) net.Conn {
	p.t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Microsecond) {
		if conn, err := net.DialTimeout("tcp", p.ip+":"+port, time.Second); err == nil {
			p.t.Cleanup(func() { _ = conn.Close() })
			return conn
		}
	}
	p.t.Fatalf("the process does not listen on port %s", port)
	return nil
}

func (p *frontProcess) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Fatal(err)
	}
}

// awaitStop waits until the process has ended as planned, which takes at least the given time.
func (p *frontProcess) awaitStop(signalled time.Time, atLeast time.Duration) {
	p.t.Helper()
	select {
	case <-p.ended:
	case <-time.After(10 * time.Second):
		p.t.Fatal("the process does not end")
	}
	took := time.Since(signalled)
	if p.err != nil || !strings.Contains(p.output.String(), "Host stopped") {
		p.t.Errorf("the process ended with %v after %v, not by a planned stop:\n%s", p.err, took, p.output.String())
	}
	if grace := graceSeconds * time.Second; took < atLeast || took > grace {
		p.t.Errorf("the stop took %v, want at least %v and at most %v", took, atLeast, grace)
	}
}

// Guards against a process that a signal ends without a stop: SIGTERM while it starts, when it has opened its first
// port, or twice, and SIGHUP at any time.
func TestFront_Signals(t *testing.T) {
	t.Parallel()
	// The callers' port is the fourth of five that are opened, the peers' port the first.
	const callers, peers = "18161", "18166"
	const served = graceSeconds * time.Second / 2 // requests are served for longer, since callers use cached addresses
	atPort := func(port string) func(p *frontProcess) time.Time {
		return func(p *frontProcess) time.Time {
			p.awaitPort(port)
			p.signal(syscall.SIGTERM)
			return time.Now()
		}
	}
	for i, run := range []func(p *frontProcess) (signalled time.Time){
		atPort(peers), atPort(peers), atPort(peers), atPort(callers), atPort(callers), atPort(callers),
		func(p *frontProcess) time.Time { // SIGTERM, and more of all signals
			p.awaitPort(callers)
			p.signal(syscall.SIGHUP)
			time.Sleep(100 * time.Millisecond)
			signalled := time.Now()
			p.signal(syscall.SIGTERM)
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
				time.Sleep(150 * time.Millisecond)
				p.signal(s)
			}
			return signalled
		},
		func(p *frontProcess) time.Time { // SIGHUP right after the first port
			p.awaitPort(peers)
			p.signal(syscall.SIGHUP)
			time.Sleep(200 * time.Millisecond)
			p.signal(syscall.SIGTERM)
			return time.Now()
		},
	} {
		t.Run(fmt.Sprintf("case%d", i), func(t *testing.T) {
			t.Parallel()
			p := startFront(t, 1+i)
			p.awaitStop(run(p), served)
		})
	}
}

// Guards against requests that are cut because a second signal arrives during the stop.
func TestFront_SecondSignalCutsNothing(t *testing.T) {
	t.Parallel()
	p := startFront(t, 100)
	p.awaitPort("18161")
	time.Sleep(100 * time.Millisecond)
	signalled := time.Now()
	p.signal(syscall.SIGTERM)
	var all sync.WaitGroup
	for time.Since(signalled) < graceSeconds*time.Second*3/4 {
		all.Go(func() {
			sentAt := time.Since(signalled)
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+p.ip+":18161/x", strings.NewReader("body"))
			if err != nil {
				t.Error(err)
				return
			}
			resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable { // it has no configuration
				t.Errorf("request %v after the first signal: %v, %v", sentAt, resp, err)
				return
			}
			_ = resp.Body.Close()
		})
		p.signal(syscall.SIGTERM)
		p.signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	p.awaitStop(signalled, graceSeconds*time.Second*3/4)
}
