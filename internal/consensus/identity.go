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
	identityBytes = 8 // random bytes of an id
)

// identity returns the replica's id from its directory, or creates one: the index, a dash and random hex digits.
func identity(dir string, index int) (raft.ServerID, error) {
	file := filepath.Join(dir, identityFile)
	text, err := os.ReadFile(file)
	if err == nil {
		if ReplicaIndex(raft.ServerID(text)) != index {
			return "", fmt.Errorf("%s: of another replica", file)
		}
		return raft.ServerID(text), nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return "", err
	}
	random := make([]byte, identityBytes)
	rand.Read(random)
	id := strconv.Itoa(index) + "-" + hex.EncodeToString(random)
	err = renameio.WriteFile(file, []byte(id), 0o600) // syncs the file, which must not be empty after a power failure
	return raft.ServerID(id), err
}

// ReplicaIndex returns the index of the replica with an id, or -1 if the id is not valid.
func ReplicaIndex(id raft.ServerID) int {
	text, _, found := strings.Cut(string(id), "-")
	index, err := strconv.Atoi(text)
	if err != nil || !found {
		return -1
	}
	return index
}
