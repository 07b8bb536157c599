package rollout

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
	"ravensill/lab/relay"
)

const (
	publisherNetwork = 130 // identifies the publishers' addresses within 127.0.0.0/8
	maxGroupSize     = 8   // publishers
	groupKeyBytes    = 16
	stateDir         = "state" // directory of a publisher's log, within its working directory
)

var publisherProgram = fleet.NewProgram("ravensill/cmd/ravensill-publisher")

// publisherAddresses holds the listen addresses of one publisher. They stay the same over its restarts.
type publisherAddresses struct {
	followers netip.AddrPort
	raft      netip.AddrPort
	admin     netip.AddrPort
}

// PublisherGroup is a raft cluster of publisher processes.
type PublisherGroup struct {
	processes []*fleet.Process
	addresses []publisherAddresses
	dir       string // holds the publishers' working directories and the copies of their logs

	slowMu        sync.Mutex
	slowResponses []string // descriptions of slow responses
}

// publisherName returns the name of publisher i, by which the relay's rules also identify it.
func publisherName(i int) string { return fmt.Sprintf("p%d", i) }

// publisherNames returns the names of all publishers of a group.
func publisherNames(count int) (names []string) {
	for i := range count {
		names = append(names, publisherName(i))
	}
	return names
}

// PublisherGroupOptions describes a group of publishers.
type PublisherGroupOptions struct {
	Count             int
	Dir               string       // holds the publishers' working directories and the copies of their logs
	Relay             *relay.Relay // carries the raft messages between publishers; nil connects them directly
	ElectionTimeoutMS int          // time without contact to the leader after which an election starts
	Settings          PublisherSettings
}

// PublisherSettings holds keys of a publisher's configuration file that may be omitted. Zero selects the publisher's
// default.
type PublisherSettings struct {
	HistoryDeltas          int   `json:"history_deltas,omitempty"`
	SnapshotBytesPerSecond int64 `json:"snapshot_bytes_per_s,omitempty"`
	SnapshotBurstBytes     int64 `json:"snapshot_burst_bytes,omitempty"`
}

// publisherFile is the configuration file of a publisher.
type publisherFile struct {
	Index             int      `json:"index"`
	Listen            string   `json:"listen"`
	RaftListen        string   `json:"raft_listen"`
	Raft              []string `json:"raft"`
	AdminListen       string   `json:"admin_listen"`
	Admin             []string `json:"admin"`
	Dir               string   `json:"dir"`
	Key               string   `json:"key"`
	ElectionTimeoutMS int      `json:"election_ms"`
	PublisherSettings
}

// SetListen sets the address on which the publisher listens for followers.
func (f *publisherFile) SetListen(addr string) { f.Listen = addr }

// groupCount is the number of groups that this process has started. Each group uses its own range of addresses.
var groupCount atomic.Int64

// NewPublisherGroup builds the publisher program, starts a group and waits until all its publishers serve followers.
func NewPublisherGroup(ctx context.Context, options PublisherGroupOptions) (*PublisherGroup, error) {
	binary, err := publisherProgram.Build()
	if err != nil {
		return nil, err
	}
	p := &PublisherGroup{dir: options.Dir}
	p.addresses, err = freeAddresses(options.Count, int(groupCount.Add(1)))
	if err != nil {
		return nil, err
	}
	for i := range options.Count {
		cfg, err := p.configurationFile(&options, i)
		if err != nil {
			return nil, err
		}
		p.processes = append(p.processes, fleet.NewProcess(fleet.ProcessOptions{
			Name:           publisherName(i),
			Index:          i,
			Binary:         binary,
			ConfigVariable: "PUBLISHER_CONFIG",
			ReadyEvent:     "publisher_started",
			Dir:            filepath.Join(options.Dir, publisherName(i), "work"),
			Config:         cfg,
		}))
	}
	err = p.forEach(func(process *fleet.Process) error { return errors.Join(process.Launch(), process.WaitServing(ctx)) })
	if err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// freeAddresses returns free addresses for the publishers of group number.
func freeAddresses(count, number int) ([]publisherAddresses, error) {
	const addressesPerPublisher = 3
	all := make([]publisherAddresses, count)
	for i := range all {
		first := (number*maxGroupSize + i) * addressesPerPublisher
		for k, destination := range []*netip.AddrPort{&all[i].followers, &all[i].raft, &all[i].admin} {
			address, err := emulator.FreeAddr(publisherNetwork, first+k)
			if err != nil {
				return nil, err
			}
			*destination = address
		}
	}
	return all, nil
}

// configurationFile returns the content of the configuration file of publisher i. If there is a relay, it adds a stream
// to each other publisher and uses the streams' addresses for raft.
func (p *PublisherGroup) configurationFile(options *PublisherGroupOptions, i int) (*publisherFile, error) {
	var raft, admin []string
	for k, addresses := range p.addresses {
		address := addresses.raft.String()
		if k != i && options.Relay != nil {
			stream, err := options.Relay.AddStream(publisherName(i), publisherName(k), address)
			if err != nil {
				return nil, err
			}
			address = stream.Addr()
		}
		raft = append(raft, address)
		admin = append(admin, addresses.admin.String())
	}
	own := p.addresses[i]
	return &publisherFile{
		Index:             i,
		Listen:            own.followers.String(),
		RaftListen:        own.raft.String(),
		Raft:              raft,
		AdminListen:       own.admin.String(),
		Admin:             admin,
		Dir:               stateDir,
		Key:               strings.Repeat("5a", groupKeyBytes),
		ElectionTimeoutMS: options.ElectionTimeoutMS,
		PublisherSettings: options.Settings,
	}, nil
}

// FollowerAddress returns the address at which publisher i serves followers.
func (p *PublisherGroup) FollowerAddress(i int) netip.AddrPort { return p.addresses[i].followers }

// forEach calls fn for all processes concurrently and returns the first error.
func (p *PublisherGroup) forEach(fn func(process *fleet.Process) error) error {
	var all errgroup.Group
	for _, process := range p.processes {
		all.Go(func() error { return fn(process) })
	}
	return all.Wait()
}

// Process returns the process of publisher i, which stays the same over restarts.
func (p *PublisherGroup) Process(i int) *fleet.Process { return p.processes[i] }

// Count returns the number of publishers, including those that are down.
func (p *PublisherGroup) Count() int { return len(p.processes) }

// CopyState copies the log of publisher i and replaces an earlier copy. The publisher must be down: a copy of a log
// that is being written is damaged.
func (p *PublisherGroup) CopyState(i int) error {
	to := p.stateCopyDir(i)
	err := os.RemoveAll(to)
	if err != nil {
		return err
	}
	return os.CopyFS(to, os.DirFS(filepath.Join(p.processes[i].Dir, stateDir)))
}

// RestoreState replaces the log of publisher i by its copy. The publisher must be down.
func (p *PublisherGroup) RestoreState(i int) error {
	dir := filepath.Join(p.processes[i].Dir, stateDir)
	err := os.RemoveAll(dir)
	if err != nil {
		return err
	}
	return os.CopyFS(dir, os.DirFS(p.stateCopyDir(i)))
}

// stateCopyDir returns the directory that holds the copy of publisher i's log.
func (p *PublisherGroup) stateCopyDir(i int) string {
	return filepath.Join(p.dir, "copy-"+publisherName(i))
}

// usage returns the resource usage of each publisher, with zeros for those that are down.
func (p *PublisherGroup) usage() (all []fleet.Usage) {
	for _, process := range p.processes {
		usage, _ := process.Usage()
		all = append(all, usage)
	}
	return all
}

// Close kills all processes.
func (p *PublisherGroup) Close() {
	p.forEach(func(process *fleet.Process) error {
		if process.Running() {
			process.Kill()
		}
		process.Actor.Stop()
		return nil
	})
}

// Crashes describes each publisher that printed a stack trace and each unexpected exit of a publisher.
func (p *PublisherGroup) Crashes() (crashes []string) {
	for _, process := range p.processes {
		if process.EventCounts()[fleet.LineWithoutEvent] > 0 {
			crashes = append(crashes, fmt.Sprintf("%s printed a stack trace", process.Name))
		}
		for range fleet.UnexpectedExits(process.Events()) {
			crashes = append(crashes, process.Name+" exited unexpectedly")
		}
	}
	return crashes
}
