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
	identityBytes = 8 // of chance
)

// identity reads the replica's id, or makes one: its index, a dash and hex digits drawn by chance.
func identity(dir string, index int) (raft.ServerID, error) {
	file := filepath.Join(dir, identityFile)
	text, err := os.ReadFile(file)
	if err == nil {
		if IndexOf(raft.ServerID(text)) != index {
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
	return raft.ServerID(id), renameio.WriteFile(file, []byte(id), 0o600) // synced: an empty file after a power failure is no id
}

// IndexOf gives the index of the replica that an id belongs to, -1 where it is no id.
func IndexOf(id raft.ServerID) int {
	text, _, found := strings.Cut(string(id), "-")
	index, err := strconv.Atoi(text)
	if err != nil || !found {
		return -1
	}
	return index
}
