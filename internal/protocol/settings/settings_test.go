package settings

import (
	"strings"
	"testing"
)

func parse(text string) error {
	_, err := ParseConfig([]File{{Name: "10.ini", Data: []byte(text)}})
	return err
}

const baseConfig = `
[zone.lj-a]
region = si-osrednja
[service.registry]
timeout = 2s
non_idempotent = issue, revoke
[endpoint.reg-1]
kind = plain
service = registry
zone = lj-a
address = 127.0.0.1:8001
`

// A key in a later file replaces that of an earlier one; keys not set keep the earlier
// value or the default.
func TestParseConfig_MergesInNameOrder(t *testing.T) {
	c, err := ParseConfig([]File{
		{Name: "10.ini", Data: []byte(baseConfig)},
		{Name: "20.ini", Data: []byte("[service.registry]\ntimeout = 3s\n")},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := c.Services["registry"]
	if s.Timeout.String() != "3s" || !s.IsNonIdempotent("revoke") || s.MaxRunning != 16 {
		t.Fatalf("service after merge: %+v", s)
	}
}

// An operator finds a problem by its text: it must name the file, line, section and key,
// and the value expected or the closest known name.
func TestProblem_NamesFileLineAndKey(t *testing.T) {
	cases := map[string]string{
		baseConfig + "[service.x]\ntimeuot = 2s\n":                                             `10.ini:13: [service.x] timeuot: unknown key; did you mean "timeout"?`,
		baseConfig + "[service.x]\ntimeout = 2\n":                                              `10.ini:13: [service.x] timeout: "2" is not a duration`,
		baseConfig + "[service.x]\ntimeout = 2s\ntimeout = 3s\n":                               `10.ini:14: [service.x] timeout: duplicate key; first defined at line 13`,
		baseConfig + "[service.x]\ntimeout = 20h\n":                                            `allowed 10ms to 10m`,
		baseConfig + "[servise.x]\n":                                                           `10.ini:12: [servise.x]: unknown section kind; did you mean "service"?`,
		baseConfig + "[endpoint.e]\nkind = plain\nservice = nil\nzone = lj-a\naddress = a:1\n": `10.ini:14: [endpoint.e] service: there is no section [service.nil]`,
		baseConfig + "[endpoint.e]\nkind = plain\nservice = registry\nzone = lj-a\n":           `10.ini:12: [endpoint.e] address: the key is required`,
		baseConfig + "[endpoint.e]\nkind = engine\nzone = lj-a\naddress = a:1\n":               `an engine names its deployment`,
		"timeout = 2s\n" + baseConfig:                                                          `the key is outside any section`,
		"[zone.lj-a\nregion = x":                                                               `invalid INI syntax`,
		"[zone.a b]\nregion = x":                                                               `expected [zone.NAME]`,
	}
	for text, want := range cases {
		err := parse(text)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

// Any input must parse or be rejected without a panic. A parsed configuration must pass
// CheckConfig, survive a round trip through FormatINI, and keep its canonical bytes when
// decoded and encoded again.
func FuzzParseConfigNeverPanics(f *testing.F) {
	f.Add([]byte(baseConfig))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := ParseConfig([]File{{Name: "f.ini", Data: b}})
		if err != nil {
			return
		}
		if ps := CheckConfig(c); len(ps) > 0 {
			t.Fatalf("CheckConfig rejects a parsed folder: %v", ps)
		}
		if reparsed, err := ParseConfig([]File{{Name: "f.ini", Data: FormatINI(c)}}); err != nil || len(Diff(c, reparsed)) > 0 {
			t.Fatalf("FormatINI does not round trip: %v", err)
		}
		first, err := EncodeConfig(c)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeConfig(first)
		if err != nil {
			t.Fatal(err)
		}
		second, err := EncodeConfig(decoded)
		if err != nil || string(first) != string(second) {
			t.Fatalf("canonical form changed after a round trip: %v", err)
		}
	})
}
