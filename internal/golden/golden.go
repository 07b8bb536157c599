// Package golden compares traces of tests with the ones kept in testdata.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the traces to testdata")

// Check compares got with testdata/NAME.txt.
func Check(t *testing.T, got string) {
	t.Helper()
	file := filepath.Join("testdata", t.Name()+".txt")
	if *update {
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
