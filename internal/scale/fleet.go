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

// zones is the target layout: 7 availability zones in 2 regions.
var zones = []struct{ zone, region string }{
	{"a1", "west"}, {"a2", "west"}, {"a3", "west"}, {"a4", "west"}, {"b1", "east"}, {"b2", "east"}, {"b3", "east"},
}

// fleet is a set of control programs and one platform stand-in, run as child processes.
type fleet struct {
	hostCount     int
	endpointCount int
	dir           string
	bin           string
	basePort      int
	// mesh is this program's own mesh, through which it calls the hosts.
	mesh     *quicmesh.Mesh
	http     *http.Client
	standin  *exec.Cmd
	hosts    []*exec.Cmd
	stopOnce sync.Once
}

// The port offsets of a fleet from its base port: those of the stand-in, then two per host
// (control and admin), then one per endpoint.
const (
	portStandinControl = iota
	portObjectAPI
	portHostList
	firstHostPort = 10
	portsPerHost  = 2
)

func (f *fleet) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", f.basePort+offset) }

func (f *fleet) controlAddress(i int) string { return f.address(firstHostPort + portsPerHost*i) }
func (f *fleet) adminAddress(i int) string   { return f.address(firstHostPort + portsPerHost*i + 1) }
func (f *fleet) endpointAddress(i int) string {
	return f.address(firstHostPort + portsPerHost*f.hostCount + i)
}

func hostName(i int) string { return fmt.Sprintf("host-%03d", i) }

// startFleet starts n hosts and the platform stand-in. It returns when the first host has
// accepted the configuration; the other hosts may still be starting. The number of endpoints
// is proportional to that at the target size, but at least 4.
func startFleet(opts flags, n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "oleander-scale-")
	if err != nil {
		return nil, err
	}
	f := &fleet{hostCount: n, endpointCount: max(4, n*opts.Endpoints/opts.Target), dir: dir, bin: opts.Bin, basePort: opts.Port,
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
	if err := f.startMesh(); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.dir, "world.ini"), []byte(f.standinSettings()), 0o600); err != nil {
		return err
	}
	var err error
	if f.standin, err = f.spawn("oleander-standin", "standin", "world", filepath.Join(f.dir, "world.ini")); err != nil {
		return err
	}
	// Leave the stand-in time to listen, since publishHostList does not retry.
	time.Sleep(time.Second)
	if err := f.publishHostList(); err != nil {
		return err
	}
	for i := range f.hostCount {
		cmd, err := f.startHost(i)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, cmd)
	}
	return f.apply(1)
}

// publishHostList sets the host list of the platform stand-in to all hosts.
func (f *fleet) publishHostList() error {
	var list platformapi.HostList
	for i := range f.hostCount {
		list.Hosts = append(list.Hosts, platformapi.ListedHost{Host: model.HostID(hostName(i)), Zone: model.ZoneID(zones[i%len(zones)].zone), Control: f.controlAddress(i)})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return f.putStandin("/hosts", string(body))
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

// startMesh starts the mesh through which this program calls the hosts.
func (f *fleet) startMesh() error {
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

// standinSettings returns the settings file of the platform stand-in.
func (f *fleet) standinSettings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[control]\nlisten = %s\n[objectapi]\nlisten = %s\n[hostlist]\nlisten = %s\n", f.address(portStandinControl), f.address(portObjectAPI), f.address(portHostList))
	for i := range f.endpointCount {
		fmt.Fprintf(&b, "[engine.engine-%03d]\nlisten = %s\n", i, f.endpointAddress(i))
	}
	return b.String()
}

func (f *fleet) hostSettings(i int) string {
	z := zones[i%len(zones)]
	// Hosts 0, 1 and 4, if the fleet has them, are in three zones of both regions.
	seeds := []string{f.controlAddress(0), f.controlAddress(min(1, f.hostCount-1)), f.controlAddress(min(4, f.hostCount-1))}
	return fmt.Sprintf("[host]\nid = %s\nzone = %s\nregion = %s\n[tls]\nauthority = %s/ca.pem\ncertificate = %s/host.pem\nkey = %s/host.key\n"+
		"[platform]\nobject_api = http://%s\nhost_list = http://%s\n[control]\nlisten = %s\nadmin = %s\nseeds = %s\n",
		hostName(i), z.zone, z.region, f.dir, f.dir, f.dir, f.address(portObjectAPI), f.address(portHostList), f.controlAddress(i), f.adminAddress(i), strings.Join(seeds, ","))
}

// configuration returns the shared configuration in canonical form. Each generation has
// different content.
func (f *fleet) configuration(generation int) ([]byte, error) {
	var b strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&b, "[zone.%s]\nregion = %s\n", z.zone, z.region)
	}
	fmt.Fprintf(&b, "[deployment.sorter]\nmodel = sorter\nmax_running = %d\n", 16+generation)
	for i := range f.hostCount {
		fmt.Fprintf(&b, "[host.%s]\nzone = %s\ncontrol = %s\n", hostName(i), zones[i%len(zones)].zone, f.controlAddress(i))
	}
	for i := range f.endpointCount {
		fmt.Fprintf(&b, "[endpoint.engine-%03d]\nkind = engine\ndeployment = sorter\nzone = %s\naddress = %s\n", i, zones[i%len(zones)].zone, f.endpointAddress(i))
	}
	c, err := settings.ParseConfig([]settings.File{{Name: "scale.ini", Data: []byte(b.String())}})
	if err != nil {
		return nil, err
	}
	return settings.EncodeConfig(c)
}

// apply commits a configuration through the first host as the given generation. It retries,
// since the hosts may still be starting.
func (f *fleet) apply(generation model.Generation) error {
	config, err := f.configuration(int(generation))
	if err != nil {
		return err
	}
	request := wire.ApplyRequest{Config: config, Base: generation - 1, Operator: "scale", RequestID: fmt.Sprintf("scale-%d", generation)}
	var reply wire.ApplyReply
	for range 30 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		err = f.mesh.Call(ctx, f.controlAddress(0), wire.MethodApply, request, &reply)
		cancel()
		if err == nil {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("commit configuration through the first host: %w", err)
}

// stop kills the processes that this fleet started, by their handles, and removes its
// files.
func (f *fleet) stop() {
	f.stopOnce.Do(func() {
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
