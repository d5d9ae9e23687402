// Package settings reads folders of INI files, merged in order of name, into the
// typed settings of a process (Process) and into the shared configuration
// (model.Config), and checks each as a whole.
//
// Invariant: a folder with any problem yields no settings at all; every problem is
// reported with file, line, key and what is allowed.
package settings

import (
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
	crossCheck(c, func(section, key, reason string) {
		problems = append(problems, m.problem(section, key, reason))
	})
	if len(problems) > 0 {
		return nil, problems.sorted()
	}
	return c, checkSize(files, c)
}

// checkSize refuses a folder whose canonical form is too large to hand round.
func checkSize(files []File, c *model.Config) error {
	b, err := EncodeConfig(c)
	if err != nil {
		return err
	}
	if len(b) <= MaxConfigBytes {
		return nil
	}
	return Problems{{File: files[0].Name, Reason: tooLarge(len(b))}}
}

// problem finds the place of a section's key.
func (m *merged) problem(section, key, reason string) Problem {
	p := Problem{Section: section, Key: key, Reason: reason}
	s := m.sections[section]
	if s == nil {
		return p
	}
	p.File, p.Line = s.file, s.line
	if e, ok := s.keys[key]; ok {
		p.File, p.Line = e.file, e.line
	}
	return p
}

// AsProblems returns the problems that err holds, if it does.
func AsProblems(err error) (Problems, bool) {
	var ps Problems
	ok := errors.As(err, &ps)
	return ps, ok
}
