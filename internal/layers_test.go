package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const modulePath = "oleanderfall.example/oleanderfall/"

// layers are ordered: each may import only itself and those after it.
var layers = []string{"transport", "protocol", "coordination", "state"}

// impure lists what decisions may not import.
var impure = []string{"net", "net/http", "os", "math/rand", "log/slog", "io/fs", "os/exec"}

func rank(path string) int {
	for i, l := range layers {
		if strings.HasPrefix(path, "internal/"+l+"/") || path == "internal/"+l {
			return i
		}
	}
	return -1
}

func TestImportsFollowTheLayers(t *testing.T) {
	checked := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		from := rank("internal/" + filepath.ToSlash(filepath.Dir(path)))
		if from < 0 {
			return nil
		}
		checked++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, imp := range file.Imports {
			target, _ := strconv.Unquote(imp.Path.Value)
			checkImport(t, path, from, target)
		}
		return nil
	})
	if err != nil || checked == 0 {
		t.Fatalf("checked %d files: %v", checked, err)
	}
}

func checkImport(t *testing.T, path string, from int, target string) {
	t.Helper()
	if own, ok := strings.CutPrefix(target, modulePath); ok {
		if to := rank(own); to < from {
			t.Errorf("%s (layer %s) imports %s", path, layers[from], own)
		}
		return
	}
	if layers[from] != "coordination" {
		return
	}
	for _, bad := range impure {
		if target == bad {
			t.Errorf("%s is a decision and imports %s", path, target)
		}
	}
}
