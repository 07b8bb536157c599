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
	publisherNetwork = 130 // of the publishers' addresses, within 127.0.0.0/8
	maxGroupSize     = 8
	groupKeyBytes    = 16
	stateFolder      = "state" // of a publisher's log, in its working folder
)

var publisherProgram = fleet.NewProgram("ravensill/cmd/ravensill-publisher")

// publisherAddresses are the addresses of one publisher, the same in all its incarnations.
type publisherAddresses struct {
	followers netip.AddrPort
	raft      netip.AddrPort
	admin     netip.AddrPort
}

// PublisherGroup is a group of publisher processes.
type PublisherGroup struct {
	processes []*fleet.Process
	addresses []publisherAddresses
	dir       string // holds a folder for each publisher, and copies of them

	slowMu      sync.Mutex
	slowAnswers []string // answers that took long
}

// publisherName returns the name of a publisher, which the relay's rules use too.
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
	Dir               string       // holds a folder for each publisher, and copies of them
	Relay             *relay.Relay // carries the publishers' messages to each other; nil: they go straight
	ElectionTimeoutMS int          // without contact to the leading publisher before another is elected
	Settings          PublisherSettings
}

// PublisherSettings are keys of a publisher's configuration file that have defaults.
type PublisherSettings struct {
	HistoryDeltas          int   `json:"history_deltas,omitempty"`
	SnapshotBytesPerSecond int64 `json:"snapshot_bytes_per_s,omitempty"`
	SnapshotBurstBytes     int64 `json:"snapshot_burst_bytes,omitempty"`
}

// publisherFile is a publisher's configuration file.
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

// SetListen sets the address at which the publisher listens for followers.
func (f *publisherFile) SetListen(addr string) { f.Listen = addr }

// groupCount is the number of groups that this test process has started.
var groupCount atomic.Int64

// NewPublisherGroup starts a group and waits until all its publishers serve followers.
func NewPublisherGroup(ctx context.Context, plan PublisherGroupOptions) (*PublisherGroup, error) {
	binary, err := publisherProgram.Build()
	if err != nil {
		return nil, err
	}
	p := &PublisherGroup{dir: plan.Dir}
	p.addresses, err = freeAddresses(plan.Count, int(groupCount.Add(1)))
	if err != nil {
		return nil, err
	}
	for i := range plan.Count {
		cfg, err := p.file(&plan, i)
		if err != nil {
			return nil, err
		}
		p.processes = append(p.processes, fleet.NewProcess(fleet.ProcessOptions{
			Name:           publisherName(i),
			Index:          i,
			Binary:         binary,
			ConfigVariable: "PUBLISHER_CONFIG",
			ReadyEvent:     "publisher_started",
			Dir:            filepath.Join(plan.Dir, publisherName(i), "work"),
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

// freeAddresses returns free addresses for a group.
func freeAddresses(count, number int) ([]publisherAddresses, error) {
	const each = 3 // addresses of a publisher
	all := make([]publisherAddresses, count)
	for i := range all {
		first := (number*maxGroupSize + i) * each
		for k, into := range []*netip.AddrPort{&all[i].followers, &all[i].raft, &all[i].admin} {
			address, err := emulator.FreeAddr(publisherNetwork, first+k)
			if err != nil {
				return nil, err
			}
			*into = address
		}
	}
	return all, nil
}

// file returns the configuration file of a publisher.
func (p *PublisherGroup) file(plan *PublisherGroupOptions, i int) (*publisherFile, error) {
	var raft, admin []string
	for k, addresses := range p.addresses {
		way := addresses.raft.String()
		if k != i && plan.Relay != nil {
			stream, err := plan.Relay.AddStream(publisherName(i), publisherName(k), way)
			if err != nil {
				return nil, err
			}
			way = stream.Addr()
		}
		raft = append(raft, way)
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
		Dir:               stateFolder,
		Key:               strings.Repeat("5a", groupKeyBytes),
		ElectionTimeoutMS: plan.ElectionTimeoutMS,
		PublisherSettings: plan.Settings,
	}, nil
}

// FollowerAddress returns the address at which a publisher serves followers.
func (p *PublisherGroup) FollowerAddress(i int) netip.AddrPort { return p.addresses[i].followers }

// forEach calls a function for all processes at the same time.
func (p *PublisherGroup) forEach(do func(process *fleet.Process) error) error {
	var all errgroup.Group
	for _, process := range p.processes {
		all.Go(func() error { return do(process) })
	}
	return all.Wait()
}

// Process returns the process of publisher i.
func (p *PublisherGroup) Process(i int) *fleet.Process { return p.processes[i] }

// Count returns the number of publishers, running or not.
func (p *PublisherGroup) Count() int { return len(p.processes) }

// CopyState copies a publisher's log. The publisher must be down: a copy of a log that is being written is damaged.
func (p *PublisherGroup) CopyState(i int) error {
	to := p.copyOf(i)
	err := os.RemoveAll(to)
	if err != nil {
		return err
	}
	return os.CopyFS(to, os.DirFS(filepath.Join(p.processes[i].Dir, stateFolder)))
}

// RestoreState replaces a publisher's log by its copy. The publisher must be down.
func (p *PublisherGroup) RestoreState(i int) error {
	folder := filepath.Join(p.processes[i].Dir, stateFolder)
	err := os.RemoveAll(folder)
	if err != nil {
		return err
	}
	return os.CopyFS(folder, os.DirFS(p.copyOf(i)))
}

// copyOf returns the folder of the copy of a publisher's log.
func (p *PublisherGroup) copyOf(i int) string { return filepath.Join(p.dir, "copy-"+publisherName(i)) }

// usage returns what each publisher has used; zero for one that is down.
func (p *PublisherGroup) usage() (all []fleet.Usage) {
	for _, process := range p.processes {
		usage, _ := process.Usage()
		all = append(all, usage)
	}
	return all
}

// Close ends all processes.
func (p *PublisherGroup) Close() {
	p.forEach(func(process *fleet.Process) error {
		if process.Running() {
			process.Kill()
		}
		process.Actor.Stop()
		return nil
	})
}

// Crashes returns which publishers printed a stack trace or ended by themselves.
func (p *PublisherGroup) Crashes() (crashes []string) {
	for _, process := range p.processes {
		if process.EventCounts()[fleet.LineWithoutEvent] > 0 {
			crashes = append(crashes, fmt.Sprintf("%s printed a trace", process.Name))
		}
		for range fleet.UnexpectedExits(process.Events()) {
			crashes = append(crashes, process.Name+" ended by itself")
		}
	}
	return crashes
}
