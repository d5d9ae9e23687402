package settings

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

const (
	maxFileBytes = 1 << 20
	maxFiles     = 1024
)

// Problem is one error in a configuration, with its location.
type Problem struct {
	File string
	// Line is 1-based, 0 if the problem has no line.
	Line    int
	Section string
	Key     string
	Reason  string
}

// String formats the problem as "file:line: [section] key: reason", without the parts
// that are not set.
func (p Problem) String() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	subject := ""
	if p.Section != "" {
		subject = fmt.Sprintf(" [%s]", p.Section)
	}
	if p.Key != "" {
		subject += " " + p.Key
	}
	if subject == "" {
		return fmt.Sprintf("%s: %s", location, p.Reason)
	}
	return fmt.Sprintf("%s:%s: %s", location, subject, p.Reason)
}

// Problems are all the problems of a configuration, ordered by file and line.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

func (ps Problems) sorted() Problems {
	sort.SliceStable(ps, func(i, j int) bool {
		if ps[i].File != ps[j].File {
			return ps[i].File < ps[j].File
		}
		return ps[i].Line < ps[j].Line
	})
	return ps
}

// File is the name and contents of one settings file.
type File struct {
	Name string
	Data []byte
}

// ReadFolder reads the *.ini files of a folder in order of file name. The error is of type
// Problems if there is no file, if there are too many or if one is too large.
func ReadFolder(dir string) ([]File, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(names) == 0 {
		return nil, Problems{{File: dir, Reason: "the folder contains no *.ini file"}}
	}
	if len(names) > maxFiles {
		return nil, Problems{{File: dir, Reason: fmt.Sprintf("the folder contains %d files; at most %d are allowed", len(names), maxFiles)}}
	}
	sort.Strings(names)
	files := make([]File, 0, len(names))
	for _, n := range names {
		data, err := os.ReadFile(n)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if len(data) > maxFileBytes {
			return nil, Problems{{File: n, Reason: fmt.Sprintf("the file is larger than %d bytes", maxFileBytes)}}
		}
		files = append(files, File{Name: n, Data: data})
	}
	return files, nil
}

// entry is the value of a key and its location.
type entry struct {
	file  string
	line  int
	value string
}

// section is a merged section. Its file and line are those of its first appearance.
type section struct {
	name string
	file string
	line int
	keys map[string]entry
}

// mergedFiles is the result of merging files in the order given: a key in a later file
// replaces the same key of an earlier one.
type mergedFiles struct {
	sections map[string]*section
	// order lists the section names by first appearance.
	order    []string
	problems Problems
}

func merge(files []File) *mergedFiles {
	m := &mergedFiles{sections: map[string]*section{}}
	for _, f := range files {
		m.add(f)
	}
	return m
}

func (m *mergedFiles) add(f File) {
	if !utf8.Valid(f.Data) {
		m.problems = append(m.problems, Problem{File: f.Name, Reason: "the file is not valid UTF-8"})
		return
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters:      "=",
		SkipUnrecognizableLines: false,
		IgnoreInlineComment:     false,
	}, f.Data)
	if err != nil {
		reason := strings.TrimSpace(err.Error())
		m.problems = append(m.problems, Problem{File: f.Name, Line: quotedLine(f.Data, reason), Reason: "invalid INI syntax: " + reason})
		return
	}
	lines := m.indexLines(f)
	for _, s := range parsed.Sections() {
		m.addSection(f, s, lines)
	}
}

func (m *mergedFiles) addSection(f File, s *ini.Section, lines map[string]int) {
	name := s.Name()
	if name == ini.DefaultSection {
		for _, k := range s.Keys() {
			m.problems = append(m.problems, Problem{File: f.Name, Line: lines["\x00"+k.Name()], Key: k.Name(), Reason: "the key is outside any section"})
		}
		return
	}
	into := m.sections[name]
	if into == nil {
		into = &section{name: name, file: f.Name, line: lines[name], keys: map[string]entry{}}
		m.sections[name] = into
		m.order = append(m.order, name)
	}
	for _, k := range s.Keys() {
		into.keys[k.Name()] = entry{file: f.Name, line: lines[name+"\x00"+k.Name()], value: k.Value()}
	}
}

// indexLines returns the line of each section and key, which the INI library does not
// provide, and reports duplicate keys in a section of the file. A section is indexed by
// its name, a key by "SECTION\x00KEY".
func (m *mergedFiles) indexLines(f File) map[string]int {
	lines := map[string]int{}
	current := ""
	scanner := bufio.NewScanner(bytes.NewReader(f.Data))
	scanner.Buffer(nil, maxFileBytes+1)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if strings.HasPrefix(text, "[") && strings.Contains(text, "]") {
			current = strings.TrimSpace(text[1:strings.Index(text, "]")])
			if lines[current] == 0 {
				lines[current] = line
			}
			continue
		}
		key, _, ok := strings.Cut(text, "=")
		if !ok || strings.HasPrefix(text, "#") || strings.HasPrefix(text, ";") {
			continue
		}
		key = strings.TrimSpace(key)
		indexKey := current + "\x00" + key
		if first := lines[indexKey]; first != 0 {
			m.problems = append(m.problems, Problem{File: f.Name, Line: line, Section: current, Key: key, Reason: fmt.Sprintf("duplicate key; first defined at line %d", first)})
			continue
		}
		lines[indexKey] = line
	}
	return lines
}

// quotedLine returns the number of the line that is quoted at the end of the INI
// library's error, 0 if there is none.
func quotedLine(data []byte, reason string) int {
	_, quoted, ok := strings.Cut(reason, ": ")
	if !ok || quoted == "" {
		return 0
	}
	for i, line := range strings.Split(string(data), "\n") {
		if strings.TrimSpace(line) == quoted {
			return i + 1
		}
	}
	return 0
}
