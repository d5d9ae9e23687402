package front

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"oleanderfall.example/oleanderfall/internal/coordination/origins"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/transport/configproof"
	"oleanderfall.example/oleanderfall/internal/transport/duties"
	scalingduty "oleanderfall.example/oleanderfall/internal/transport/scaling"
	"oleanderfall.example/oleanderfall/internal/transport/usage"
	"oleanderfall.example/oleanderfall/internal/wireformat"
)

// The messages of this file are newer than the build in production. They are apart from those of
// messages_test.go, which scripts/record-messages compiles with the production build.

var recordNewMessages = flag.Bool("record-new-messages", false, "record the messages that are newer than the production build")

const recordedNewMessages = "testdata/newmessages"

// newMessages has the messages between hosts and stored objects that the production build lacks.
var newMessages = map[string]message{
	"config-proof":        {configproof.Answer{}, "cbor"},
	"demand":              {scalingduty.HostDemand{}, "cbor"},
	"usage-counts":        {usage.Message{}, "cbor"},
	"usage-counts-answer": {usage.Answer{}, "cbor"},
	"stored-usage-report": {usage.StoredReport{}, "json"},
	"stored-usage-counts": {usage.StoredCounts{}, "cbor"},
	"stored-duties-lease": {duties.Record{}, "json"},
	"stored-software":     {origins.Begun{}, "cbor"},
}

// extendedMessages has the messages of the production build that have new fields.
var extendedMessages = map[string]message{"heartbeat": {presence.Heartbeat{}, "cbor"}, "results": {Page{}, "cbor"}}

func init() { maps.Copy(messages, newMessages) }

// newConstants returns the paths, keys and values with a fixed meaning that the production build lacks.
func newConstants(t *testing.T) []string {
	t.Helper()
	out := []string{
		"call " + configProofPath, "call " + dutiesTokenPath, "call " + usagePath,
		"key " + duties.LeaseKey, "key " + usage.ReportPrefix, "key " + usage.CollectedKey, "key " + streamSoftwareKey, "parameter " + teamParameter,
		fmt.Sprint("value DutiesUnknown, DutiesImpaired, DutiesAble ", []presence.DutiesState{presence.DutiesUnknown, presence.DutiesImpaired, presence.DutiesAble}),
	}
	for _, line := range constants(t) {
		if line == "call GET /demand" {
			out = append(out, line)
		}
	}
	slices.Sort(out)
	return out
}

// TestNewMessages_Record records the messages that the production build lacks.
func TestNewMessages_Record(t *testing.T) {
	if !*recordNewMessages {
		t.Skip("records only with -record-new-messages")
	}
	if err := os.MkdirAll(recordedNewMessages, 0o700); err != nil {
		t.Fatal(err)
	}
	write := func(name string, b []byte) {
		if err := os.WriteFile(filepath.Join(recordedNewMessages, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, list := range []map[string]message{newMessages, extendedMessages} {
		for name, m := range list {
			b, err := m.encode(m.filled(nil))
			if err != nil {
				t.Fatal(err)
			}
			write(name+"."+m.encoding, b)
			write(name+".fields", []byte(strings.Join(m.description(), "\n")+"\n"))
		}
	}
	write("constants", []byte(strings.Join(newConstants(t), "\n")+"\n"))
}

// A field, call or key that was added since the production build must not be removed or retyped either:
// builds that have it may run already beside this one, and their objects stay in the store.
func TestNewMessages_Kept(t *testing.T) {
	read := func(name string) []byte {
		b, err := os.ReadFile(filepath.Join(recordedNewMessages, name))
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for _, list := range []map[string]message{newMessages, extendedMessages} {
		for name, m := range list {
			fields := lines(read(name + ".fields"))
			for _, line := range wireformat.Compare(fields, m.description()) {
				t.Errorf("%s: the field %q was removed or retyped", name, line)
			}
			want, got := m.filled(wireformat.Has(fields)), reflect.New(reflect.TypeOf(m.value)).Interface()
			if err := m.decode(read(name+"."+m.encoding), got); err != nil {
				t.Errorf("%s: %v", name, err)
			} else if !reflect.DeepEqual(got, want) {
				t.Errorf("%s is decoded as\n%+v, want\n%+v", name, got, want)
			}
		}
	}
	recordedFiles, err := filepath.Glob(filepath.Join(recordedNewMessages, "*.fields"))
	if err != nil || len(recordedFiles) != len(newMessages)+len(extendedMessages) {
		t.Errorf("%d recorded messages, want %d: %v", len(recordedFiles), len(newMessages)+len(extendedMessages), err)
	}
	for _, line := range wireformat.Compare(lines(read("constants")), newConstants(t)) {
		t.Errorf("%q was removed or changed", line)
	}
}
