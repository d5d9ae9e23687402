package settings

import (
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// binder fills structs from merged sections according to the struct tags described in
// package model.
type binder struct {
	m        *mergedFiles
	problems Problems
	// kinds maps the kind of a section [KIND.NAME] to the names of the sections present. A
	// section [KIND] has the empty name.
	kinds map[string][]string
}

// bind fills the root struct: a field with a "section" tag is filled from the section
// [KIND], where KIND is the tag, or, if it is a map, from every section [KIND.NAME].
func bind(m *mergedFiles, root reflect.Value) Problems {
	b := &binder{m: m, problems: m.problems, kinds: map[string][]string{}}
	known := sectionKinds(root.Type())
	for _, name := range m.order {
		b.registerSection(name, known)
	}
	for i := range root.NumField() {
		kind := root.Type().Field(i).Tag.Get("section")
		if kind != "" {
			b.bindField(kind, root.Field(i))
		}
	}
	return b.problems.sorted()
}

// sectionKinds maps each section kind to whether its sections are named, as in
// [KIND.NAME].
func sectionKinds(t reflect.Type) map[string]bool {
	kinds := map[string]bool{}
	for i := range t.NumField() {
		if kind := t.Field(i).Tag.Get("section"); kind != "" {
			kinds[kind] = t.Field(i).Type.Kind() == reflect.Map
		}
	}
	return kinds
}

// registerSection records a section under its kind, or reports that its kind or its
// name is invalid.
func (b *binder) registerSection(full string, known map[string]bool) {
	s := b.m.sections[full]
	kind, name, named := strings.Cut(full, ".")
	needsName, ok := known[kind]
	switch {
	case !ok:
		names := make([]string, 0, len(known))
		for k := range known {
			names = append(names, k)
		}
		b.report(s.file, s.line, full, "", fmt.Sprintf("unknown section kind; did you mean %q?", closestMatch(kind, names)))
	case needsName && (!named || !validName(name)):
		b.report(s.file, s.line, full, "", fmt.Sprintf("expected [%s.NAME]; a name has letters, digits, - and _", kind))
	case !needsName && named:
		b.report(s.file, s.line, full, "", fmt.Sprintf("expected [%s]; this section takes no name", kind))
	default:
		b.kinds[kind] = append(b.kinds[kind], name)
	}
}

func validName(name string) bool {
	const maxNameBytes = 63
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

func (b *binder) bindField(kind string, field reflect.Value) {
	if field.Kind() != reflect.Map {
		s := b.m.sections[kind]
		if s == nil {
			s = &section{name: kind, keys: map[string]entry{}}
		}
		b.bindStruct(s, field)
		return
	}
	field.Set(reflect.MakeMap(field.Type()))
	for _, name := range b.kinds[kind] {
		item := reflect.New(field.Type().Elem()).Elem()
		b.bindStruct(b.m.sections[kind+"."+name], item)
		field.SetMapIndex(reflect.ValueOf(name).Convert(field.Type().Key()), item)
	}
}

// bindStruct fills a struct from a section, and reports invalid values, missing
// required keys and unknown keys.
func (b *binder) bindStruct(s *section, into reflect.Value) {
	var keys []string
	for i := range into.NumField() {
		f := into.Type().Field(i)
		key := f.Tag.Get("ini")
		if key == "" {
			continue
		}
		keys = append(keys, key)
		e, present := s.keys[key]
		if !present || e.value == "" {
			b.bindDefault(s, f, into.Field(i))
			continue
		}
		if reason := b.set(into.Field(i), f.Tag, e.value); reason != "" {
			b.report(e.file, e.line, s.name, key, reason)
		}
	}
	b.reportUnknownKeys(s, keys)
}

// bindDefault sets a field whose key is absent or empty to its default. It reports a key
// that is required and has no default.
func (b *binder) bindDefault(s *section, f reflect.StructField, into reflect.Value) {
	def, hasDefault := f.Tag.Lookup("default")
	if hasDefault {
		if reason := b.set(into, f.Tag, def); reason != "" {
			b.report(s.file, s.line, s.name, f.Tag.Get("ini"), "default: "+reason)
		}
		return
	}
	if f.Tag.Get("optional") == "" {
		b.report(s.file, s.line, s.name, f.Tag.Get("ini"), "the key is required: "+f.Tag.Get("help"))
	}
}

func (b *binder) reportUnknownKeys(s *section, known []string) {
	names := make([]string, 0, len(s.keys))
	for k := range s.keys {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		if !contains(known, k) {
			e := s.keys[k]
			b.report(e.file, e.line, s.name, k, fmt.Sprintf("unknown key; did you mean %q?", closestMatch(k, known)))
		}
	}
}

func (b *binder) report(file string, line int, section, key, reason string) {
	b.problems = append(b.problems, Problem{File: file, Line: line, Section: section, Key: key, Reason: reason})
}

// priorities maps the text that stands for a priority in the settings to its value.
var priorities = map[string]model.Priority{
	"training": model.PriorityTraining,
	"batch":    model.PriorityBatch,
	"live":     model.PriorityLive,
}

// set parses text into a field. It returns the reason if the text is invalid, else "".
func (b *binder) set(into reflect.Value, tag reflect.StructTag, text string) string {
	if reason := checkCharacters(text); reason != "" {
		return reason
	}
	if choice := tag.Get("choice"); choice != "" && !contains(strings.Split(choice, ","), text) {
		return fmt.Sprintf("%q is not one of %s", text, choice)
	}
	if ref := tag.Get("ref"); ref != "" && !contains(b.kinds[ref], text) {
		into.SetString(text) // Keeps crossCheck from also reporting the key as empty.
		return fmt.Sprintf("there is no section [%s.%s]", ref, text)
	}
	if tag.Get("kind") == "address" {
		if reason := checkAddress(text); reason != "" {
			return reason
		}
	}
	switch into.Interface().(type) {
	case time.Duration:
		return setDuration(into, tag, text)
	case model.Priority:
		into.SetInt(int64(priorities[text]))
		return ""
	case []string:
		into.Set(reflect.ValueOf(splitList(text)))
		return ""
	}
	return setScalar(into, tag, text)
}

func setDuration(into reflect.Value, tag reflect.StructTag, text string) string {
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Sprintf("%q is not a duration; use a number with a unit, such as 250ms, 5s or 2m (allowed %s)", text, allowedRange(tag))
	}
	if reason := checkDurationRange(d, tag); reason != "" {
		return reason
	}
	into.SetInt(int64(d))
	return ""
}

func setScalar(into reflect.Value, tag reflect.StructTag, text string) string {
	switch into.Kind() {
	case reflect.String:
		into.SetString(text)
	case reflect.Bool:
		v, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Sprintf("%q is not true or false", text)
		}
		into.SetBool(v)
	case reflect.Int:
		v, err := strconv.Atoi(text)
		if err != nil || outOfRange(tag, float64(v)) {
			return fmt.Sprintf("%q is not a whole number in range (allowed %s)", text, allowedRange(tag))
		}
		into.SetInt(int64(v))
	case reflect.Float64:
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v != v || outOfRange(tag, v) {
			return fmt.Sprintf("%q is not a number in range (allowed %s)", text, allowedRange(tag))
		}
		into.SetFloat(v)
	default:
		return fmt.Sprintf("unsupported field kind %s", into.Kind())
	}
	return ""
}

// outOfRange reports whether v is outside the range given by the "range" tag. Without the
// tag every value is in range.
func outOfRange(tag reflect.StructTag, v float64) bool {
	low, high := rangeBounds(tag)
	if high == "" {
		return false
	}
	minimum, _ := strconv.ParseFloat(low, 64)
	maximum, _ := strconv.ParseFloat(high, 64)
	return v < minimum || v > maximum
}

// rangeBounds returns the two inclusive bounds of the "range" tag as text.
func rangeBounds(tag reflect.StructTag) (low, high string) {
	low, high, _ = strings.Cut(tag.Get("range"), "..")
	return low, high
}

func allowedRange(tag reflect.StructTag) string {
	low, high := rangeBounds(tag)
	return low + " to " + high
}

func splitList(text string) []string {
	var out []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

// closestMatch returns the candidate with the smallest edit distance to s.
func closestMatch(s string, candidates []string) string {
	best, minDistance := "", 1<<30
	sort.Strings(candidates)
	for _, c := range candidates {
		if d := editDistance(s, c); d < minDistance {
			best, minDistance = c, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			substitution := 1
			if a[i-1] == b[j-1] {
				substitution = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+substitution)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
