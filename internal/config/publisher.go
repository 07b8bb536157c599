package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"ravensill/configsync"
)

// Publisher is the configuration of one replica of the publishers (docs/configuration-sync.md).
type Publisher struct {
	Index           int            // this replica's among Raft
	Listen          netip.AddrPort // TCP, for followers
	RaftListen      netip.AddrPort // TCP, for the other replicas
	Raft            []netip.AddrPort
	AdminListen     netip.AddrPort // HTTP, for operators; it asks for no password, so it belongs on a network of theirs
	Admin           []netip.AddrPort
	Dir             string
	Key             []byte        // shared by the replicas
	ElectionTimeout time.Duration // without contact to the leader before another is elected
	MaxFollowers    int           // connections of followers at once
	History         configsync.HistoryLimits
	Sending         configsync.SenderLimits

	SnapshotThreshold uint64 // entries of the replicated log between its snapshots; 0: the default
	TrailingEntries   uint64 // entries kept behind a snapshot; 0: the default
}

// publisherFile is the file as it is written.
type publisherFile struct {
	Index         int      `json:"index"`
	Listen        string   `json:"listen"`
	RaftListen    string   `json:"raft_listen"`
	Raft          []string `json:"raft"`
	AdminListen   string   `json:"admin_listen"`
	Admin         []string `json:"admin"`
	Dir           string   `json:"dir"`
	Key           string   `json:"key"`
	ElectionMS    int      `json:"election_ms"`
	MaxFollowers  int      `json:"max_followers"`
	HistoryDeltas int      `json:"history_deltas"`
	HistoryBytes  int      `json:"history_bytes"`
	SnapshotRate  int      `json:"snapshot_bytes_per_s"`
	SnapshotBurst int      `json:"snapshot_burst_bytes"`
}

// LoadPublisher reads the file that PUBLISHER_CONFIG names. The error names the key at fault.
func LoadPublisher(getenv func(string) string) (*Publisher, error) {
	file := getenv("PUBLISHER_CONFIG")
	if file == "" {
		return nil, errors.New("PUBLISHER_CONFIG: not set; it names the configuration file")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("PUBLISHER_CONFIG: %w", err)
	}
	return decodePublisher(string(text))
}

func decodePublisher(raw string) (*Publisher, error) {
	text := publisherFile{
		ElectionMS:    1000,
		MaxFollowers:  8192,
		HistoryDeltas: configsync.DefaultHistoryDeltas,
		HistoryBytes:  configsync.DefaultHistoryBytes,
		SnapshotRate:  configsync.DefaultSnapshotRate,
		SnapshotBurst: configsync.DefaultSnapshotBurst,
	}
	err := decodeSection(raw, &text)
	if err != nil {
		return nil, err
	}
	err = text.check()
	if err != nil {
		return nil, err
	}
	p := &Publisher{
		Index:           text.Index,
		Dir:             text.Dir,
		ElectionTimeout: milliseconds(text.ElectionMS),
		MaxFollowers:    text.MaxFollowers,
		History:         configsync.HistoryLimits{Deltas: text.HistoryDeltas, Bytes: text.HistoryBytes},
		Sending: configsync.SenderLimits{
			SnapshotRate:    text.SnapshotRate,
			SnapshotBurst:   text.SnapshotBurst,
			VersionInterval: configsync.DefaultVersionInterval,
		},
	}
	p.Key, err = parseSecret("key", text.Key)
	if err != nil {
		return nil, err
	}
	return p, p.readAddresses(&text)
}

// check returns an error for counts and numbers that are out of their bounds.
func (f *publisherFile) check() error {
	count := len(f.Raft)
	if !slices.Contains([]int{1, 3, 5}, count) {
		return keyErrorf("raft", "%d addresses; 1, 3 or 5 wanted", count)
	}
	if len(f.Admin) != count {
		return keyErrorf("admin", "%d addresses for %d replicas", len(f.Admin), count)
	}
	if f.Dir == "" {
		return keyError("dir", errMissing)
	}
	return checkIntegers(
		integer{"index", f.Index, 0, count - 1},
		integer{"election_ms", f.ElectionMS, 100, 30_000},
		integer{"max_followers", f.MaxFollowers, 1, 1 << 16},
		integer{"history_deltas", f.HistoryDeltas, 1, 1 << 16},
		integer{"history_bytes", f.HistoryBytes, 1 << 10, 64 << 20},
		integer{"snapshot_bytes_per_s", f.SnapshotRate, 1 << 10, 1 << 30},
		integer{"snapshot_burst_bytes", f.SnapshotBurst, 1 << 10, 1 << 30},
	)
}

func (p *Publisher) readAddresses(text *publisherFile) (err error) {
	p.Raft, err = parseAddresses("raft", text.Raft)
	if err != nil {
		return err
	}
	p.Admin, err = parseAddresses("admin", text.Admin)
	if err != nil {
		return err
	}
	for _, address := range []struct {
		key  string
		text string
		into *netip.AddrPort
	}{
		{"listen", text.Listen, &p.Listen},
		{"raft_listen", text.RaftListen, &p.RaftListen},
		{"admin_listen", text.AdminListen, &p.AdminListen},
	} {
		*address.into, err = netip.ParseAddrPort(address.text)
		if err != nil {
			return keyError(address.key, err)
		}
	}
	return nil
}
