package settings

import (
	"reflect"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// LocalSettings contains the settings of one host, shared by all programs on it. The struct tags
// are described in package model.
type LocalSettings struct {
	Host     HostSettings     `section:"host"`
	TLS      TLSSettings      `section:"tls"`
	Platform PlatformSettings `section:"platform"`
	Control  ControlSettings  `section:"control"`
	Entry    EntrySettings    `section:"entry"`
	Rollout  RolloutSettings  `section:"rollout"`
	Clients  ClientSettings   `section:"clients"`
}

// HostSettings identifies the host and sets its data folder and log level.
type HostSettings struct {
	ID     model.HostID   `ini:"id" help:"The host's name, unique in the installation."`
	Zone   model.ZoneID   `ini:"zone" help:"The availability zone the host stands in."`
	Region model.RegionID `ini:"region" optional:"true" help:"The region the zone lies in."`
	// DataDir is the folder for bulk data. It is empty if the host has no disk for it.
	DataDir  string `ini:"data_dir" optional:"true" help:"Folder for bulk data; empty for none."`
	LogLevel string `ini:"log_level" choice:"debug,info,warn,error" default:"info" help:"Least severe log line written."`
}

// TLSSettings are the paths of the host's certificate, its key and the authority.
type TLSSettings struct {
	Authority   string `ini:"authority" help:"PEM file of the authority that signs every process's certificate."`
	Certificate string `ini:"certificate" help:"PEM file of this host's certificate."`
	Key         string `ini:"key" help:"PEM file of this host's private key."`
}

// PlatformSettings are the URLs of the platform's services and the time limit of a call.
type PlatformSettings struct {
	ObjectAPI string        `ini:"object_api" help:"Base URL of the object API."`
	HostList  string        `ini:"host_list" optional:"true" help:"Base URL of the host list."`
	Timeout   time.Duration `ini:"timeout" default:"3s" range:"50ms..1m" help:"Bounds one call of the platform."`
}

// ControlSettings are the settings of oleander-control.
type ControlSettings struct {
	Listen string `ini:"listen" kind:"address" help:"UDP address of this host's control program."`
	// Seeds are control addresses of other hosts, contacted to join the mesh.
	Seeds     []string      `ini:"seeds" optional:"true" help:"UDP addresses of other hosts' control programs, separated by commas."`
	Admin     string        `ini:"admin" kind:"address" help:"HTTP address of metrics and health."`
	Heartbeat time.Duration `ini:"heartbeat" default:"1s" range:"20ms..1m" help:"Interval between heartbeats to a peer."`
}

// EntrySettings are the settings of oleander-entry.
type EntrySettings struct {
	Listen string `ini:"listen" optional:"true" kind:"address" help:"HTTP address for callers."`
	Mesh   string `ini:"mesh" optional:"true" kind:"address" help:"UDP address for other entry programs."`
	Admin  string `ini:"admin" optional:"true" kind:"address" help:"HTTP address of metrics and health."`
}

// RolloutSettings are the settings of oleander-rollout.
type RolloutSettings struct {
	Listen string `ini:"listen" optional:"true" kind:"address" help:"HTTP address for trainers."`
	Mesh   string `ini:"mesh" optional:"true" kind:"address" help:"UDP address for other processes."`
	Admin  string `ini:"admin" optional:"true" kind:"address" help:"HTTP address of metrics and health."`
}

// ClientSettings bound what the clients of each program hold.
type ClientSettings struct {
	MemoryMiB   int `ini:"memory_mib" default:"1024" range:"64..1048576" help:"Memory of a program in MiB, from which the limits on connections, heads, bodies and answers follow."`
	Descriptors int `ini:"descriptors" default:"16384" range:"256..10000000" help:"File descriptors that a program may open. Three quarters are for clients."`
}

// LoadLocalSettings reads the settings of a host's processes from a folder. If the folder can
// be read but its contents are invalid, the error is of type Problems.
func LoadLocalSettings(dir string) (*LocalSettings, error) {
	files, err := ReadFolder(dir)
	if err != nil {
		return nil, err
	}
	m := merge(files)
	p := &LocalSettings{}
	if problems := bind(m, reflect.ValueOf(p).Elem()); len(problems) > 0 {
		return nil, problems
	}
	return p, nil
}
