//go:build review

package main

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *os.File
}

func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// bounds of the deployment, as in the settings of a small site.
const (
	cancelTime  = 3 * time.Second
	gracePeriod = 8 * time.Second
	// stability is how long a machine has to be without disturbance to be in touch.
	stability = 3 * time.Second
)

// host is a front machine: the settings of its process and the process itself.
type host struct {
	name, zone, ip                string
	front, ready, control, lookup string
	dir                           string
	memoryMB                      int
	w                             *world

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// world is a small deployment on loopback addresses.
type world struct {
	dir     string
	net     string
	log     *record
	store   *store
	hosts   []*host
	servers []*server
	fenced  bool
	retain  int
	memory  int
	// stopped is set once no process may be started any more.
	stopped atomic.Bool
}

// newWorld starts the store. Each machine has its own loopback address.
func newWorld(log *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{dir: dir, net: fmt.Sprintf("127.%d.%d.", 1+pid%250, 1+pid/250%250), log: log, retain: 120, memory: 284}
	w.store, err = newStore(w.net + "200")
	return w, err
}

// stop ends all processes that were started.
func (w *world) stop() {
	w.stopped.Store(true)
	for _, h := range w.hosts {
		h.kill()
	}
	for _, s := range w.servers {
		s.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

func freePort(ip string) string {
	for {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			panic(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !strings.HasSuffix(address, ":9464") { // the port of the metrics
			return address
		}
	}
}

// addHosts adds n machines in as many zones.
func (w *world) addHosts(n int) {
	for i := range n {
		ip := fmt.Sprintf("%s%d", w.net, 10+i)
		h := &host{name: fmt.Sprintf("front-%c-1", 'a'+i), zone: fmt.Sprintf("zone-%c", 'a'+i), ip: ip, w: w,
			front: freePort(ip), ready: freePort(ip), control: freePort(ip), lookup: freePort(ip), dir: w.dir, memoryMB: w.memory}
		w.hosts = append(w.hosts, h)
	}
}

func (w *world) addServer(s *server) error {
	s.log = w.log
	w.servers = append(w.servers, s)
	return startServer(w.net+"100", w.store, s)
}

func (h *host) settings(firstStart bool) string {
	var seeds []string
	for _, o := range h.w.hosts {
		seeds = append(seeds, fmt.Sprintf("%q", o.control))
	}
	return fmt.Sprintf(`node_name = %q
role = "front"
machine_class = "front"
serves = ["front","directory","control"]
ip = %q
zone = %q
region = "loopback"
seeds = [%s]
first_start = %t
loss_counts = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
[listen]
front = %q
ready_address = %q
control = %q
directory = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
stability_window_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_period_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
status_retention_s = %d
cancel_ms = 3000
settle_ms = 1000
fencing_required = %t
lease_ms = 3000
thaw_slack_ms = 300
ttl_max_s = 5
[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
`, h.name, h.ip, h.zone, strings.Join(seeds[:min(3, len(seeds))], ","), firstStart, h.front, h.ready, h.control, h.lookup,
		h.memoryMB, h.w.retain, h.w.fenced, h.w.store.address)
}

// start starts the process with the command of the deploy file.
func (h *host) start(firstStart bool) error {
	if h.w.stopped.Load() {
		return errCannotRun
	}
	path := filepath.Join(h.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(h.settings(firstStart)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/oleanderfall", "front")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "OLEANDERFALL_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	h.w.log.addf("process of %s started", h.name)
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	return nil
}

func (h *host) process() (*os.Process, chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return nil, nil
	}
	return h.cmd.Process, h.done
}

// kill ends the process with SIGKILL and waits for its end.
func (h *host) kill() {
	if p, done := h.process(); p != nil {
		_ = p.Signal(syscall.SIGKILL)
		<-done
	}
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	if p, _ := h.process(); p != nil {
		h.w.log.addf("%v to %s", s, h.name)
		_ = p.Signal(s)
	}
}

// startHosts starts all hosts and waits until they are ready.
func (w *world) startHosts() error {
	for _, h := range w.hosts {
		if err := h.start(true); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.await(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// await waits until the host is ready.
func (h *host) await(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ready + "/v1/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", h.name)
}

// payload returns the stored bytes of an object that a host wrote.
func (o *object) payload() []byte {
	raw := bytes.Trim(o.Specification, `"`)
	raw = bytes.TrimPrefix(raw, []byte("b64:"))
	out, err := base64.StdEncoding.AppendDecode(nil, raw)
	if err != nil {
		return o.Specification
	}
	return out
}

// names returns the host whose name stands in the stored bytes of an object as the value of a field.
func (w *world) named(o *object, field string) *host {
	for _, h := range w.hosts {
		if o != nil && bytes.Contains(o.payload(), fmt.Appendf(nil, "%q:%q", field, h.name)) {
			return h
		}
	}
	return nil
}
