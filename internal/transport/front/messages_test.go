package front

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"

	"oleanderfall.example/oleanderfall/internal/coordination/origins"
	"oleanderfall.example/oleanderfall/internal/coordination/presence"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/standin"
	"oleanderfall.example/oleanderfall/internal/state/batches"
	"oleanderfall.example/oleanderfall/internal/wireformat"
)

// The tests of this file guard against a build that cannot run beside the one in production, whose
// messages and objects scripts/record-messages recorded; see docs/design/73-mixed-builds.md.

var recordMessages = flag.Bool("record-messages", false, "record the messages of this build instead of comparing them")

// message is a message between hosts or a stored object.
type message struct {
	// value is of its type, and encoding is cbor or json.
	value    any
	encoding string
}

// messages has all messages between hosts and all objects that hosts store, by the names of the
// recorded files. One that the production build lacks is in newMessages, from which it is added here.
var messages = map[string]message{
	"heartbeat":        {presence.Heartbeat{}, "cbor"},
	"roster":           {[]presence.RosterEntry{}, "cbor"},
	"feed":             {feedState{}, "cbor"},
	"permit-call":      {permitCall{}, "cbor"},
	"permit-answer":    {permitAnswer{}, "cbor"},
	"origin-records":   {[]origins.Record{}, "cbor"},
	"origins":          {[]origins.Origin{}, "cbor"},
	"groups":           {[]uint64{}, "cbor"},
	"relayed-request":  {relayedRequest{}, "cbor"},
	"relayed-part":     {relayedPart{}, "cbor"},
	"results":          {Page{}, "cbor"},
	"relayed-listing":  {objectapi.Page{}, "json"},
	"relayed-event":    {objectapi.Event{}, "json"},
	"stored-batch":     {batches.Batch{}, "cbor"},
	"stored-log-entry": {batches.LogEntry{}, "cbor"},
	"stored-partials":  {[]savedSample{}, "cbor"},
	"stored-manifest":  {batches.Manifest{}, "json"},
	"stored-lease":     {leaseRecord{}, "json"},
	"stored-host":      {hostRecord{}, "json"},
}

const recordedMessages = "testdata/messages"

func (m message) description() []string {
	return wireformat.Describe(reflect.TypeOf(m.value), m.encoding)
}

// filled returns a pointer to a value with the fields for which keep is true.
func (m message) filled(keep func(string) bool) any {
	v := reflect.New(reflect.TypeOf(m.value))
	wireformat.Fill(v.Interface(), m.encoding, keep)
	return v.Interface()
}

func (m message) encode(v any) ([]byte, error) {
	if m.encoding == "json" {
		return json.Marshal(v)
	}
	return cbor.Marshal(v)
}

func (m message) decode(b []byte, v any) error {
	if m.encoding == "json" {
		return json.Unmarshal(b, v)
	}
	return decoding.Unmarshal(b, v)
}

// constants returns the paths of calls between hosts, the headers of relayed calls to the store, the
// keys of stored objects, and the values in messages and objects that have a fixed meaning.
func constants(t *testing.T) []string {
	t.Helper()
	out := []string{
		"key " + batches.ManifestKey("ID"), "key " + batches.PartKey("ID", "0123456789abcdef", 1), "key " + batches.LogKey("ID", 1),
		"key " + batches.PartialsKey("ID"), "key " + weightsLeaseKey, "key " + hostPrefix,
		"header " + objectapi.VersionHeader, "header " + objectapi.ExpectHeader,
		"value submitConflict " + submitConflict, "value Completed " + string(batches.Completed), "value Abandoned " + string(batches.Abandoned),
		fmt.Sprint("value KindDirect, KindToHub, KindBetweenHubs, KindSummary ", []presence.Kind{presence.KindDirect, presence.KindToHub, presence.KindBetweenHubs, presence.KindSummary}),
		fmt.Sprint("value relayedDo, relayedStream, relayedGenerate, relayedCheck ", []relayedKind{relayedDo, relayedStream, relayedGenerate, relayedCheck}),
	}
	for i, err := range relayedErrors {
		out = append(out, fmt.Sprintf("value relayedErrors %d %v", i, err))
	}
	var handler http.Handler = newPeerHandler(nil, nil, nil, nil, nil, &StreamOrigins{}, http.NotFoundHandler())
	router, ok := handler.(*mux.Router)
	if !ok {
		t.Fatalf("the handler of calls between hosts is a %T", handler)
	}
	err := router.Walk(func(r *mux.Route, _ *mux.Router, _ []*mux.Route) error {
		path, err := r.GetPathTemplate()
		methods, _ := r.GetMethods() // none means all
		out = append(out, "call "+strings.Join(methods, ",")+" "+path)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(out)
	return out
}

// storedEnvelope returns the stored form of a value that replaced another one.
func storedEnvelope(t *testing.T) []byte {
	t.Helper()
	ctx := context.Background()
	store := standin.NewObjectStore(standin.ObjectStoreOptions{})
	client := objectapi.NewClient(store, objectapi.ClientOptions{Seed: 1})
	version, err := client.Put(ctx, "k/k", []byte("first"), 0)
	if err == nil {
		_, err = client.Put(ctx, "k/k", []byte("second"), version)
	}
	o, getErr := store.Get(ctx, "k/k")
	if err = errors.Join(err, getErr); err != nil {
		t.Fatal(err)
	}
	return o.Value
}

func recorded(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(recordedMessages, name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func lines(b []byte) []string { return strings.Split(strings.TrimSuffix(string(b), "\n"), "\n") }

// TestMessages_Record records the messages of the build that it is part of.
func TestMessages_Record(t *testing.T) {
	if !*recordMessages {
		t.Skip("records only for scripts/record-messages")
	}
	write := func(name string, b []byte) {
		if err := os.WriteFile(filepath.Join(recordedMessages, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.MkdirAll(recordedMessages, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, m := range messages {
		b, err := m.encode(m.filled(nil))
		if err != nil {
			t.Fatal(err)
		}
		write(name+"."+m.encoding, b)
		write(name+".fields", []byte(strings.Join(m.description(), "\n")+"\n"))
	}
	write("constants", []byte(strings.Join(constants(t), "\n")+"\n"))
	write("stored-envelope", storedEnvelope(t))
}

// Messages and objects of the production build must keep each value when this build decodes them, and
// fields that they lack must stay zero, which stands for the former behaviour.
func TestMessages_ProductionDecoded(t *testing.T) {
	for name, m := range messages {
		file := filepath.Join(recordedMessages, name+".fields")
		if _, err := os.Stat(file); errors.Is(err, os.ErrNotExist) {
			t.Logf("%s is not part of the production build", name)
			continue
		}
		fields := lines(recorded(t, name+".fields"))
		want, got := m.filled(wireformat.Has(fields)), reflect.New(reflect.TypeOf(m.value)).Interface()
		if err := m.decode(recorded(t, name+"."+m.encoding), got); err != nil {
			t.Errorf("%s: %v", name, err)
		} else if !reflect.DeepEqual(got, want) {
			t.Errorf("%s is decoded as\n%+v, want\n%+v", name, got, want)
		}
	}
	if got := objectapi.Payload(recorded(t, "stored-envelope")); string(got) != "second" {
		t.Errorf("the stored value is decoded as %q", got)
	}
}

// The production build must be able to decode the messages and objects of this build and find its calls
// and keys: nothing may be removed, retyped or renumbered.
func TestMessages_DecodableByProduction(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(recordedMessages, "*.fields"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%d recorded messages: %v", len(files), err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".fields")
		m, ok := messages[name]
		if !ok {
			t.Errorf("the message %s is gone", name)
			continue
		}
		for _, line := range wireformat.Compare(lines(recorded(t, name+".fields")), m.description()) {
			t.Errorf("%s: the field %q was removed or retyped", name, line)
		}
	}
	for _, line := range wireformat.Compare(lines(recorded(t, "constants")), constants(t)) {
		t.Errorf("%q was removed or changed", line)
	}
}
