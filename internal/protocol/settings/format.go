package settings

import (
	"bytes"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Value is one key of a configuration with its value as text, formatted as in an INI file.
type Value struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Text    string `json:"text"`
}

// Flatten lists the values of a configuration, grouped by section in the order of the
// fields of model.Config. Defaults are included, keys with an empty value are not.
func Flatten(c *model.Config) []Value {
	var out []Value
	root := reflect.ValueOf(c).Elem()
	names := sectionNames(root)
	for i := range root.NumField() {
		kind := root.Type().Field(i).Tag.Get("section")
		field := root.Field(i)
		if field.Kind() != reflect.Map {
			out = append(out, flattenStruct(kind, field)...)
			continue
		}
		for _, name := range names[kind] {
			item := field.MapIndex(reflect.ValueOf(name).Convert(field.Type().Key()))
			out = append(out, flattenStruct(kind+"."+name, item)...)
		}
	}
	return out
}

func flattenStruct(section string, v reflect.Value) []Value {
	var out []Value
	for i := range v.NumField() {
		key := v.Type().Field(i).Tag.Get("ini")
		if key == "" {
			continue
		}
		if text := formatValue(v.Field(i)); text != "" {
			out = append(out, Value{Section: section, Key: key, Text: text})
		}
	}
	return out
}

func formatValue(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case time.Duration:
		return value.String()
	case model.Priority:
		for name, p := range priorities {
			if p == value {
				return name
			}
		}
	case []string:
		return strings.Join(value, ", ")
	}
	if v.Kind() == reflect.Float64 {
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	}
	return fmt.Sprint(v.Interface())
}

// FormatINI formats a configuration as one INI file. Parsing it gives an equal
// configuration.
func FormatINI(c *model.Config) []byte {
	var out bytes.Buffer
	section := ""
	for _, v := range Flatten(c) {
		if v.Section != section {
			if section != "" {
				out.WriteByte('\n')
			}
			section = v.Section
			fmt.Fprintf(&out, "[%s]\n", section)
		}
		fmt.Fprintf(&out, "%s = %s\n", v.Key, v.Text)
	}
	return out.Bytes()
}

// Difference is one key whose value differs between two configurations. Old or New is
// empty if the key is set in only one of them.
type Difference struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

// Diff lists the differences between two configurations in order of section and key.
func Diff(from, to *model.Config) []Difference {
	type sectionKey struct{ section, key string }
	differences := map[sectionKey]*Difference{}
	differenceFor := func(v Value) *Difference {
		k := sectionKey{v.Section, v.Key}
		if differences[k] == nil {
			differences[k] = &Difference{Section: v.Section, Key: v.Key}
		}
		return differences[k]
	}
	for _, v := range Flatten(from) {
		differenceFor(v).Old = v.Text
	}
	for _, v := range Flatten(to) {
		differenceFor(v).New = v.Text
	}
	var out []Difference
	for _, d := range differences {
		if d.Old != d.New {
			out = append(out, *d)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Section != out[j].Section {
			return out[i].Section < out[j].Section
		}
		return out[i].Key < out[j].Key
	})
	return out
}
