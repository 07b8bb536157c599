// Package golden compares the output of tests with the files of expected output in testdata.
package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// updateEnv is the name of the environment variable that makes Check write the files if it is 1.
const updateEnv = "UPDATE"

// Check fails the test if got differs from the content of testdata/NAME.txt, where NAME is the name of the test. With
// UPDATE=1 in the environment, it writes got to the file first.
func Check(t *testing.T, got string) {
	t.Helper()
	file := filepath.Join("testdata", t.Name()+".txt")
	if os.Getenv(updateEnv) == "1" {
		if err := writeFile(file, got); err != nil {
			t.Fatalf("update golden file: %v", err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatalf("read golden file (%s=1 writes it): %v", updateEnv, err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("output differs from %s (-want +got):\n%s", file, diff)
	}
}

// writeFile writes a file. It creates the file's directory, because the name of a subtest contains a slash.
func writeFile(file, content string) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return err
	}
	return os.WriteFile(file, []byte(content), 0o644)
}
