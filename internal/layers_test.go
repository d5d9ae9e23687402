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

// layers are ordered from top to bottom. A layer may import only itself and the layers
// after it.
var layers = []string{"transport", "protocol", "coordination", "state"}

// coordinationForbidden lists packages that coordination may not import: its decisions do no
// I/O, write no logs and use no global random source.
var coordinationForbidden = []string{"net", "net/http", "os", "math/rand", "log/slog", "io/fs", "os/exec"}

// layerIndex returns the position in layers of the package at path (relative to the module
// root), or -1 if the package belongs to no layer.
func layerIndex(path string) int {
	for i, l := range layers {
		if strings.HasPrefix(path, "internal/"+l+"/") || path == "internal/"+l {
			return i
		}
	}
	return -1
}

// Guards against a package that imports from a layer above its own or, in coordination, from
// the standard library's I/O, logging and random packages.
func TestLayerImports(t *testing.T) {
	checked := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		from := layerIndex("internal/" + filepath.ToSlash(filepath.Dir(path)))
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
	if localPath, ok := strings.CutPrefix(target, modulePath); ok {
		if to := layerIndex(localPath); to < from {
			t.Errorf("%s (layer %s) imports %s, which is outside this layer and those below", path, layers[from], localPath)
		}
		return
	}
	if layers[from] != "coordination" {
		return
	}
	for _, forbidden := range coordinationForbidden {
		if target == forbidden {
			t.Errorf("%s (layer coordination) imports %s, which is forbidden there", path, target)
		}
	}
}
