package config

import (
	"fmt"
	"hash/maphash"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/tidwall/gjson"
)

// file is the configuration file with the environment variables that override its keys. It keeps the first error.
type file struct {
	*objectReader
	getenv func(string) string
}

// openFile reads the file that GW_CONFIG names.
func openFile(getenv func(string) string) (*file, error) {
	name := getenv("GW_CONFIG")
	if name == "" {
		return nil, keyErrorf("GW_CONFIG", "not set; it names the configuration file")
	}
	text, err := readText(name)
	if err != nil {
		return nil, keyError("GW_CONFIG", err)
	}
	reader, err := newObjectReader("", text)
	if err != nil {
		return nil, keyErrorf("GW_CONFIG", "the file holds no JSON object")
	}
	return &file{objectReader: reader, getenv: getenv}, nil
}

// readText reads a file into one string without a second copy of it: the configuration may take as much memory as the
// rest of the gateway.
func readText(name string) (string, error) {
	file, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer file.Close()
	var text strings.Builder
	info, err := file.Stat()
	if err == nil && info.Mode().IsRegular() {
		text.Grow(int(info.Size()))
	}
	_, err = io.Copy(&text, file)
	return text.String(), err
}

// textOr returns the value of an environment variable or, where that is not set, of a key, or the default. variable is
// empty for a key that no variable overrides.
func (f *file) textOr(key, variable, missing string) string {
	if variable != "" && f.getenv(variable) != "" {
		return f.getenv(variable)
	}
	if text := f.text(key); text != "" {
		return text
	}
	return missing
}

// numberOr returns the number of a key, or the default where it is missing or zero.
func (f *file) numberOr(key string, least, missing float64) float64 {
	number := f.number(key)
	if number == 0 {
		return missing
	}
	if number < least {
		f.fail(key, fmt.Errorf("%v is below %v", number, least))
	}
	return number
}

// address parses the text of a key as an address, which must not be missing.
func (f *file) address(key, text string) netip.AddrPort {
	address, err := parseAddress(key, text)
	if f.err == nil {
		f.err = err
	}
	return address
}

// section returns the text of an optional section, empty where there is none.
func (f *file) section(key string) string { return f.object.Get(key).Raw }

var fixedKeysSeed = maphash.MakeSeed()

// hashFixedKeys hashes the keys that take effect at a start alone.
func hashFixedKeys(document gjson.Result) uint64 {
	var hash maphash.Hash
	hash.SetSeed(fixedKeysSeed)
	document.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "discovery", "known", "seed":
			return true
		}
		hash.WriteString(key.Str)
		hash.WriteByte(' ')
		hash.WriteString(value.Raw)
		hash.WriteByte('\n')
		return true
	})
	return hash.Sum64()
}
