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

// Problem is one fault of a folder, told so that an operator can find it.
type Problem struct {
	File string
	// Line is 1-based; 0 when the fault has no line of its own.
	Line    int
	Section string
	Key     string
	Reason  string
}

// String returns "file:line: [section] key: reason".
func (p Problem) String() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	what := ""
	if p.Section != "" {
		what = fmt.Sprintf(" [%s]", p.Section)
	}
	if p.Key != "" {
		what += " " + p.Key
	}
	if what == "" {
		return fmt.Sprintf("%s: %s", where, p.Reason)
	}
	return fmt.Sprintf("%s:%s: %s", where, what, p.Reason)
}

// Problems is every fault found in a folder, in order of file and line.
type Problems []Problem

// Error implements error, one problem a line.
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

// File is one settings file: its name and its bytes.
type File struct {
	Name string
	Data []byte
}

// ReadFolder reads the *.ini files of a folder in order of name.
func ReadFolder(dir string) ([]File, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(names) == 0 {
		return nil, Problems{{File: dir, Reason: "the folder holds no *.ini file"}}
	}
	if len(names) > maxFiles {
		return nil, Problems{{File: dir, Reason: fmt.Sprintf("%d files are more than %d", len(names), maxFiles)}}
	}
	sort.Strings(names)
	files := make([]File, 0, len(names))
	for _, n := range names {
		data, err := os.ReadFile(n)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if len(data) > maxFileBytes {
			return nil, Problems{{File: n, Reason: fmt.Sprintf("the file is over %d bytes", maxFileBytes)}}
		}
		files = append(files, File{Name: n, Data: data})
	}
	return files, nil
}

// entry is the value of a key with the place it came from.
type entry struct {
	file  string
	line  int
	value string
}

// section is a merged section. Its place is where it first appears.
type section struct {
	name string
	file string
	line int
	keys map[string]entry
}

// merged is a folder merged in order of file name: a later file's key replaces an
// earlier one's.
type merged struct {
	sections map[string]*section
	order    []string
	problems Problems
}

func merge(files []File) *merged {
	m := &merged{sections: map[string]*section{}}
	for _, f := range files {
		m.add(f)
	}
	return m
}

func (m *merged) add(f File) {
	if !utf8.Valid(f.Data) {
		m.problems = append(m.problems, Problem{File: f.Name, Reason: "the file is not UTF-8 text"})
		return
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters:      "=",
		SkipUnrecognizableLines: false,
		IgnoreInlineComment:     false,
	}, f.Data)
	if err != nil {
		reason := strings.TrimSpace(err.Error())
		m.problems = append(m.problems, Problem{File: f.Name, Line: quotedLine(f.Data, reason), Reason: "not readable as INI: " + reason})
		return
	}
	places := m.index(f)
	for _, s := range parsed.Sections() {
		m.addSection(f, s, places)
	}
}

func (m *merged) addSection(f File, s *ini.Section, places map[string]int) {
	name := s.Name()
	if name == ini.DefaultSection {
		for _, k := range s.Keys() {
			m.problems = append(m.problems, Problem{File: f.Name, Line: places["\x00"+k.Name()], Key: k.Name(), Reason: "the key stands before any section"})
		}
		return
	}
	into := m.sections[name]
	if into == nil {
		into = &section{name: name, file: f.Name, line: places[name], keys: map[string]entry{}}
		m.sections[name] = into
		m.order = append(m.order, name)
	}
	for _, k := range s.Keys() {
		into.keys[k.Name()] = entry{file: f.Name, line: places[name+"\x00"+k.Name()], value: k.Value()}
	}
}

// index notes the line of each section and key, which the INI library does not
// tell, and reports keys that stand twice in one section of one file.
func (m *merged) index(f File) map[string]int {
	places := map[string]int{}
	current := ""
	scan := bufio.NewScanner(bytes.NewReader(f.Data))
	scan.Buffer(nil, maxFileBytes+1)
	for line := 1; scan.Scan(); line++ {
		text := strings.TrimSpace(scan.Text())
		if strings.HasPrefix(text, "[") && strings.Contains(text, "]") {
			current = strings.TrimSpace(text[1:strings.Index(text, "]")])
			if places[current] == 0 {
				places[current] = line
			}
			continue
		}
		key, _, ok := strings.Cut(text, "=")
		if !ok || strings.HasPrefix(text, "#") || strings.HasPrefix(text, ";") {
			continue
		}
		key = strings.TrimSpace(key)
		place := current + "\x00" + key
		if first := places[place]; first != 0 {
			m.problems = append(m.problems, Problem{File: f.Name, Line: line, Section: current, Key: key, Reason: fmt.Sprintf("the key stands twice; first at line %d", first)})
			continue
		}
		places[place] = line
	}
	return places
}

// quotedLine returns the number of the line that the INI library's error quotes at its
// end, 0 when there is none.
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
