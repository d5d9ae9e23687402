package settings

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// targetFolder returns a folder for an installation of the target size: 7 availability
// zones, 390 hosts, 600 endpoints and 50 callers.
func targetFolder() []File {
	var b strings.Builder
	for i := range 7 {
		fmt.Fprintf(&b, "[zone.z%d]\nregion = r%d\n", i, i%2)
	}
	for i := range 390 {
		ip := fmt.Sprintf("10.0.%d.%d", i/250, i%250)
		fmt.Fprintf(&b, "[host.host-%d]\nzone = z%d\ncontrol = %s:7000\nentry = %s:7001\nentry_mesh = %s:7002\n", i, i%7, ip, ip, ip)
	}
	b.WriteString("[deployment.drafting]\nmodel = drafting\n[service.registry]\ntimeout = 2s\n")
	for i := range 600 {
		kind := "kind = engine\ndeployment = drafting"
		if i%4 == 0 {
			kind = "kind = plain\nservice = registry"
		}
		fmt.Fprintf(&b, "[endpoint.endpoint-%d]\n%s\nzone = z%d\naddress = 10.1.%d.%d:8000\n", i, kind, i%7, i/250, i%250)
	}
	for i := range 50 {
		fmt.Fprintf(&b, "[caller.caller-%d]\nrequests_per_second = 100\n", i)
	}
	return []File{{Name: "10.ini", Data: []byte(b.String())}}
}

func targetCanonical(b *testing.B) ([]byte, *model.Config) {
	b.Helper()
	c, err := ParseConfig(targetFolder())
	if err != nil {
		b.Fatal(err)
	}
	canonical, err := EncodeConfig(c)
	if err != nil {
		b.Fatal(err)
	}
	return canonical, c
}

// BenchmarkParseTargetFolder parses and validates a folder, as oleanderctl does before it
// applies a configuration.
func BenchmarkParseTargetFolder(b *testing.B) {
	files := targetFolder()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseConfig(files); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTakeTargetGeneration unpacks and decodes a generation, as a host does when it
// receives one.
func BenchmarkTakeTargetGeneration(b *testing.B) {
	canonical, _ := targetCanonical(b)
	packed, err := Pack(canonical)
	if err != nil {
		b.Fatal(err)
	}
	digest := Digest(canonical)
	b.ReportAllocs()
	for b.Loop() {
		got, err := Unpack(packed, digest)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := DecodeConfig(got); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(canonical)), "canonical_bytes")
	b.ReportMetric(float64(len(packed)), "packed_bytes")
}

// BenchmarkAcceptTargetGeneration validates and packs a change, as the host that commits
// it does.
func BenchmarkAcceptTargetGeneration(b *testing.B) {
	canonical, _ := targetCanonical(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeNewConfig(canonical); err != nil {
			b.Fatal(err)
		}
		if _, err := Pack(canonical); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHoldTargetConfiguration reports the heap memory of one decoded configuration.
func BenchmarkHoldTargetConfiguration(b *testing.B) {
	canonical, _ := targetCanonical(b)
	const copies = 50
	for b.Loop() {
		var before, after runtime.MemStats
		held := make([]*model.Config, 0, copies)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range copies {
			c, err := DecodeConfig(canonical)
			if err != nil {
				b.Fatal(err)
			}
			held = append(held, c)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(held)), "held_bytes")
	}
}
