package main

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// write creates a file in a folder.
func write(t *testing.T, folder, name, content string) string {
	t.Helper()
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Only days that both builds played with the same seed may be compared: the luck of a day
// changes its worth by more than most policies.
func TestDifferences_SameDayAndSeedOnly(t *testing.T) {
	with := map[day]play{{"s", "d1", 1}: {worth: 0.8}, {"s", "d1", 2}: {worth: 0.7, broken: true}, {"s", "d2", 1}: {worth: 0.1}}
	without := map[day]play{{"s", "d1", 1}: {worth: 0.6}, {"s", "d1", 2}: {worth: 0.6}, {"s", "d2", 2}: {worth: 0.9}, {"t", "d1", 1}: {worth: 0.5}}
	got := differences(with, without)
	if len(got) != 1 || got[0].pairs != 2 || got[0].broken != 1 || math.Abs(got[0].mean-0.15) > 1e-9 || math.Abs(got[0].stdErr-0.05) > 1e-9 {
		t.Fatalf("differences %+v, want a mean of 0.15 ± 0.05 over the two days that both played", got)
	}
}

// One pair says nothing about the luck of the days, so its standard error must not be zero.
func TestMeanAndError_OnePair(t *testing.T) {
	if _, stdErr := meanAndError([]float64{0.1}); !math.IsInf(stdErr, 1) {
		t.Errorf("standard error %v of one pair, want infinite", stdErr)
	}
}

// The whole command on a small journal: entries without a build are passed over, and a site that
// one build did not play is said to be so.
func TestRun_TableAndChart(t *testing.T) {
	folder := t.TempDir()
	write(t, folder, "1.json", `{"why":"paired a","site":"s","days":[{"name":"d","seed":1,"G":0.9},{"name":"d","seed":2,"G":0.8}]}`)
	write(t, folder, "2.json", `{"why":"paired b","site":"s","days":[{"name":"d","seed":1,"G":0.8},{"name":"d","seed":2,"G":0.8}]}`)
	write(t, folder, "3.json", `{"why":"score","site":"s","days":[{"name":"d","seed":1,"G":0.1}]}`)
	write(t, folder, "5.json", `{"why":"paired a","site":"s","days":[{"seed":1,"error":"stopped"}]}`)
	write(t, folder, "4.json", `{"why":"paired a","site":"t","days":[{"name":"d","seed":1,"G":0.1}]}`)
	plan := write(t, folder, "plan.ini", "[policy]\nanswers = a burst\nwith = a\nwithout = b\nverdict = kept\n[other]\nwith = a\nwithout = c\n")
	out, err := os.Create(filepath.Join(folder, "out"))
	if err != nil {
		t.Fatal(err)
	}
	chart := filepath.Join(folder, "chart.png")
	if err := run(cli{Plan: plan, Journal: folder, Chart: chart}, out); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(out.Name())
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| policy | a burst | +0.050 ± 0.050 (2) | kept |", "| other |  | not played | open |"} {
		if !strings.Contains(string(got), want) {
			t.Errorf("table lacks %q:\n%s", want, got)
		}
	}
	if info, err := os.Stat(chart); err != nil || info.Size() == 0 {
		t.Errorf("no chart was drawn: %v", err)
	}
}

// A comparison without builds would silently compare nothing.
func TestReadPlan_MissingBuild(t *testing.T) {
	plan := write(t, t.TempDir(), "plan.ini", "[policy]\nwith = a\n")
	if _, err := readPlan(plan); err == nil || !strings.Contains(err.Error(), `"policy"`) {
		t.Errorf("error %v, want one that names the section", err)
	}
}
