package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"ravensill/internal/strictjson"
)

// decodeSection decodes a section of the file, one JSON object, into a struct. Unknown keys are an error.
func decodeSection(raw string, target any) error { return strictjson.Decode(raw, target) }

func milliseconds(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// boundedInteger is the value of a key and the bounds that it may have, both included.
type boundedInteger struct {
	key     string
	value   int
	minimum int
	maximum int
}

// checkIntegers returns an error for the first number that is out of its bounds, or nil.
func checkIntegers(numbers ...boundedInteger) error {
	for _, n := range numbers {
		if n.value < n.minimum || n.value > n.maximum {
			return keyErrorf(n.key, "%d is not from %d to %d", n.value, n.minimum, n.maximum)
		}
	}
	return nil
}

// parseAddress parses the value of a key as an IP address and port. An empty text is an error.
func parseAddress(key, text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, keyError(key, errMissing)
	}
	address, err := netip.ParseAddrPort(text)
	return address, keyError(key, err)
}

// parseAddresses parses the list of IP addresses and ports at a key. An error names the element at fault.
func parseAddresses(key string, texts []string) (addresses []netip.AddrPort, err error) {
	for i, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, keyError(elementPath(key, i), err)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// minSecretBytes is the minimum length of a secret that signs messages.
const minSecretBytes = 16

// parseSecret parses the value of a key as a secret in hexadecimal digits.
func parseSecret(key, text string) ([]byte, error) {
	secret, err := hex.DecodeString(text)
	if err != nil || len(secret) < minSecretBytes {
		return nil, keyError(key, errInvalidSecret)
	}
	return secret, nil
}

// checkNumber returns an error unless minimum <= value <= maximum. excludeMinimum means that the value has to be above
// the minimum.
func checkNumber(key string, value, minimum, maximum float64, excludeMinimum bool) error {
	inBounds := value >= minimum && value <= maximum
	if excludeMinimum {
		inBounds = value > minimum && value <= maximum
	}
	if inBounds {
		return nil
	}
	if excludeMinimum {
		return keyError(key, fmt.Errorf("%g is not above %g and up to %g", value, minimum, maximum))
	}
	return keyError(key, fmt.Errorf("%g is not from %g to %g", value, minimum, maximum))
}
