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

// TestBrokenFoldersAreRefusedWithEveryProblem runs "check" on folders written as
// "--- NAME" before each file; "base" sets the files that all folders begin with.
func TestBrokenFoldersAreRefusedWithEveryProblem(t *testing.T) {
	datadriven.RunTest(t, "testdata/folders", func(t *testing.T, d *datadriven.TestData) string {
		_, err := ParseConfig(append([]File{{Name: "00.ini", Data: []byte(small)}}, filesOf(d.Input)...))
		if err != nil {
			return err.Error()
		}
		return "ok"
	})
}

func filesOf(text string) []File {
	var out []File
	for _, part := range strings.Split("\n"+text, "\n--- ")[1:] {
		name, data, _ := strings.Cut(part, "\n")
		out = append(out, File{Name: name, Data: []byte(data)})
	}
	return out
}

func TestAConfigurationReadBackFromItsINIFormIsTheSame(t *testing.T) {
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

func TestAChangeIsCheckedLikeAFolder(t *testing.T) {
	c, err := ParseConfig([]File{{Name: "a.ini", Data: []byte(small)}})
	if err != nil || len(CheckConfig(c)) > 0 {
		t.Fatalf("a good configuration: %v %v", err, CheckConfig(c))
	}
	break1 := func(change func(*model.Config), want string) {
		t.Helper()
		broken, _ := ParseConfig([]File{{Name: "a.ini", Data: []byte(small)}})
		change(broken)
		if ps := CheckConfig(broken); len(ps) != 1 || !strings.Contains(ps.Error(), want) {
			t.Errorf("want %q, got %v", want, ps)
		}
	}
	endpoint := func(change func(*model.Endpoint)) func(*model.Config) {
		return func(c *model.Config) {
			e := c.Endpoints["reg-1"]
			change(&e)
			c.Endpoints["reg-1"] = e
		}
	}
	break1(endpoint(func(e *model.Endpoint) { e.Zone = "nil" }), "no section [zone.nil]")
	break1(endpoint(func(e *model.Endpoint) { e.Address = "nowhere" }), "not host:port")
	break1(endpoint(func(e *model.Endpoint) { e.Address = "" }), "required")
	break1(func(c *model.Config) { c.System.ClaimShards = 0 }, "allowed 1 to 64")
	break1(func(c *model.Config) { c.Zones["a b"] = model.Zone{Region: "r"} }, "a name has letters")
	break1(func(c *model.Config) { c.Callers = map[model.CallerID]model.Caller{"c": {Priority: 7}} }, "no class of work")
}

func TestAConfigurationTooLargeToHandRoundIsRefused(t *testing.T) {
	large := []byte(`{"zones":{"` + strings.Repeat("a", MaxConfigBytes) + `":{}}}`)
	if _, err := DecodeNewConfig(large); err == nil || !strings.Contains(err.Error(), "at most") {
		t.Fatalf("large change: %v", err)
	}
	packed, err := Pack(make([]byte, MaxConfigBytes+1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Unpack(packed, Digest(make([]byte, MaxConfigBytes+1))); err == nil {
		t.Fatal("a content over the limit was unpacked")
	}
}

func TestTheReferencePageIsThatOfTheTable(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/settings.md")
	if err != nil || string(page) != Reference() {
		t.Fatalf("docs/operators/settings.md differs from oleanderctl settings-reference (%v)", err)
	}
}
