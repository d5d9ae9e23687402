package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"gopkg.in/ini.v1"

	"oleanderfall.example/oleanderfall/internal/protocol/platformapi"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// part is a component of a World into which faults can be injected.
type part interface{ SetFaults(Faults) }

// World is a set of parts that run in one process. An INI file describes them, one
// section for each part. The parts start in the order of the file; an engine downloads
// weights only if the weight store's section precedes its own.
//
//	[control]              listen
//	[objectapi]            listen, reads_per_second, writes_per_second, latency, history
//	[hostlist]             listen, lag
//	[weightstore]          listen, loads_per_second
//	[engine.NAME]          listen, slots, queue, token_interval, tokens_per_step,
//	                       prefill_time, median_tokens, swap_time, fencing, model
//	[plain.NAME]           listen, service_time, concurrency
//	[scorer.NAME]          listen
//	[trainer.NAME]         see TrainerOptions
//	[caller.NAME]          see CallerOptions
//
// An engine's key model names the model whose weights it downloads.
//
// The control port serves:
//
//	PUT  /faults/PART      Faults as JSON; PART is a section's name
//	GET  /log/PART         the part's log ([]Run, []SentRequest, or the trainer's report)
//	GET  /calls            the object API's counters
//	PUT  /hosts            platformapi.HostList
//	GET  /parts            the names of the parts
//	GET  /done             200 once every caller and trainer has ended, 202 before
type World struct {
	parts   map[string]part // by section name
	store   *ObjectStore
	hosts   *HostList
	weights *WeightStore
	servers []*http.Server
	closers []func()
	// Control is the listen address (host:port) of the control port.
	Control  string
	trainers map[string]*Trainer
	callers  []*Caller
}

// StartWorld starts the parts that the INI file at path describes. When one of them
// fails to start, it closes those that run and returns an error with the section's name.
func StartWorld(path string) (*World, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, err
	}
	w := &World{parts: map[string]part{}, trainers: map[string]*Trainer{}}
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		if err := w.addSection(s); err != nil {
			w.Close()
			return nil, fmt.Errorf("section %s: %w", s.Name(), err)
		}
	}
	return w, nil
}

// Close stops all parts.
func (w *World) Close() {
	for _, c := range w.closers {
		c()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}

func (w *World) addSection(s *ini.Section) error {
	kind, name, _ := strings.Cut(s.Name(), ".")
	listen := s.Key("listen").String()
	switch kind {
	case "control":
		return w.addControl(listen)
	case "objectapi":
		w.store = NewObjectStore(ObjectStoreOptions{
			ReadsPerSecond:  s.Key("reads_per_second").MustFloat64(0),
			WritesPerSecond: s.Key("writes_per_second").MustFloat64(0),
			Latency:         s.Key("latency").MustDuration(2 * time.Millisecond),
			History:         s.Key("history").MustInt(0),
		})
		w.parts[s.Name()] = w.store
		return w.serve(listen, w.store.Handler())
	case "hostlist":
		w.hosts = NewHostList(s.Key("lag").MustDuration(time.Second))
		w.parts[s.Name()] = w.hosts
		return w.serve(listen, w.hosts.Handler())
	case "weightstore":
		w.weights = NewWeightStore(s.Key("loads_per_second").MustFloat64(0))
		w.parts[s.Name()] = w.weights
		return w.serve(listen, w.weights.Handler())
	}
	return w.addNamedPart(kind, name, listen, s)
}

func (w *World) addNamedPart(kind, name, listen string, s *ini.Section) error {
	switch kind {
	case "engine":
		e, err := NewEngine(listen, w.engineOptions(name, s))
		if err != nil {
			return err
		}
		w.addPart(s.Name(), e, e.Close)
	case "plain":
		p, err := NewPlainService(listen, PlainServiceOptions{
			Name:        name,
			ServiceTime: s.Key("service_time").MustDuration(0),
			Concurrency: s.Key("concurrency").MustInt(0),
		})
		if err != nil {
			return err
		}
		w.addPart(s.Name(), p, p.Close)
	case "scorer":
		c, err := NewScorer(listen, name)
		if err != nil {
			return err
		}
		w.addPart(s.Name(), c, c.Close)
	case "trainer":
		t := StartTrainer(trainerOptions(name, s))
		w.trainers[s.Name()] = t
		w.addPart(s.Name(), t, t.Close)
	case "caller":
		c := StartCaller(callerOptions(name, s))
		w.callers = append(w.callers, c)
		w.addPart(s.Name(), c, c.Close)
	default:
		return fmt.Errorf("unknown kind of part %q", kind)
	}
	return nil
}

func (w *World) addPart(name string, p part, closer func()) {
	w.parts[name] = p
	w.closers = append(w.closers, closer)
}

func (w *World) engineOptions(name string, s *ini.Section) EngineOptions {
	opt := EngineOptions{
		Name:          name,
		Slots:         s.Key("slots").MustInt(0),
		Queue:         s.Key("queue").MustInt(0),
		TokenInterval: s.Key("token_interval").MustDuration(0),
		TokensPerStep: s.Key("tokens_per_step").MustInt(0),
		PrefillTime:   s.Key("prefill_time").MustDuration(0),
		MedianTokens:  s.Key("median_tokens").MustInt(0),
		SwapTime:      s.Key("swap_time").MustDuration(0),
		Fencing:       s.Key("fencing").MustBool(false),
	}
	weights, modelName := w.weights, s.Key("model").String()
	if weights != nil {
		opt.Download = func(ctx context.Context, v model.WeightVersion) error {
			return weights.Download(ctx, modelName, v)
		}
	}
	return opt
}

func (w *World) serve(listen string, h http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	w.servers = append(w.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return nil
}

func (w *World) addControl(listen string) error {
	w.Control = listen
	r := mux.NewRouter()
	r.HandleFunc("/faults/{part}", w.serveFaults).Methods(http.MethodPut)
	r.HandleFunc("/log/{part}", w.serveLog).Methods(http.MethodGet)
	r.HandleFunc("/calls", w.serveCalls).Methods(http.MethodGet)
	r.HandleFunc("/hosts", w.serveHosts).Methods(http.MethodPut)
	r.HandleFunc("/parts", w.serveParts).Methods(http.MethodGet)
	r.HandleFunc("/done", w.serveDone).Methods(http.MethodGet)
	return w.serve(listen, r)
}

func (w *World) serveFaults(rw http.ResponseWriter, r *http.Request) {
	p, ok := w.parts[mux.Vars(r)["part"]]
	if !ok {
		http.NotFound(rw, r)
		return
	}
	var f Faults
	dec := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (w *World) serveLog(rw http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["part"]
	if t, ok := w.trainers[name]; ok {
		writeJSON(rw, t.Report())
		return
	}
	if c, ok := w.parts[name].(*Caller); ok {
		writeJSON(rw, c.Sent())
		return
	}
	if l, ok := w.parts[name].(interface{ Runs() []Run }); ok {
		writeJSON(rw, l.Runs())
		return
	}
	http.NotFound(rw, r)
}

func (w *World) serveCalls(rw http.ResponseWriter, r *http.Request) {
	if w.store == nil {
		http.NotFound(rw, r)
		return
	}
	writeJSON(rw, w.store.Calls())
}

func (w *World) serveHosts(rw http.ResponseWriter, r *http.Request) {
	var list platformapi.HostList
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&list); err != nil || w.hosts == nil {
		http.Error(rw, "bad host list", http.StatusBadRequest)
		return
	}
	w.hosts.Set(list.Hosts)
}

func (w *World) serveParts(rw http.ResponseWriter, _ *http.Request) {
	names := make([]string, 0, len(w.parts))
	for n := range w.parts {
		names = append(names, n)
	}
	sort.Strings(names)
	writeJSON(rw, names)
}

// serveDone answers 200 when every caller and trainer has ended, 202 otherwise.
func (w *World) serveDone(rw http.ResponseWriter, _ *http.Request) {
	var done []<-chan struct{}
	for _, c := range w.callers {
		done = append(done, c.Done())
	}
	for _, t := range w.trainers {
		done = append(done, t.Done())
	}
	for _, ended := range done {
		select {
		case <-ended:
		default:
			rw.WriteHeader(http.StatusAccepted)
			return
		}
	}
}
