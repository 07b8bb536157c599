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

// incarnationFile is the name of the file in the subscriber's directory that holds the incarnation of the latest start:
// decimal digits and a line feed.
const incarnationFile = "incarnation"

// NextIncarnation returns the incarnation of this start of the gateway, a number that has to increase with each start,
// and stores it in dir. It is the wall clock in nanoseconds since 1970, or one more than the stored incarnation if that
// is greater. By the wall clock alone, a gateway that restarts after its clock was set back would have a lower
// incarnation than before, and a publisher that still holds the previous connection would reject the new one. If the
// stored incarnation can't be read or the new one can't be stored, NextIncarnation returns an error together with an
// incarnation that the gateway can use. A nil clk means clock.System.
func NextIncarnation(dir string, clk clock.Clock) (uint64, error) {
	if clk == nil {
		clk = clock.System{}
	}
	incarnation := uint64(max(clk.Wall().UnixNano(), 1))
	path := filepath.Join(dir, incarnationFile)
	stored, err := readIncarnation(path)
	if err != nil {
		return incarnation, err
	}
	incarnation = max(incarnation, stored+1)
	err = os.MkdirAll(dir, 0o700)
	if err != nil {
		return incarnation, err
	}
	return incarnation, replaceFileDurably(osFileSystem{}, path, []byte(strconv.FormatUint(incarnation, 10)+"\n"))
}

// readIncarnation returns the incarnation stored in a file, or 0 if there is no file or its content is not a number.
func readIncarnation(path string) (uint64, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read the stored incarnation: %w", err)
	}
	incarnation, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0, nil
	}
	return incarnation, nil
}
