// Package wireformat describes the encoded form of Go types, for tests that compare the messages and
// stored objects of two builds.
//
// Invariant: equal descriptions decode each other's bytes, with CBOR, JSON or TOML as the tags of the
// types say. A description with more lines than another one adds fields to it.
package wireformat

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"slices"
	"strings"
)

// maxDepth bounds the nesting of types, which would not end for a recursive one.
const maxDepth = 12

// Describe returns a sorted line for each encoded field of t: its path, by the keys of the encoding,
// and its type. tag is the struct tag of the encoding; "cbor" falls back to "json", as the library
// does. A struct that is encoded as an array has one line, since each change of its fields breaks it.
// Describe panics if two fields of a struct have the same key: the encoders drop both silently.
func Describe(t reflect.Type, tag string) []string {
	var out []string
	describe(t, tag, "", 0, &out)
	slices.Sort(out)
	return out
}

func describe(t reflect.Type, tag, path string, depth int, out *[]string) {
	if depth > maxDepth {
		panic("wireformat: " + path + " is nested too deeply")
	}
	switch {
	case t.Kind() == reflect.Pointer:
		describe(t.Elem(), tag, path, depth, out)
	case t.Kind() == reflect.Struct && isArray(t):
		var types []string
		for i := range t.NumField() {
			if f := t.Field(i); f.IsExported() {
				types = append(types, f.Type.Kind().String())
			}
		}
		*out = append(*out, path+" array("+strings.Join(types, " ")+")")
	case t.Kind() == reflect.Struct:
		seen := map[string]bool{}
		for _, f := range fields(t, tag) {
			if seen[f.key] {
				panic(fmt.Sprintf("wireformat: two fields of %v have the key %s", t, f.key))
			}
			seen[f.key] = true
			describe(f.field.Type, tag, path+"/"+f.key, depth+1, out)
		}
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8:
		*out = append(*out, path+" bytes")
	case t.Kind() == reflect.Slice:
		describe(t.Elem(), tag, path+"[]", depth+1, out)
	case t.Kind() == reflect.Map:
		describe(t.Elem(), tag, path+"["+t.Key().Kind().String()+"]", depth+1, out)
	default:
		*out = append(*out, path+" "+t.Kind().String())
	}
}

func isArray(t reflect.Type) bool {
	f, ok := t.FieldByName("_")
	return ok && strings.Contains(f.Tag.Get("cbor"), "toarray")
}

// encodedField is a field with its key in the encoding and its index for reflect.Value.FieldByIndex.
type encodedField struct {
	key   string
	field reflect.StructField
}

// fields returns the encoded fields of a struct, with those of embedded structs.
func fields(t reflect.Type, tag string) []encodedField {
	var out []encodedField
	for _, f := range reflect.VisibleFields(t) {
		text, ok := f.Tag.Lookup(tag)
		if !ok && tag == "cbor" {
			text = f.Tag.Get("json")
		}
		key, _, _ := strings.Cut(text, ",")
		if !f.IsExported() || f.Anonymous && key == "" || key == "-" {
			continue
		}
		if key == "" {
			key = f.Name
		}
		out = append(out, encodedField{key: key, field: f})
	}
	return out
}

// Fill sets each encoded field of the value to which v points to one that is not zero and depends only
// on the field's path, so that two builds fill a field that both have with the same value. Fields for
// which keep returns false are left zero; a nil keep fills all. The path is that of Describe without
// the type.
func Fill(v any, tag string, keep func(path string) bool) {
	fill(reflect.ValueOf(v).Elem(), tag, "", keep)
}

func fill(v reflect.Value, tag, path string, keep func(string) bool) {
	t := v.Type()
	switch {
	case t.Kind() == reflect.Pointer:
		p := reflect.New(t.Elem())
		fill(p.Elem(), tag, path, keep)
		if !p.Elem().IsZero() {
			v.Set(p)
		}
		return
	case t.Kind() == reflect.Struct && !isArray(t):
		for _, f := range fields(t, tag) {
			fill(v.FieldByIndex(f.field.Index), tag, path+"/"+f.key, keep)
		}
		return
	case t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8:
		element := reflect.New(t.Elem()).Elem()
		fill(element, tag, path+"[]", keep)
		if !element.IsZero() {
			v.Set(reflect.Append(v, element))
		}
		return
	case t.Kind() == reflect.Map:
		path += "[" + t.Key().Kind().String() + "]"
		key, element := reflect.New(t.Key()).Elem(), reflect.New(t.Elem()).Elem()
		fill(key, tag, path+"key", nil)
		fill(element, tag, path, keep)
		if !element.IsZero() {
			v.Set(reflect.MakeMap(t))
			v.SetMapIndex(key, element)
		}
		return
	case keep != nil && !keep(path):
		return
	}
	if t.Kind() == reflect.Struct {
		for i := range t.NumField() {
			if t.Field(i).IsExported() {
				fill(v.Field(i), tag, fmt.Sprintf("%s/%d", path, i), nil)
			}
		}
		return
	}
	setValue(v, path)
}

// setValue sets a value without parts. Numbers are between 1 and 100, so that they fit each type.
func setValue(v reflect.Value, path string) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(path)) // writes to a hash never fail
	n := h.Sum32()%100 + 1
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(path)
	case reflect.Slice:
		v.SetBytes([]byte(path))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n))
	default:
		panic(fmt.Sprintf("wireformat: %s has the type %v", path, v.Type()))
	}
}

// Compare returns what in a description breaks builds with an older one: removed and retyped fields.
// It ignores added fields.
func Compare(older, newer []string) (broken []string) {
	for _, line := range older {
		if !slices.Contains(newer, line) {
			broken = append(broken, line)
		}
	}
	return broken
}

// Has returns a function that reports whether a description has a field, for Fill.
func Has(description []string) func(path string) bool {
	paths := make(map[string]bool, len(description))
	for _, line := range description {
		path, _, _ := strings.Cut(line, " ")
		paths[path] = true
	}
	return func(path string) bool { return paths[path] }
}
