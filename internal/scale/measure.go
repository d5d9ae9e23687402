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
	"oleanderfall.example/oleanderfall/internal/transport/feed"
)

// result is what one fleet showed. Figures a host are means, unless said otherwise.
type result struct {
	hosts, endpoints int
	rssMean, rssMax  float64
	rssMaxFed        float64
	cpuShare         float64
	cpuShareFed      float64
	bytesPerSecond   float64
	packetsPerSecond float64
	links            float64
	objectCalls      float64
	joined           time.Duration
	configuration    time.Duration
	operatorDrain    time.Duration
	endpointDrain    time.Duration
	deathNoticed     time.Duration
	falseSuspicions  float64
}

// sample is one reading of one process.
type sample struct {
	cpuSeconds, rssBytes float64
	bytes, packets       float64
	links, suspicions    float64
}

const waitLimit = 60 * time.Second

func (f *fleet) measure(fl flags) (result, error) {
	r := result{hosts: f.n, endpoints: f.endpoints}
	start := time.Now()
	if err := f.waitJoined(); err != nil {
		return r, err
	}
	r.joined = time.Since(start)
	time.Sleep(fl.Settle)
	if err := f.atRest(fl.Measure, &r); err != nil {
		return r, err
	}
	w := f.watch()
	defer w.stop()
	if err := w.until(func(v *model.FleetView) bool { return v.Generation >= 1 }); err != nil {
		return r, fmt.Errorf("first views: %w", err)
	}
	time.Sleep(fl.Settle / 4)
	fed := result{}
	if err := f.atRest(fl.Measure, &fed); err != nil {
		return r, err
	}
	r.cpuShareFed, r.rssMaxFed = fed.cpuShare, fed.rssMax
	return r, f.timings(w, &r)
}

// atRest measures what a host costs while nothing happens.
func (f *fleet) atRest(length time.Duration, r *result) error {
	before, err := f.samples()
	if err != nil {
		return err
	}
	callsBefore, err := f.objectCalls()
	if err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(length)
	after, err := f.samples()
	if err != nil {
		return err
	}
	callsAfter, err := f.objectCalls()
	if err != nil {
		return err
	}
	seconds, n := time.Since(start).Seconds(), float64(f.n)
	for i := range after {
		r.rssMean += after[i].rssBytes / n
		r.rssMax = max(r.rssMax, after[i].rssBytes)
		r.cpuShare += (after[i].cpuSeconds - before[i].cpuSeconds) / seconds / n
		r.bytesPerSecond += (after[i].bytes - before[i].bytes) / seconds / n
		r.packetsPerSecond += (after[i].packets - before[i].packets) / seconds / n
		r.links += after[i].links / n
		r.falseSuspicions += after[i].suspicions
	}
	r.objectCalls = (callsAfter - callsBefore) / seconds
	return nil
}

// timings measures how long news takes to be in force at every host.
func (f *fleet) timings(w *watch, r *result) error {
	var err error
	r.configuration, err = w.time(func() error { return f.apply(2) }, func(v *model.FleetView) bool { return v.Generation >= 2 })
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	r.operatorDrain, err = w.time(func() error { return f.drain("engine-000") }, drained("engine-000"))
	if err != nil {
		return fmt.Errorf("operator's drain: %w", err)
	}
	r.endpointDrain, err = w.time(func() error { return f.fault("engine.engine-001", `{"leaving":true}`) }, drained("engine-001"))
	if err != nil {
		return fmt.Errorf("endpoint's drain: %w", err)
	}
	victim := f.n - 1
	w.ignore(victim)
	r.deathNoticed, err = w.time(f.hosts[victim].Process.Kill, func(v *model.FleetView) bool {
		for _, m := range v.Members {
			if m.Host == model.HostID(hostName(victim)) {
				return m.State == model.HostDead
			}
		}
		return true
	})
	return err
}

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
	return f.mesh.Call(ctx, f.control(0), wire.MethodDrain, wire.DrainRequest{Endpoint: id, Operator: "scale"}, &reply)
}

func (f *fleet) fault(part, faults string) error { return f.put("/faults/"+part, faults) }

// put sends a body to the stand-in's control port.
func (f *fleet) put(path, body string) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+f.address(portWorld)+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("stand-in: %s: status %d", path, resp.StatusCode)
	}
	return nil
}

// waitJoined waits until every host counts all as alive and has the configuration.
func (f *fleet) waitJoined() error {
	deadline := time.Now().Add(waitLimit)
	for i := 0; i < f.n; {
		m, err := f.metrics(i)
		if err == nil && m[`oleander_control_hosts{state="alive"}`] == float64(f.n) && m["oleander_control_generation"] >= 1 {
			i++
			continue
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s sees %v hosts alive and generation %v: %w", hostName(i), m[`oleander_control_hosts{state="alive"}`], m["oleander_control_generation"], errLate)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

func (f *fleet) metrics(i int) (map[string]float64, error) {
	resp, err := f.http.Get("http://" + f.admin(i) + "/metrics")
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

func (f *fleet) samples() ([]sample, error) {
	out := make([]sample, f.n)
	for i := range f.n {
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
		out[i].cpuSeconds, out[i].rssBytes, err = usage(f.hosts[i].Process.Pid)
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

// usage reads a process's processor time and resident memory from /proc.
func usage(pid int) (cpuSeconds, rssBytes float64, err error) {
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

func (f *fleet) objectCalls() (float64, error) {
	resp, err := f.http.Get("http://" + f.address(portWorld) + "/calls")
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

// watch follows the view of every host.
type watch struct {
	clients []*feed.Client
	cancel  context.CancelFunc
	ignored map[int]bool
}

func (f *fleet) watch() *watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{cancel: cancel, ignored: map[int]bool{}}
	for i := range f.n {
		c := feed.NewClient(f.mesh, f.control(i), slog.New(slog.DiscardHandler))
		go c.Run(ctx)
		w.clients = append(w.clients, c)
	}
	return w
}

func (w *watch) stop()        { w.cancel() }
func (w *watch) ignore(i int) { w.ignored[i] = true }

// until waits until the condition holds at every host.
func (w *watch) until(holds func(*model.FleetView) bool) error {
	deadline := time.Now().Add(waitLimit)
	for i := 0; i < len(w.clients); {
		if v := w.clients[i].View(); w.ignored[i] || v != nil && holds(v) {
			i++
			continue
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: %w", hostName(i), errLate)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// time runs act and returns how long the condition takes to hold at every host.
func (w *watch) time(act func() error, holds func(*model.FleetView) bool) (time.Duration, error) {
	start := time.Now()
	if err := act(); err != nil {
		return 0, err
	}
	err := w.until(holds)
	return time.Since(start), err
}
