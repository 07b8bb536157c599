package figures

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestAppendKeepsEarlierFigures(t *testing.T) {
	path := filepath.Join(t.TempDir(), "measurements", "a.txt")
	err := errors.Join(Append(path, "first\n"), Append(path, "second\n"))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil || string(text) != "first\nsecond\n" {
		t.Errorf("the file holds %q, error %v", text, err)
	}
	if Append(filepath.Dir(path), "third\n") == nil {
		t.Error("appending to a directory succeeded")
	}
}
