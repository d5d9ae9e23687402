// Package settings reads folders of INI files, merged in order of name, into the
// typed settings of a process (Process) and into the shared configuration
// (model.Config), and checks each as a whole.
//
// Invariant: a folder with any problem yields no settings at all; every problem is
// reported with file, line, key and what is allowed.
package settings

import (
	"encoding/json"
	"errors"
	"reflect"

	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// LoadConfig reads the shared configuration from a folder. The error is Problems
// when the folder was read and is at fault.
func LoadConfig(dir string) (*model.Config, error) {
	files, err := ReadFolder(dir)
	if err != nil {
		return nil, err
	}
	return ParseConfig(files)
}

// ParseConfig reads the shared configuration from files already read.
func ParseConfig(files []File) (*model.Config, error) {
	m := merge(files)
	c := &model.Config{}
	problems := bind(m, reflect.ValueOf(c).Elem())
	problems = append(problems, crossCheck(m, c)...)
	if len(problems) > 0 {
		return nil, problems.sorted()
	}
	return c, nil
}

// crossCheck finds what no single key shows.
func crossCheck(m *merged, c *model.Config) Problems {
	var out Problems
	report := func(section, key, reason string) {
		s := m.sections[section]
		line := s.line
		file := s.file
		if e, ok := s.keys[key]; ok {
			line, file = e.line, e.file
		}
		out = append(out, Problem{File: file, Line: line, Section: section, Key: key, Reason: reason})
	}
	addresses := map[string]string{}
	for id, e := range c.Endpoints {
		section := "endpoint." + string(id)
		if e.Kind == model.EndpointEngine && e.Deployment == "" {
			report(section, "deployment", "an engine names its deployment")
		}
		if e.Kind == model.EndpointPlain && e.Service == "" {
			report(section, "service", "a plain endpoint names its service")
		}
		if other, taken := addresses[e.Address]; taken && e.Address != "" {
			report(section, "address", "the address is also that of endpoint "+other)
		}
		addresses[e.Address] = string(id)
	}
	for id, t := range c.Trainers {
		if t.GroupSize > t.StepSamples {
			report("trainer."+string(id), "group_size", "a group is larger than a step")
		}
	}
	return out
}

// EncodeConfig returns the canonical form of a configuration: equal configurations
// have equal bytes.
func EncodeConfig(c *model.Config) ([]byte, error) {
	b, err := json.Marshal(c)
	return b, Error.Wrap(err)
}

// DecodeConfig reads the canonical form.
func DecodeConfig(b []byte) (*model.Config, error) {
	c := &model.Config{}
	return c, Error.Wrap(json.Unmarshal(b, c))
}

// AsProblems returns the problems that err holds, if it does.
func AsProblems(err error) (Problems, bool) {
	var ps Problems
	ok := errors.As(err, &ps)
	return ps, ok
}
