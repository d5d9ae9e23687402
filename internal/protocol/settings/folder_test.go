package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// A folder with errors must be rejected with all its problems, not only the first. Each
// "check" in testdata/folders parses the files given as "--- NAME" and their contents,
// after a valid 00.ini with baseConfig.
func TestParseConfig_ReportsEveryProblem(t *testing.T) {
	datadriven.RunTest(t, "testdata/folders", func(t *testing.T, d *datadriven.TestData) string {
		_, err := ParseConfig(append([]File{{Name: "00.ini", Data: []byte(baseConfig)}}, parseFiles(d.Input)...))
		if err != nil {
			return err.Error()
		}
		return "ok"
	})
}

// parseFiles splits test input into files at lines of the form "--- NAME".
func parseFiles(text string) []File {
	var out []File
	for _, part := range strings.Split("\n"+text, "\n--- ")[1:] {
		name, data, _ := strings.Cut(part, "\n")
		out = append(out, File{Name: name, Data: []byte(data)})
	}
	return out
}

// Parsing the output of FormatINI must give an equal configuration, else a printed
// configuration would change when it is applied again.
func TestFormatINI_RoundTrip(t *testing.T) {
	folders, _ := filepath.Glob("../../../examples/*/config")
	if len(folders) == 0 {
		t.Fatal("no example folder found")
	}
	for _, dir := range folders {
		c, err := LoadConfig(dir)
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseConfig([]File{{Name: "a.ini", Data: FormatINI(c)}})
		if err != nil || !reflect.DeepEqual(c, again) {
			t.Fatalf("%s: %v, differences %v", dir, err, Diff(c, again))
		}
	}
}

// A configuration sent by an operator bypasses the folder parser, so CheckConfig must
// enforce the same rules.
func TestCheckConfig_AppliesFolderRules(t *testing.T) {
	c, err := ParseConfig([]File{{Name: "a.ini", Data: []byte(baseConfig)}})
	if err != nil || len(CheckConfig(c)) > 0 {
		t.Fatalf("valid configuration rejected: %v %v", err, CheckConfig(c))
	}
	expectProblem := func(change func(*model.Config), want string) {
		t.Helper()
		invalid, _ := ParseConfig([]File{{Name: "a.ini", Data: []byte(baseConfig)}})
		change(invalid)
		if ps := CheckConfig(invalid); len(ps) != 1 || !strings.Contains(ps.Error(), want) {
			t.Errorf("want one problem with %q, got %v", want, ps)
		}
	}
	changeEndpoint := func(change func(*model.Endpoint)) func(*model.Config) {
		return func(c *model.Config) {
			e := c.Endpoints["reg-1"]
			change(&e)
			c.Endpoints["reg-1"] = e
		}
	}
	expectProblem(changeEndpoint(func(e *model.Endpoint) { e.Zone = "nil" }), "no section [zone.nil]")
	expectProblem(changeEndpoint(func(e *model.Endpoint) { e.Address = "nowhere" }), "not host:port")
	expectProblem(changeEndpoint(func(e *model.Endpoint) { e.Address = "" }), "required")
	expectProblem(func(c *model.Config) { c.System.ClaimShards = 0 }, "allowed 1 to 64")
	expectProblem(func(c *model.Config) { c.Zones["a b"] = model.Zone{Region: "r"} }, "a name has letters")
	expectProblem(func(c *model.Config) { c.Callers = map[model.CallerID]model.Caller{"c": {Priority: 7}} }, "no class of work")
}

// A configuration over MaxConfigBytes must be rejected both as a change and when
// unpacked: a small compressed form can expand far beyond the limit.
func TestConfigSizeLimit(t *testing.T) {
	large := []byte(`{"zones":{"` + strings.Repeat("a", MaxConfigBytes) + `":{}}}`)
	if _, err := DecodeNewConfig(large); err == nil || !strings.Contains(err.Error(), "at most") {
		t.Fatalf("change over the size limit not rejected: %v", err)
	}
	packed, err := Pack(make([]byte, MaxConfigBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Unpack(packed, Digest(make([]byte, MaxConfigBytes+1))); err == nil {
		t.Fatal("unpacked a canonical form over the size limit")
	}
}

// The settings page is generated from the struct tags; a change of the tags must change the
// page.
func TestReference_MatchesSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/settings.md")
	if err != nil || string(page) != Reference() {
		t.Fatalf("docs/operators/settings.md differs from oleanderctl settings-reference (%v)", err)
	}
}
