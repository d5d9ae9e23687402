package settings

import (
	"fmt"
	"reflect"
	"strings"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Reference returns the settings reference page in Markdown, generated from the struct
// tags that the parser uses.
func Reference() string {
	var out strings.Builder
	out.WriteString(`# Settings

This page is printed by ` + "`oleanderctl settings-reference`" + `; a test compares the two.

Settings are folders of INI files, merged in the order of their names: a key in a
later file replaces the same key of an earlier one. A duration is a number with its
unit, such as 250ms, 5s or 2m. An unknown key is an error. A key without default is
required unless it says optional.

## Shared configuration

The folder given to ` + "`oleanderctl apply`" + `, the same for all hosts.

`)
	writeReference(&out, reflect.TypeFor[model.Config]())
	out.WriteString(`## A host's own settings

The folder given to the programs of one host.

`)
	writeReference(&out, reflect.TypeFor[LocalSettings]())
	return strings.TrimRight(out.String(), "\n") + "\n"
}

// writeReference writes a table of keys for each section of a settings struct.
func writeReference(out *strings.Builder, root reflect.Type) {
	for i := range root.NumField() {
		f := root.Field(i)
		kind, item := f.Tag.Get("section"), f.Type
		if item.Kind() == reflect.Map {
			kind, item = kind+".NAME", item.Elem()
		}
		fmt.Fprintf(out, "### [%s]\n\n| key | value | default | meaning |\n| --- | --- | --- | --- |\n", kind)
		for j := range item.NumField() {
			if key := item.Field(j).Tag.Get("ini"); key != "" {
				tag := item.Field(j).Tag
				fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", key, valueFormat(item.Field(j)), defaultText(tag), tag.Get("help"))
			}
		}
		out.WriteString("\n")
	}
}

// valueFormat describes the allowed values of a key.
func valueFormat(f reflect.StructField) string {
	switch {
	case f.Tag.Get("choice") != "":
		return strings.ReplaceAll(f.Tag.Get("choice"), ",", ", ")
	case f.Tag.Get("ref") != "":
		return "name of a [" + f.Tag.Get("ref") + "]"
	case f.Tag.Get("kind") == "address":
		return "host:port"
	case f.Tag.Get("range") != "":
		return allowedRange(f.Tag)
	}
	switch f.Type.Kind() {
	case reflect.Bool:
		return "true, false"
	case reflect.Slice:
		return "list"
	}
	return "text"
}

func defaultText(tag reflect.StructTag) string {
	if def, ok := tag.Lookup("default"); ok {
		return "`" + def + "`"
	}
	if tag.Get("optional") != "" {
		return "optional"
	}
	return "required"
}
