package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"oleanderfall.example/oleanderfall/internal/protocol/platformapi"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/protocol/wire"
	"oleanderfall.example/oleanderfall/internal/state/model"
	"oleanderfall.example/oleanderfall/internal/transport/quicmesh"
	"oleanderfall.example/oleanderfall/internal/transport/tlsconf"
)

// The layout aimed at: 2 regions with 7 availability zones.
var zones = []struct{ zone, region string }{
	{"a1", "west"}, {"a2", "west"}, {"a3", "west"}, {"a4", "west"}, {"b1", "east"}, {"b2", "east"}, {"b3", "east"},
}

// fleet is a running set of processes.
type fleet struct {
	n         int
	endpoints int
	dir       string
	bin       string
	port      int
	mesh      *quicmesh.Mesh
	http      *http.Client
	standin   *exec.Cmd
	hosts     []*exec.Cmd
	once      sync.Once
}

// The ports of a fleet, from its first one on: the stand-in's, then two a host, then
// one an endpoint.
const (
	portWorld = iota
	portObjects
	portHostList
	portsOfHosts = 10
	portsPerHost = 2
)

func (f *fleet) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", f.port+offset) }

func (f *fleet) control(i int) string  { return f.address(portsOfHosts + portsPerHost*i) }
func (f *fleet) admin(i int) string    { return f.address(portsOfHosts + portsPerHost*i + 1) }
func (f *fleet) endpoint(i int) string { return f.address(portsOfHosts + portsPerHost*f.n + i) }

func hostName(i int) string { return fmt.Sprintf("host-%03d", i) }

func startFleet(fl flags, n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "oleander-scale-")
	if err != nil {
		return nil, err
	}
	f := &fleet{n: n, endpoints: max(4, n*fl.Endpoints/fl.Target), dir: dir, bin: fl.Bin, port: fl.Port,
		http: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
	if err := f.start(); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start() error {
	if err := tlsconf.WriteDevelopmentKeys(f.dir, "host"); err != nil {
		return err
	}
	if err := f.openMesh(); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.dir, "world.ini"), []byte(f.world()), 0o600); err != nil {
		return err
	}
	var err error
	if f.standin, err = f.spawn("oleander-standin", "standin", "world", filepath.Join(f.dir, "world.ini")); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := f.list(); err != nil {
		return err
	}
	for i := range f.n {
		cmd, err := f.startHost(i)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, cmd)
	}
	return f.apply(1)
}

// list fills the platform's host list.
func (f *fleet) list() error {
	var l platformapi.HostList
	for i := range f.n {
		l.Hosts = append(l.Hosts, platformapi.ListedHost{Host: model.HostID(hostName(i)), Zone: model.ZoneID(zones[i%len(zones)].zone), Control: f.control(i)})
	}
	body, err := json.Marshal(l)
	if err != nil {
		return err
	}
	return f.put("/hosts", string(body))
}

func (f *fleet) startHost(i int) (*exec.Cmd, error) {
	dir := filepath.Join(f.dir, hostName(i))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, "host.ini"), []byte(f.hostSettings(i)), 0o600); err != nil {
		return nil, err
	}
	return f.spawn("oleander-control", hostName(i), dir)
}

func (f *fleet) openMesh() error {
	keys, err := tlsconf.Load(tlsconf.Files{
		Authority: filepath.Join(f.dir, "ca.pem"), Certificate: filepath.Join(f.dir, "host.pem"), Key: filepath.Join(f.dir, "host.key"),
	})
	if err != nil {
		return err
	}
	f.mesh, err = quicmesh.New(quicmesh.Options{Listen: "127.0.0.1:0", Server: keys.Server(), Client: keys.Client(), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return err
	}
	return f.mesh.Start()
}

func (f *fleet) spawn(program, name string, args ...string) (*exec.Cmd, error) {
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(f.bin, program), args...)
	cmd.Stderr = log
	return cmd, cmd.Start()
}

func (f *fleet) world() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[control]\nlisten = %s\n[objectapi]\nlisten = %s\n[hostlist]\nlisten = %s\n", f.address(portWorld), f.address(portObjects), f.address(portHostList))
	for i := range f.endpoints {
		fmt.Fprintf(&b, "[engine.engine-%03d]\nlisten = %s\n", i, f.endpoint(i))
	}
	return b.String()
}

func (f *fleet) hostSettings(i int) string {
	z := zones[i%len(zones)]
	seeds := []string{f.control(0), f.control(min(1, f.n-1)), f.control(min(4, f.n-1))}
	return fmt.Sprintf("[host]\nid = %s\nzone = %s\nregion = %s\n[tls]\nauthority = %s/ca.pem\ncertificate = %s/host.pem\nkey = %s/host.key\n"+
		"[platform]\nobject_api = http://%s\nhost_list = http://%s\n[control]\nlisten = %s\nadmin = %s\nseeds = %s\n",
		hostName(i), z.zone, z.region, f.dir, f.dir, f.dir, f.address(portObjects), f.address(portHostList), f.control(i), f.admin(i), strings.Join(seeds, ","))
}

// configuration returns the shared configuration; revision makes it differ.
func (f *fleet) configuration(revision int) ([]byte, error) {
	var b strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&b, "[zone.%s]\nregion = %s\n", z.zone, z.region)
	}
	fmt.Fprintf(&b, "[deployment.sorter]\nmodel = sorter\nmax_running = %d\n", 16+revision)
	for i := range f.n {
		fmt.Fprintf(&b, "[host.%s]\nzone = %s\ncontrol = %s\n", hostName(i), zones[i%len(zones)].zone, f.control(i))
	}
	for i := range f.endpoints {
		fmt.Fprintf(&b, "[endpoint.engine-%03d]\nkind = engine\ndeployment = sorter\nzone = %s\naddress = %s\n", i, zones[i%len(zones)].zone, f.endpoint(i))
	}
	c, err := settings.ParseConfig([]settings.File{{Name: "scale.ini", Data: []byte(b.String())}})
	if err != nil {
		return nil, err
	}
	return settings.EncodeConfig(c)
}

// apply hands the configuration to the first host as the given generation.
func (f *fleet) apply(generation model.Generation) error {
	config, err := f.configuration(int(generation))
	if err != nil {
		return err
	}
	request := wire.ApplyRequest{Config: config, Base: generation - 1, Operator: "scale", RequestID: fmt.Sprintf("scale-%d", generation)}
	var reply wire.ApplyReply
	for range 30 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		err = f.mesh.Call(ctx, f.control(0), wire.MethodApply, request, &reply)
		cancel()
		if err == nil {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("configuration not accepted: %w", err)
}

// stop kills the processes that this fleet started, by their handles.
func (f *fleet) stop() {
	f.once.Do(func() {
		if f.mesh != nil {
			f.mesh.Close()
		}
		for _, cmd := range append(f.hosts, f.standin) {
			if cmd != nil && cmd.Process != nil {
				_ = cmd.Process.Kill()
				_ = cmd.Wait()
			}
		}
		_ = os.RemoveAll(f.dir)
	})
}
