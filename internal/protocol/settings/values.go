package settings

import (
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// checkValues checks each value of a configuration against its struct tags.
func checkValues(root reflect.Value, report reportFunc) {
	names := sectionNames(root)
	for i := range root.NumField() {
		kind := root.Type().Field(i).Tag.Get("section")
		field := root.Field(i)
		if field.Kind() != reflect.Map {
			checkStruct(kind, field, names, report)
			continue
		}
		for _, name := range names[kind] {
			if !validName(name) {
				report(kind+"."+name, "", "a name has letters, digits, - and _")
			}
			item := field.MapIndex(reflect.ValueOf(name).Convert(field.Type().Key()))
			checkStruct(kind+"."+name, item, names, report)
		}
	}
}

// sectionNames returns the sorted section names of each kind of named section.
func sectionNames(root reflect.Value) map[string][]string {
	names := map[string][]string{}
	for i := range root.NumField() {
		field := root.Field(i)
		if field.Kind() != reflect.Map {
			continue
		}
		kind := root.Type().Field(i).Tag.Get("section")
		for _, key := range field.MapKeys() {
			names[kind] = append(names[kind], key.String())
		}
		slices.Sort(names[kind])
	}
	return names
}

func checkStruct(section string, v reflect.Value, names map[string][]string, report reportFunc) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key := f.Tag.Get("ini")
		if key == "" {
			continue
		}
		if reason := checkValue(v.Field(i), f.Tag, names); reason != "" {
			report(section, key, reason)
		}
	}
}

// checkValue returns the reason why a value violates its tags, else "".
func checkValue(v reflect.Value, tag reflect.StructTag, names map[string][]string) string {
	switch value := v.Interface().(type) {
	case time.Duration:
		return checkDurationRange(value, tag)
	case model.Priority:
		if value < model.PriorityTraining || value > model.PriorityLive {
			return fmt.Sprintf("%d is no class of work", value)
		}
		return ""
	}
	switch v.Kind() {
	case reflect.Slice:
		return checkCharacters(formatValue(v))
	case reflect.String:
		return checkText(v.String(), tag, names)
	case reflect.Int:
		return checkNumberRange(float64(v.Int()), tag)
	case reflect.Float64:
		return checkNumberRange(v.Float(), tag)
	}
	return ""
}

func checkText(text string, tag reflect.StructTag, names map[string][]string) string {
	if text == "" {
		if tag.Get("optional") == "" {
			return "the key is required: " + tag.Get("help")
		}
		return ""
	}
	if reason := checkCharacters(text); reason != "" {
		return reason
	}
	if choice := tag.Get("choice"); choice != "" && !contains(strings.Split(choice, ","), text) {
		return fmt.Sprintf("%q is not one of %s", text, choice)
	}
	if ref := tag.Get("ref"); ref != "" && !contains(names[ref], text) {
		return fmt.Sprintf("there is no section [%s.%s]", ref, text)
	}
	if tag.Get("kind") == "address" {
		return checkAddress(text)
	}
	return ""
}

// checkCharacters checks that an INI file can hold the text unquoted: it must be printable
// and have no quotes, backslashes or comment characters. It returns the reason if the text
// is invalid, else "".
func checkCharacters(text string) string {
	const special = "\"'`#;\\"
	for _, c := range text {
		if !unicode.IsPrint(c) || c == utf8.RuneError || strings.ContainsRune(special, c) {
			return fmt.Sprintf("%q has a character that a value may not have: a quote, #, ; or \\, or one that does not print", text)
		}
	}
	return ""
}

// checkAddress checks that text is host:port with a numeric port. Port 0 is valid, as
// in a listen address; checkConnectable rejects it where other hosts connect.
func checkAddress(text string) string {
	const maxPort = 65535
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Sprintf("%q is not host:port", text)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > maxPort {
		return fmt.Sprintf("%q has no port number from 0 to %d", text, maxPort)
	}
	return ""
}

func checkDurationRange(d time.Duration, tag reflect.StructTag) string {
	low, high := rangeBounds(tag)
	minimum, _ := time.ParseDuration(low)
	maximum, _ := time.ParseDuration(high)
	if high != "" && (d < minimum || d > maximum) {
		return fmt.Sprintf("%s is out of range (allowed %s)", d, allowedRange(tag))
	}
	return ""
}

func checkNumberRange(v float64, tag reflect.StructTag) string {
	if v != v || outOfRange(tag, v) {
		return fmt.Sprintf("%v is out of range (allowed %s)", v, allowedRange(tag))
	}
	return ""
}
