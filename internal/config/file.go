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

// file reads the configuration file and the environment variables that override its keys. It keeps the first error, in
// err; values read after that are meaningless.
type file struct {
	*objectReader
	getenv func(string) string
}

// openFile reads the file named by the environment variable GW_CONFIG.
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

// readText reads a file into a string without making a second copy of it: a large configuration may take as much memory
// as the rest of the gateway.
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

// textOr returns the value of an environment variable or, if that is not set, the string of a key or, if that is
// missing or empty, the default. variable is empty for a key that no environment variable overrides.
func (f *file) textOr(key, variable, defaultText string) string {
	if variable != "" && f.getenv(variable) != "" {
		return f.getenv(variable)
	}
	if text := f.text(key); text != "" {
		return text
	}
	return defaultText
}

// numberOr returns the number of a key, or the default if the key is missing or zero. A number below minimum is an
// error.
func (f *file) numberOr(key string, minimum, defaultNumber float64) float64 {
	number := f.number(key)
	if number == 0 {
		return defaultNumber
	}
	if number < minimum {
		f.fail(key, fmt.Errorf("%v is below %v", number, minimum))
	}
	return number
}

// address parses text, the value of a key, as an IP address and port. An empty text is an error.
func (f *file) address(key, text string) netip.AddrPort {
	address, err := parseAddress(key, text)
	if f.err == nil {
		f.err = err
	}
	return address
}

// section returns the JSON text of an optional section, empty if the file has none.
func (f *file) section(key string) string { return f.object.Get(key).Raw }

var startupKeysSeed = maphash.MakeSeed()

// hashStartupKeys hashes all keys of the file except discovery, known and seed.
func hashStartupKeys(document gjson.Result) uint64 {
	var hash maphash.Hash
	hash.SetSeed(startupKeysSeed)
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
