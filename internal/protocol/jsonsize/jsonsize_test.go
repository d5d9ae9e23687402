package jsonsize

import (
	"encoding/json"
	"testing"
)

// count returns the number of values in decoded JSON.
func count(v any) int64 {
	n := int64(1)
	switch v := v.(type) {
	case []any:
		for _, e := range v {
			n += count(e)
		}
	case map[string]any:
		for _, e := range v {
			n += count(e)
		}
	}
	return n
}

// FuzzValues checks that no JSON has more values than were counted.
func FuzzValues(f *testing.F) {
	for _, text := range []string{"1", `"a,[{"`, `"\",["`, `"\\",[1]`, `[{},{},{}]`, `{"a":[1,2,{"b":"c\",d"}],"e":{}}`, `[[[[]]]]`, `[1,`, `"`, `"\`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		bound := Values(raw)
		var v any
		if json.Unmarshal(raw, &v) == nil && count(v) > bound {
			t.Errorf("%q has %d values, counted %d", raw, count(v), bound)
		}
	})
}

// Guards against values that hide behind strings, or strings that look like values.
func TestValues_Strings(t *testing.T) {
	for text, want := range map[string]int64{`["a,b,c"]`: 2, `["\"",1]`: 3, `["\\",1]`: 3, `{"a":"{[,"}`: 2, `[{},{}]`: 5} {
		if got := Values([]byte(text)); got != want {
			t.Errorf("%s: %d values, want %d", text, got, want)
		}
	}
}
