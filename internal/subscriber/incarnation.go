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

// incarnationFile is the file of the number of the last start in the subscriber's folder: decimal digits and a line feed.
const incarnationFile = "incarnation"

// NextIncarnation numbers this start of the gateway: above the number of every earlier start that the folder knows of, and
// otherwise by the wall clock, in nanoseconds since 1970. The wall clock alone would give a gateway that restarts after its clock
// was set back a lower number than before, and a publisher that still holds its former connection would turn it away. The number
// holds also if it could not be stored; the error then tells why. A nil clock is clock.System.
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

// readIncarnation reads the number of the last start, 0 where there is none. One that can't be made out counts as none.
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
