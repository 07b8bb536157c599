// Package golden compares the output of tests with files kept in testdata.
package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// updateVariable is the environment variable that, set to 1, makes Check write the files.
const updateVariable = "UPDATE"

// Check compares got with testdata/NAME.txt, where NAME is the test's name. With UPDATE=1 in the environment it writes
// the file first.
func Check(t *testing.T, got string) {
	t.Helper()
	file := filepath.Join("testdata", t.Name()+".txt")
	if os.Getenv(updateVariable) == "1" {
		if err := write(file, got); err != nil {
			t.Fatalf("update golden file: %v", err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("read golden file (%s=1 writes it): %v", updateVariable, err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("output differs from %s (-want +got):\n%s", file, diff)
	}
}

// write writes a file and creates its directory, which names of subtests may add.
func write(file, content string) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return err
	}
	return os.WriteFile(file, []byte(content), 0o644)
}
