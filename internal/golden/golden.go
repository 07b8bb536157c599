// Package golden compares traces of tests with the ones kept in testdata.
package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Check compares got with testdata/NAME.txt; with UPDATE=1 in the environment it writes that file anew.
func Check(t *testing.T, got string) {
	t.Helper()
	file := filepath.Join("testdata", t.Name()+".txt")
	if os.Getenv("UPDATE") == "1" {
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), got); d != "" {
		t.Errorf("trace differs from %s (-kept +now):\n%s", file, d)
	}
}
