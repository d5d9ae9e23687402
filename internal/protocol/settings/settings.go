// Package settings reads folders of INI files, merged in order of file name, into the
// settings of one host's processes (LocalSettings) and into the shared configuration
// (model.Config), and validates the result. It also encodes, compresses and compares
// configurations.
//
// Invariant: a folder with any problem yields no settings; every problem is reported
// with its file, line, key and the values allowed.
package settings

import (
	"errors"
	"reflect"

	"github.com/zeebo/errs"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// LoadConfig reads the shared configuration from a folder. If the folder can be read
// but its contents are invalid, the error is of type Problems.
func LoadConfig(dir string) (*model.Config, error) {
	files, err := ReadFolder(dir)
	if err != nil {
		return nil, err
	}
	return ParseConfig(files)
}

// ParseConfig builds the shared configuration from files already read. Invalid
// contents give an error of type Problems.
func ParseConfig(files []File) (*model.Config, error) {
	m := merge(files)
	c := &model.Config{}
	problems := bind(m, reflect.ValueOf(c).Elem())
	crossCheck(c, func(section, key, reason string) {
		problems = append(problems, m.problemAt(section, key, reason))
	})
	if len(problems) > 0 {
		return nil, problems.sorted()
	}
	return c, checkSize(files, c)
}

// checkSize rejects a configuration whose canonical form is too large to distribute to
// the hosts.
func checkSize(files []File, c *model.Config) error {
	b, err := EncodeConfig(c)
	if err != nil {
		return err
	}
	if len(b) <= MaxConfigBytes {
		return nil
	}
	return Problems{{File: files[0].Name, Reason: tooLargeReason(len(b))}}
}

// problemAt returns a problem located at the section's key, or at the section if the
// key is absent.
func (m *mergedFiles) problemAt(section, key, reason string) Problem {
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

// AsProblems returns the Problems in err's chain and whether there are any.
func AsProblems(err error) (Problems, bool) {
	var ps Problems
	ok := errors.As(err, &ps)
	return ps, ok
}
