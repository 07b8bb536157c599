package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"ravensill/internal/strictjson"
)

// decodeSection reads an optional section, one JSON object, into a struct.
func decodeSection(raw string, into any) error { return strictjson.Decode(raw, into) }

func milliseconds(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// integer is a value of a section with its bounds.
type integer struct {
	key   string
	value int
	least int
	most  int
}

// checkIntegers returns an error for the first number that is out of its bounds.
func checkIntegers(numbers ...integer) error {
	for _, n := range numbers {
		if n.value < n.least || n.value > n.most {
			return keyErrorf(n.key, "%d is not from %d to %d", n.value, n.least, n.most)
		}
	}
	return nil
}

// parseAddress parses an address, which must not be missing.
func parseAddress(key, text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, keyError(key, errMissing)
	}
	address, err := netip.ParseAddrPort(text)
	return address, keyError(key, err)
}

// parseAddresses parses a list of addresses.
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

// minSecretBytes is the least length of a key that signs messages.
const minSecretBytes = 16

// parseSecret parses a key that signs messages.
func parseSecret(key, text string) ([]byte, error) {
	secret, err := hex.DecodeString(text)
	if err != nil || len(secret) < minSecretBytes {
		return nil, keyError(key, errWeakKey)
	}
	return secret, nil
}

// checkFraction returns an error unless a number lies within bounds. least is out of bounds if open is set.
func checkFraction(key string, value, least, most float64, open bool) error {
	within := value >= least && value <= most
	if open {
		within = value > least && value <= most
	}
	if within {
		return nil
	}
	if open {
		return keyError(key, fmt.Errorf("%g is not above %g and up to %g", value, least, most))
	}
	return keyError(key, fmt.Errorf("%g is not from %g to %g", value, least, most))
}
