package consensus

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/google/renameio/v2"
	"github.com/hashicorp/raft"
)

const (
	identityFile  = "id"
	identityBytes = 8 // number of random bytes in an id
)

// loadOrCreateID returns the id that is stored in a replica's directory. If there is none, it creates and stores one:
// the replica's index, a dash, and random hexadecimal digits. It fails if the directory has the id of another replica.
func loadOrCreateID(dir string, index int) (raft.ServerID, error) {
	file := filepath.Join(dir, identityFile)
	text, err := os.ReadFile(file)
	if err == nil {
		if ReplicaIndex(raft.ServerID(text)) != index {
			return "", fmt.Errorf("%s holds the id of another replica", file)
		}
		return raft.ServerID(text), nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	random := make([]byte, identityBytes)
	rand.Read(random)
	id := strconv.Itoa(index) + "-" + hex.EncodeToString(random)
	err = renameio.WriteFile(file, []byte(id), 0o600) // syncs the file, so that it is complete after a power failure
	return raft.ServerID(id), err
}

// ReplicaIndex returns the index in Config.Addresses that an id contains, or -1 if the id is malformed. The index may
// be out of range.
func ReplicaIndex(id raft.ServerID) int {
	text, _, found := strings.Cut(string(id), "-")
	index, err := strconv.Atoi(text)
	if err != nil || !found {
		return -1
	}
	return index
}
