package config

import (
	"net/netip"
	"os"
	"slices"
	"time"

	"ravensill/configsync"
)

// Publisher is the configuration of one replica of the publishers (docs/configuration-sync.md).
type Publisher struct {
	Index          int              // index of this replica in RaftAddresses and AdminAddresses
	Listen         netip.AddrPort   // TCP, for followers
	RaftListen     netip.AddrPort   // TCP, for the other replicas
	RaftAddresses  []netip.AddrPort // RaftListen of all replicas, as this replica reaches them
	AdminListen    netip.AddrPort   // HTTP without authentication: only operators should reach this network
	AdminAddresses []netip.AddrPort // AdminListen of all replicas, as this replica reaches them

	Dir             string        // where the replica stores its state
	Key             []byte        // secret shared by the replicas
	ElectionTimeout time.Duration // time without contact to the leader after which the replicas elect another
	MaxFollowers    int           // largest number of connections of followers at the same time
	HistoryLimits   configsync.HistoryLimits
	SenderLimits    configsync.SenderLimits

	SnapshotThreshold uint64 // entries of the replicated log between two snapshots; 0: the default
	TrailingEntries   uint64 // entries of the log that are kept after a snapshot; 0: the default
}

// publisherFile is the JSON object in a publisher's file, before it is checked and converted.
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

// LoadPublisher reads the file named by the environment variable PUBLISHER_CONFIG. An error names the key at fault.
func LoadPublisher(getenv func(string) string) (*Publisher, error) {
	file := getenv("PUBLISHER_CONFIG")
	if file == "" {
		return nil, keyErrorf("PUBLISHER_CONFIG", "not set; it names the configuration file")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, keyError("PUBLISHER_CONFIG", err)
	}
	return decodePublisher(string(text))
}

func decodePublisher(raw string) (*Publisher, error) {
	file := publisherFile{
		ElectionMS:    1000,
		MaxFollowers:  8192,
		HistoryDeltas: configsync.DefaultHistoryDeltas,
		HistoryBytes:  configsync.DefaultHistoryBytes,
		SnapshotRate:  configsync.DefaultSnapshotRate,
		SnapshotBurst: configsync.DefaultSnapshotBurst,
	}
	err := decodeSection(raw, &file)
	if err != nil {
		return nil, err
	}
	err = file.check()
	if err != nil {
		return nil, err
	}
	p := &Publisher{
		Index:           file.Index,
		Dir:             file.Dir,
		ElectionTimeout: milliseconds(file.ElectionMS),
		MaxFollowers:    file.MaxFollowers,
		HistoryLimits:   configsync.HistoryLimits{Deltas: file.HistoryDeltas, Bytes: file.HistoryBytes},
		SenderLimits: configsync.SenderLimits{
			SnapshotRate:    file.SnapshotRate,
			SnapshotBurst:   file.SnapshotBurst,
			VersionInterval: configsync.DefaultVersionInterval,
		},
	}
	p.Key, err = parseSecret("key", file.Key)
	if err != nil {
		return nil, err
	}
	return p, p.readAddresses(&file)
}

// check returns an error for lists of a wrong length, a missing directory and numbers out of their bounds.
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
		boundedInteger{"index", f.Index, 0, count - 1},
		boundedInteger{"election_ms", f.ElectionMS, 100, 30_000},
		boundedInteger{"max_followers", f.MaxFollowers, 1, 1 << 16},
		boundedInteger{"history_deltas", f.HistoryDeltas, 1, 1 << 16},
		boundedInteger{"history_bytes", f.HistoryBytes, 1 << 10, 64 << 20},
		boundedInteger{"snapshot_bytes_per_s", f.SnapshotRate, 1 << 10, 1 << 30},
		boundedInteger{"snapshot_burst_bytes", f.SnapshotBurst, 1 << 10, 1 << 30},
	)
}

func (p *Publisher) readAddresses(file *publisherFile) (err error) {
	p.RaftAddresses, err = parseAddresses("raft", file.Raft)
	if err != nil {
		return err
	}
	p.AdminAddresses, err = parseAddresses("admin", file.Admin)
	if err != nil {
		return err
	}
	for _, field := range []struct {
		key     string
		text    string
		address *netip.AddrPort
	}{
		{"listen", file.Listen, &p.Listen},
		{"raft_listen", file.RaftListen, &p.RaftListen},
		{"admin_listen", file.AdminListen, &p.AdminListen},
	} {
		*field.address, err = netip.ParseAddrPort(field.text)
		if err != nil {
			return keyError(field.key, err)
		}
	}
	return nil
}
