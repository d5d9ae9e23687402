package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/viewstream"
)

// result holds the measurements of one fleet. Values per host are means unless named
// otherwise: memory in bytes, CPU time as a share of one core. The Watched values are taken
// while one client per host watches the view.
type result struct {
	hosts, endpoints  int
	rssMean, rssMax   float64
	rssMaxWatched     float64
	cpuShare          float64
	cpuShareWatched   float64
	bytesPerSecond    float64
	packetsPerSecond  float64
	links             float64
	objectAPICallRate float64 // of all hosts, in calls per second
	// joinTime is the time from the first host's acceptance of the configuration until all
	// hosts have joined.
	joinTime                 time.Duration
	configurationPropagation time.Duration
	operatorDrainPropagation time.Duration
	endpointDrainPropagation time.Duration
	deathDetection           time.Duration
	// falseSuspicions counts the suspicions of all hosts since their start. All are false,
	// because no host has failed before the count.
	falseSuspicions float64
}

// sample is one reading of a process's counters and memory.
type sample struct {
	cpuSeconds, rssBytes float64
	bytes, packets       float64
	links, suspicions    float64
}

const waitTimeout = 60 * time.Second

func (f *fleet) measure(opts flags) (result, error) {
	r := result{hosts: f.hostCount, endpoints: f.endpointCount}
	start := time.Now()
	if err := f.waitJoined(); err != nil {
		return r, err
	}
	r.joinTime = time.Since(start)
	time.Sleep(opts.Settle)
	if err := f.measureIdle(opts.Measure, &r); err != nil {
		return r, err
	}
	w := f.watch()
	defer w.stop()
	if err := w.waitFor(func(v *model.FleetView) bool { return v.Generation >= 1 }); err != nil {
		return r, fmt.Errorf("wait for the first views: %w", err)
	}
	// Keep the load of the first views out of the measurement.
	time.Sleep(opts.Settle / 4)
	watched := result{}
	if err := f.measureIdle(opts.Measure, &watched); err != nil {
		return r, err
	}
	r.cpuShareWatched, r.rssMaxWatched = watched.cpuShare, watched.rssMax
	return r, f.measurePropagation(w, &r)
}

// measureIdle measures the resource use of the hosts over length, without any changes.
func (f *fleet) measureIdle(length time.Duration, r *result) error {
	before, err := f.samples()
	if err != nil {
		return err
	}
	callsBefore, err := f.objectAPICalls()
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(length)
	after, err := f.samples()
	if err != nil {
		return err
	}
	callsAfter, err := f.objectAPICalls()
	if err != nil {
		return err
	}
	seconds, n := time.Since(start).Seconds(), float64(f.hostCount)
	for i := range after {
		r.rssMean += after[i].rssBytes / n
		r.rssMax = max(r.rssMax, after[i].rssBytes)
		r.cpuShare += (after[i].cpuSeconds - before[i].cpuSeconds) / seconds / n
		r.bytesPerSecond += (after[i].bytes - before[i].bytes) / seconds / n
		r.packetsPerSecond += (after[i].packets - before[i].packets) / seconds / n
		r.links += after[i].links / n
		r.falseSuspicions += after[i].suspicions
	}
	r.objectAPICallRate = (callsAfter - callsBefore) / seconds
	return nil
}

// measurePropagation measures the time until every host knows of a new configuration, of
// drains and of a killed host.
func (f *fleet) measurePropagation(w *watch, r *result) error {
	var err error
	r.configurationPropagation, err = w.timeUntil(func() error { return f.apply(2) }, func(v *model.FleetView) bool { return v.Generation >= 2 })
	if err != nil {
		return fmt.Errorf("propagate configuration: %w", err)
	}
	r.operatorDrainPropagation, err = w.timeUntil(func() error { return f.drain("engine-000") }, drained("engine-000"))
	if err != nil {
		return fmt.Errorf("propagate operator's drain: %w", err)
	}
	r.endpointDrainPropagation, err = w.timeUntil(func() error { return f.injectFault("engine.engine-001", `{"leaving":true}`) }, drained("engine-001"))
	if err != nil {
		return fmt.Errorf("propagate endpoint's drain: %w", err)
	}
	victim := f.hostCount - 1
	w.ignore(victim)
	r.deathDetection, err = w.timeUntil(f.hosts[victim].Process.Kill, func(v *model.FleetView) bool {
		for _, m := range v.Members {
			if m.Host == model.HostID(hostName(victim)) {
				return m.State == model.HostDead
			}
		}
		// A host that was removed from the view counts as dead.
		return true
	})
	return err
}

// drained returns a condition that holds for views in which the endpoint is drained.
func drained(id model.EndpointID) func(*model.FleetView) bool {
	return func(v *model.FleetView) bool {
		for _, d := range v.Drains {
			if d.Endpoint == id {
				return true
			}
		}
		return false
	}
}

func (f *fleet) drain(id model.EndpointID) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var reply wire.DrainReply
	return f.mesh.Call(ctx, f.controlAddress(0), wire.MethodDrain, wire.DrainRequest{Endpoint: id, Operator: "scale"}, &reply)
}

func (f *fleet) injectFault(part, faults string) error { return f.putStandin("/faults/"+part, faults) }

// putStandin sends a PUT request to the control port of the platform stand-in.
func (f *fleet) putStandin(path, body string) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+f.address(portStandinControl)+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("PUT %s to the stand-in: unexpected HTTP status %d", path, resp.StatusCode)
	}
	return nil
}

// waitJoined waits until every host reports all hosts as alive and has the configuration.
func (f *fleet) waitJoined() error {
	deadline := time.Now().Add(waitTimeout)
	for i := 0; i < f.hostCount; {
		m, err := f.metrics(i)
		if err == nil && m[`oleander_control_hosts{state="alive"}`] == float64(f.hostCount) && m["oleander_control_generation"] >= 1 {
			i++
			continue
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("wait for hosts to join: %s reports %v hosts alive and generation %v: %w", hostName(i), m[`oleander_control_hosts{state="alive"}`], m["oleander_control_generation"], errTimeout)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// metrics returns the values of a host's metrics by name and labels as printed.
func (f *fleet) metrics(i int) (map[string]float64, error) {
	resp, err := f.http.Get("http://" + f.adminAddress(i) + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		return nil, err
	}
	out := map[string]float64{}
	for _, line := range strings.Split(b.String(), "\n") {
		name, value, ok := strings.Cut(line, " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[name] = v
		}
	}
	return out, nil
}

// samples reads one sample per host, in the order of the hosts.
func (f *fleet) samples() ([]sample, error) {
	out := make([]sample, f.hostCount)
	for i := range f.hostCount {
		m, err := f.metrics(i)
		if err != nil {
			return nil, err
		}
		out[i] = sample{
			bytes:      m["oleander_control_mesh_sent_bytes_total"] + m["oleander_control_mesh_received_bytes_total"],
			packets:    m["oleander_control_mesh_sent_packets_total"] + m["oleander_control_mesh_received_packets_total"],
			links:      m["oleander_control_overlay_links"],
			suspicions: m["oleander_control_suspicions_total"],
		}
		out[i].cpuSeconds, out[i].rssBytes, err = processUsage(f.hosts[i].Process.Pid)
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

// processUsage reads a process's CPU time and resident memory from /proc. The field indexes
// start at 0 with the field after the program name, which may contain spaces.
func processUsage(pid int) (cpuSeconds, rssBytes float64, err error) {
	const ticksPerSecond, utimeField, rssField = 100, 11, 21
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	utime, _ := strconv.ParseFloat(fields[utimeField], 64)
	stime, _ := strconv.ParseFloat(fields[utimeField+1], 64)
	pages, _ := strconv.ParseFloat(fields[rssField], 64)
	return (utime + stime) / ticksPerSecond, pages * float64(os.Getpagesize()), nil
}

// objectAPICalls returns the sum of all counters of the object API (see standin.CallCounts).
func (f *fleet) objectAPICalls() (float64, error) {
	resp, err := f.http.Get("http://" + f.address(portStandinControl) + "/calls")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var calls map[string]float64
	if err := json.NewDecoder(resp.Body).Decode(&calls); err != nil {
		return 0, err
	}
	total := 0.0
	for _, n := range calls {
		total += n
	}
	return total, nil
}

// watch receives the fleet views of every host.
type watch struct {
	clients []*viewstream.Client
	cancel  context.CancelFunc
	ignored map[int]bool
}

func (f *fleet) watch() *watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{cancel: cancel, ignored: map[int]bool{}}
	for i := range f.hostCount {
		c := viewstream.NewClient(f.mesh, f.controlAddress(i), slog.New(slog.DiscardHandler))
		go c.Run(ctx)
		w.clients = append(w.clients, c)
	}
	return w
}

func (w *watch) stop()        { w.cancel() }
func (w *watch) ignore(i int) { w.ignored[i] = true }

// waitFor waits until the condition holds on every host that is not ignored.
func (w *watch) waitFor(condition func(*model.FleetView) bool) error {
	deadline := time.Now().Add(waitTimeout)
	for i := 0; i < len(w.clients); {
		if v := w.clients[i].View(); w.ignored[i] || v != nil && condition(v) {
			i++
			continue
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("wait for the view of %s: %w", hostName(i), errTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// timeUntil runs action and returns the time from its start until the condition holds on
// every host.
func (w *watch) timeUntil(action func() error, condition func(*model.FleetView) bool) (time.Duration, error) {
	start := time.Now()
	if err := action(); err != nil {
		return 0, err
	}
	err := w.waitFor(condition)
	return time.Since(start), err
}
