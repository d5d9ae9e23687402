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

// binder fills structs from merged sections by the struct tags that package model
// describes.
type binder struct {
	m        *merged
	problems Problems
	// kinds maps a section kind to the names of its sections.
	kinds map[string][]string
}

// bind fills the root struct: each field with a "section" tag takes the section of
// that name, or, when it is a map, every section "KIND.NAME".
func bind(m *merged, root reflect.Value) Problems {
	b := &binder{m: m, problems: m.problems, kinds: map[string][]string{}}
	known := sectionKinds(root.Type())
	for _, name := range m.order {
		b.noteSection(name, known)
	}
	for i := range root.NumField() {
		kind := root.Type().Field(i).Tag.Get("section")
		if kind != "" {
			b.bindField(kind, root.Field(i))
		}
	}
	return b.problems.sorted()
}

// sectionKinds maps each kind to whether its sections carry a name.
func sectionKinds(t reflect.Type) map[string]bool {
	kinds := map[string]bool{}
	for i := range t.NumField() {
		if kind := t.Field(i).Tag.Get("section"); kind != "" {
			kinds[kind] = t.Field(i).Type.Kind() == reflect.Map
		}
	}
	return kinds
}

func (b *binder) noteSection(full string, known map[string]bool) {
	s := b.m.sections[full]
	kind, name, named := strings.Cut(full, ".")
	wantsName, ok := known[kind]
	switch {
	case !ok:
		names := make([]string, 0, len(known))
		for k := range known {
			names = append(names, k)
		}
		b.report(s.file, s.line, full, "", fmt.Sprintf("no such kind of section; did you mean %q?", nearest(kind, names)))
	case wantsName && (!named || !validName(name)):
		b.report(s.file, s.line, full, "", fmt.Sprintf("write [%s.NAME]; a name has letters, digits, - and _", kind))
	case !wantsName && named:
		b.report(s.file, s.line, full, "", fmt.Sprintf("write [%s]; this section takes no name", kind))
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
			b.bindAbsent(s, f, into.Field(i))
			continue
		}
		if reason := b.set(into.Field(i), f.Tag, e.value); reason != "" {
			b.report(e.file, e.line, s.name, key, reason)
		}
	}
	b.reportUnknownKeys(s, keys)
}

func (b *binder) bindAbsent(s *section, f reflect.StructField, into reflect.Value) {
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
			b.report(e.file, e.line, s.name, k, fmt.Sprintf("unknown key; did you mean %q?", nearest(k, known)))
		}
	}
}

func (b *binder) report(file string, line int, section, key, reason string) {
	b.problems = append(b.problems, Problem{File: file, Line: line, Section: section, Key: key, Reason: reason})
}

var priorities = map[string]model.Priority{
	"training": model.PriorityTraining,
	"batch":    model.PriorityBatch,
	"live":     model.PriorityLive,
}

// set parses text into a field and returns the reason when it cannot.
func (b *binder) set(into reflect.Value, tag reflect.StructTag, text string) string {
	if reason := checkPlain(text); reason != "" {
		return reason
	}
	if choice := tag.Get("choice"); choice != "" && !contains(strings.Split(choice, ","), text) {
		return fmt.Sprintf("%q is not one of %s", text, choice)
	}
	if ref := tag.Get("ref"); ref != "" && !contains(b.kinds[ref], text) {
		into.SetString(text) // So that later checks do not also call the key empty.
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
	return setPlain(into, tag, text)
}

func setDuration(into reflect.Value, tag reflect.StructTag, text string) string {
	d, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Sprintf("%q is not a duration; write a number with its unit, such as 250ms, 5s or 2m (allowed %s)", text, allowed(tag))
	}
	if reason := durationInRange(d, tag); reason != "" {
		return reason
	}
	into.SetInt(int64(d))
	return ""
}

func setPlain(into reflect.Value, tag reflect.StructTag, text string) string {
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
		if err != nil || outside(tag, float64(v)) {
			return fmt.Sprintf("%q is not a whole number in range (allowed %s)", text, allowed(tag))
		}
		into.SetInt(int64(v))
	case reflect.Float64:
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v != v || outside(tag, v) {
			return fmt.Sprintf("%q is not a number in range (allowed %s)", text, allowed(tag))
		}
		into.SetFloat(v)
	default:
		return fmt.Sprintf("fields of kind %s cannot be set", into.Kind())
	}
	return ""
}

func outside(tag reflect.StructTag, v float64) bool {
	low, high := limits(tag)
	if high == "" {
		return false
	}
	lowest, _ := strconv.ParseFloat(low, 64)
	highest, _ := strconv.ParseFloat(high, 64)
	return v < lowest || v > highest
}

func limits(tag reflect.StructTag) (low, high string) {
	low, high, _ = strings.Cut(tag.Get("range"), "..")
	return low, high
}

func allowed(tag reflect.StructTag) string {
	low, high := limits(tag)
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

// nearest returns the candidate with the fewest edits to s.
func nearest(s string, candidates []string) string {
	best, fewest := "", 1<<30
	sort.Strings(candidates)
	for _, c := range candidates {
		if d := editDistance(s, c); d < fewest {
			best, fewest = c, d
		}
	}
	return best
}

func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
