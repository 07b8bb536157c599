package subscriber

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"ravensill/internal/clock"
)

// incarnationFile is the file with the number of the latest start in the subscriber's directory: decimal digits and a
// line feed.
const incarnationFile = "incarnation"

// NextIncarnation returns the incarnation of this start of the gateway: the wall clock in nanoseconds since 1970, or
// one above the incarnation stored in the directory if that is later. By the wall clock alone, a gateway that
// restarts after its clock was set back would have a lower incarnation than before, and a publisher that still has
// its previous connection would reject it. An error reports that the incarnation could not be read or stored; the one
// returned is usable nevertheless. A nil clock is clock.System.
func NextIncarnation(dir string, source clock.Clock) (uint64, error) {
	if source == nil {
		source = clock.System{}
	}
	number := uint64(max(source.Wall().UnixNano(), 1))
	path := filepath.Join(dir, incarnationFile)
	stored, err := readIncarnation(path)
	if err != nil {
		return number, err
	}
	number = max(number, stored+1)
	err = os.MkdirAll(dir, 0o700)
	if err != nil {
		return number, err
	}
	return number, replaceFile(diskFiles{}, path, []byte(strconv.FormatUint(number, 10)+"\n"))
}

// readIncarnation returns the incarnation of the latest start, or 0 if there is none or the file is damaged.
func readIncarnation(path string) (uint64, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("number of the last start: %w", err)
	}
	number, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, nil
	}
	return number, nil
}
