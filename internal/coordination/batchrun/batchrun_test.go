package batchrun

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"oleanderfall.example/oleanderfall/internal/state/batches"
)

var testStart = time.Unix(1000, 0)

// traceRunner executes the commands of a trace against one run.
type traceRunner struct {
	run *Run
	now time.Time
	// software is the software version of the endpoints that start samples.
	software string
}

// TestTraces replays the traces in testdata: start order, failures, retries and results.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &traceRunner{now: testStart}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.step(t, d) })
	})
}

func (s *traceRunner) step(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "batch":
		return s.batch(t, d)
	case "advance":
		ms, err := strconv.Atoi(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(time.Duration(ms) * time.Millisecond)
		return ""
	case "start":
		n := 1
		d.MaybeScanArgs(t, "n", &n)
		return s.start(n)
	case "end":
		return s.end(t, d)
	case "scored":
		var id string
		d.ScanArgs(t, "id", &id)
		s.run.Scored(s.run.byID[id], "s")
		return s.results()
	case "score-failed":
		var id string
		d.ScanArgs(t, "id", &id)
		retry := s.run.ScoreFailed(s.run.byID[id])
		return fmt.Sprintf("retry: %v\n%s", retry, s.results())
	case "restore":
		var id string
		var events, version int
		d.ScanArgs(t, "id", &id)
		d.ScanArgs(t, "events", &events)
		d.ScanArgs(t, "version", &version)
		return fmt.Sprintf("%v\n", s.run.Restore(id, partial(events, version, s.software)))
	case "restore-complete":
		var id string
		var events, version int
		d.ScanArgs(t, "id", &id)
		d.ScanArgs(t, "events", &events)
		d.ScanArgs(t, "version", &version)
		_, ok := s.run.RestoreComplete(id, partial(events, version, s.software))
		return fmt.Sprintf("%v\n", ok)
	case "stall-timeouts":
		var id string
		interval := 0
		d.ScanArgs(t, "id", &id)
		d.MaybeScanArgs(t, "interval", &interval)
		stall, suspect := s.run.StallTimeouts(s.run.byID[id], time.Duration(interval)*time.Millisecond)
		return fmt.Sprintf("%v, at a suspect endpoint %v\n", stall, suspect)
	case "preferred":
		var id string
		d.ScanArgs(t, "id", &id)
		return fmt.Sprintf("%q\n", s.run.PreferredEndpoint(s.run.byID[id]))
	case "software":
		s.software = d.CmdArgs[0].Key
		return ""
	case "await-software":
		var id string
		d.ScanArgs(t, "id", &id)
		i := s.run.byID[id]
		software, began := s.run.Software(i)
		return fmt.Sprintf("software %q, began %v, wait %v\n", software, began, s.run.AwaitSoftware(s.now, i, 40*time.Millisecond))
	case "expire":
		s.run.Expire(s.now.Sub(testStart))
		return s.results()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// batch starts a run. The input has one sample per line: ID, group and expected tokens.
func (s *traceRunner) batch(t *testing.T, d *datadriven.TestData) string {
	b := &batches.Batch{ID: "b", MinVersion: 1}
	opt := Options{SampleTTL: 40 * time.Second, MaxFailures: 3, MaxScoreFailures: 4, Carried: map[string]bool{}}
	d.ScanArgs(t, "desired", &b.DesiredGroups)
	d.MaybeScanArgs(t, "min", &b.MinVersion)
	var carried string
	d.MaybeScanArgs(t, "carried", &carried)
	opt.SingleVersion = d.HasArg("single")
	for _, c := range strings.Split(carried, "+") {
		opt.Carried[c] = true
	}
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		f := strings.Fields(line)
		tokens, err := strconv.Atoi(f[2])
		if err != nil {
			t.Fatal(err)
		}
		b.Samples = append(b.Samples, batches.Sample{ID: f[0], Group: f[1], ExpectedTokens: tokens, Scoring: &batches.Scoring{ID: "score-" + f[0]}})
	}
	s.run = New(b, opt, nil)
	return ""
}

func (s *traceRunner) start(n int) string {
	var out strings.Builder
	for range n {
		i, ok := s.run.Next(s.now, nil)
		if !ok {
			out.WriteString("none\n")
			break
		}
		p := s.run.Resume(i, 2, s.software)
		s.run.Started(i, "e1")
		fmt.Fprintf(&out, "%s spare=%v after=%d\n", s.run.Sample(i).ID, s.run.IsSpare(i), p.Events)
	}
	return out.String()
}

func partial(events, version int, software string) Partial {
	var p Partial
	for i := range events {
		p.Add("e"+strconv.Itoa(i+1), version, software)
	}
	return p
}

func (s *traceRunner) end(t *testing.T, d *datadriven.TestData) string {
	ends := map[string]AttemptOutcome{"complete": Complete, "failed": Failed, "invalid": Invalid, "interrupted": Interrupted, "not-run": NotRun, "crashed": Crashed}
	var id, how string
	events, version := 0, 1
	d.ScanArgs(t, "id", &id)
	d.ScanArgs(t, "how", &how)
	d.MaybeScanArgs(t, "events", &events)
	d.MaybeScanArgs(t, "version", &version)
	s.run.Ended(s.now, s.run.byID[id], ends[how], partial(events, version, s.software))
	return s.results()
}

func (s *traceRunner) results() string {
	var out strings.Builder
	for _, r := range s.run.TakeResults() {
		fmt.Fprintf(&out, "%s %s versions=%v text=%q score=%q\n", r.ID, r.Outcome, r.Versions, r.Text, r.Score)
	}
	fmt.Fprintf(&out, "open=%d satisfied=%v\n", s.run.Open(), s.run.Satisfied())
	return out.String()
}

// Whatever the sequence of events, no sample may end twice or be abandoned without a failure
// before SampleTTL.
func TestRun_SamplesEndOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &batches.Batch{ID: "b", MinVersion: 1, DesiredGroups: 2}
		for i := range rapid.IntRange(1, 12).Draw(t, "samples") {
			b.Samples = append(b.Samples, batches.Sample{ID: strconv.Itoa(i), Group: strconv.Itoa(i / 3), Scoring: &batches.Scoring{}})
		}
		const ttl = 30 * time.Second
		r := New(b, Options{SampleTTL: ttl, MaxFailures: 2, MaxScoreFailures: 2}, nil)
		now, ended, failures := testStart, map[string]bool{}, map[string]int{}
		running := map[int]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if i, ok := r.Next(now, nil); ok && rapid.Bool().Draw(t, "start") {
				r.Started(i, "e")
				running[i] = true
			}
			for i := range running {
				end := AttemptOutcome(rapid.IntRange(int(Complete), int(Crashed)).Draw(t, "end"))
				if end == Failed || end == Invalid {
					failures[r.Sample(i).ID]++
				}
				r.Ended(now, i, end, partial(rapid.IntRange(0, 3).Draw(t, "events"), 1, ""))
				delete(running, i)
				if end == Complete && !r.ScoreFailed(i) {
					failures[r.Sample(i).ID]++
				} else if end == Complete {
					r.Scored(i, "s")
				}
				break
			}
			r.Expire(now.Sub(testStart))
			for _, res := range r.TakeResults() {
				if ended[res.ID] {
					t.Fatalf("sample %s ended twice", res.ID)
				}
				ended[res.ID] = true
				if res.Outcome == batches.Abandoned && failures[res.ID] == 0 && now.Sub(testStart) < ttl {
					t.Fatalf("sample %s was abandoned without a failure before SampleTTL", res.ID)
				}
			}
		}
		if r.Open() != len(b.Samples)-len(ended) {
			t.Fatalf("%d samples open, but %d of %d have ended", r.Open(), len(ended), len(b.Samples))
		}
	})
}

// BenchmarkNext measures Next with 600 waiting samples.
func BenchmarkNext(b *testing.B) {
	batch := &batches.Batch{ID: "b", DesiredGroups: 130}
	for i := range 600 {
		batch.Samples = append(batch.Samples, batches.Sample{ID: strconv.Itoa(i), Group: strconv.Itoa(i / 4), ExpectedTokens: i * 7919 % 9000})
	}
	r := New(batch, Options{SampleTTL: time.Hour, MaxFailures: 3}, nil)
	for b.Loop() {
		if _, ok := r.Next(testStart, nil); !ok {
			b.Fatal("Next found no sample to start")
		}
	}
}
