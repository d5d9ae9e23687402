package settings

import (
	"strings"
	"testing"
)

func parse(text string) error {
	_, err := ParseConfig([]File{{Name: "10.ini", Data: []byte(text)}})
	return err
}

const small = `
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

func TestFoldersMergeInNameOrder(t *testing.T) {
	c, err := ParseConfig([]File{
		{Name: "10.ini", Data: []byte(small)},
		{Name: "20.ini", Data: []byte("[service.registry]\ntimeout = 3s\n")},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := c.Services["registry"]
	if s.Timeout.String() != "3s" || !s.IsNonIdempotent("revoke") || s.MaxRunning != 16 {
		t.Fatalf("merged service: %+v", s)
	}
}

func TestEachProblemNamesItsPlace(t *testing.T) {
	cases := map[string]string{
		small + "[service.x]\ntimeuot = 2s\n":                                             `10.ini:13: [service.x] timeuot: unknown key; did you mean "timeout"?`,
		small + "[service.x]\ntimeout = 2\n":                                              `10.ini:13: [service.x] timeout: "2" is not a duration`,
		small + "[service.x]\ntimeout = 2s\ntimeout = 3s\n":                               `10.ini:14: [service.x] timeout: the key stands twice; first at line 13`,
		small + "[service.x]\ntimeout = 20h\n":                                            `allowed 10ms to 10m`,
		small + "[servise.x]\n":                                                           `10.ini:12: [servise.x]: no such kind of section; did you mean "service"?`,
		small + "[endpoint.e]\nkind = plain\nservice = nil\nzone = lj-a\naddress = a:1\n": `10.ini:14: [endpoint.e] service: there is no section [service.nil]`,
		small + "[endpoint.e]\nkind = plain\nservice = registry\nzone = lj-a\n":           `10.ini:12: [endpoint.e] address: the key is required`,
		small + "[endpoint.e]\nkind = engine\nzone = lj-a\naddress = a:1\n":               `an engine names its deployment`,
		"timeout = 2s\n" + small:                                                          `the key stands before any section`,
		"[zone.lj-a\nregion = x":                                                          `not readable as INI`,
		"[zone.a b]\nregion = x":                                                          `write [zone.NAME]`,
	}
	for text, want := range cases {
		err := parse(text)
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

func FuzzParseConfigNeverPanics(f *testing.F) {
	f.Add([]byte(small))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := ParseConfig([]File{{Name: "f.ini", Data: b}})
		if err != nil {
			return
		}
		if ps := CheckConfig(c); len(ps) > 0 {
			t.Fatalf("a folder that was taken is refused as a change: %v", ps)
		}
		if again, err := ParseConfig([]File{{Name: "f.ini", Data: FormatINI(c)}}); err != nil || len(Diff(c, again)) > 0 {
			t.Fatalf("the INI form reads back differently: %v", err)
		}
		once, err := EncodeConfig(c)
		if err != nil {
			t.Fatal(err)
		}
		back, err := DecodeConfig(once)
		if err != nil {
			t.Fatal(err)
		}
		twice, err := EncodeConfig(back)
		if err != nil || string(once) != string(twice) {
			t.Fatalf("not canonical: %v", err)
		}
	})
}
