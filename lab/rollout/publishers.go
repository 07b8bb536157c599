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
	addressNet    = 130 // loopback net of the publishers' addresses
	publisherRoom = 8   // publishers of one group at most
	groupKeyBytes = 16
)

var publisherProgram = fleet.NewProgram("ravensill/cmd/ravensill-publisher")

// publisherAddresses are where one publisher listens. They stay the same in all of its lives.
type publisherAddresses struct {
	followers netip.AddrPort
	raft      netip.AddrPort
	admin     netip.AddrPort
}

// Publishers is a group of publisher processes.
type Publishers struct {
	processes []*fleet.Process
	addresses []publisherAddresses
	dir       string // holds a folder for each publisher, and copies of them

	slowMu sync.Mutex
	slow   []string // answers that took long
}

// publisherName is a publisher's name, in the relay's rules too.
func publisherName(i int) string { return fmt.Sprintf("p%d", i) }

// publisherNames names all publishers of a group.
func publisherNames(count int) (names []string) {
	for i := range count {
		names = append(names, publisherName(i))
	}
	return names
}

// GroupPlan describes a group of publishers.
type GroupPlan struct {
	Count      int
	Dir        string       // holds a folder for each publisher, and copies of them
	Relay      *relay.Relay // carries the publishers' messages to each other; nil: they go straight
	ElectionMS int          // without contact to the leading publisher before another is elected
	Settings   PublisherSettings
}

// PublisherSettings are keys of a publisher's configuration file that have defaults.
type PublisherSettings struct {
	HistoryDeltas          int   `json:"history_deltas,omitempty"`
	SnapshotBytesPerSecond int64 `json:"snapshot_bytes_per_s,omitempty"`
	SnapshotBurstBytes     int64 `json:"snapshot_burst_bytes,omitempty"`
}

// publisherFile is a publisher's configuration file.
type publisherFile struct {
	Index       int      `json:"index"`
	Listen      string   `json:"listen"`
	RaftListen  string   `json:"raft_listen"`
	Raft        []string `json:"raft"`
	AdminListen string   `json:"admin_listen"`
	Admin       []string `json:"admin"`
	Dir         string   `json:"dir"`
	Key         string   `json:"key"`
	ElectionMS  int      `json:"election_ms"`
	PublisherSettings
}

// SetListen sets the address at which the publisher listens for followers.
func (f *publisherFile) SetListen(addr string) { f.Listen = addr }

// groups counts the groups of publishers of this test process.
var groups atomic.Int64

// NewPublishers starts a group and waits until all of it serve followers.
func NewPublishers(ctx context.Context, plan GroupPlan) (*Publishers, error) {
	binary, err := publisherProgram.Build()
	if err != nil {
		return nil, err
	}
	p := &Publishers{dir: plan.Dir}
	p.addresses, err = freeAddresses(plan.Count, int(groups.Add(1)))
	if err != nil {
		return nil, err
	}
	for i := range plan.Count {
		cfg, err := p.config(&plan, i)
		if err != nil {
			return nil, err
		}
		p.processes = append(p.processes, fleet.NewProcess(fleet.ProcessOptions{
			Name:       publisherName(i),
			Index:      i,
			Binary:     binary,
			Variable:   "PUBLISHER_CONFIG",
			ReadyEvent: "publisher_started",
			Dir:        filepath.Join(plan.Dir, publisherName(i), "work"),
			Config:     cfg,
		}))
	}
	err = p.each(func(process *fleet.Process) error { return errors.Join(process.Launch(), process.WaitServing(ctx)) })
	if err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// freeAddresses finds the addresses of a group.
func freeAddresses(count, number int) ([]publisherAddresses, error) {
	const each = 3 // addresses of a publisher
	all := make([]publisherAddresses, count)
	for i := range all {
		first := (number*publisherRoom + i) * each
		for k, into := range []*netip.AddrPort{&all[i].followers, &all[i].raft, &all[i].admin} {
			address, err := emulator.FreeAddr(addressNet, first+k)
			if err != nil {
				return nil, err
			}
			*into = address
		}
	}
	return all, nil
}

// config gives the content of a publisher's configuration file.
func (p *Publishers) config(plan *GroupPlan, i int) (*publisherFile, error) {
	var raft, admin []string
	for k, addresses := range p.addresses {
		way := addresses.raft.String()
		if k != i && plan.Relay != nil {
			stream, err := plan.Relay.Stream(publisherName(i), publisherName(k), way)
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
		ElectionMS:        plan.ElectionMS,
		PublisherSettings: plan.Settings,
	}, nil
}

// FollowerAddress is where a publisher serves followers.
func (p *Publishers) FollowerAddress(i int) netip.AddrPort { return p.addresses[i].followers }

// stateFolder is the folder of a publisher's log, in its working folder.
const stateFolder = "state"

// each does something with all processes at the same time.
func (p *Publishers) each(do func(process *fleet.Process) error) error {
	var all errgroup.Group
	for _, process := range p.processes {
		all.Go(func() error { return do(process) })
	}
	return all.Wait()
}

// Process gives one publisher's process.
func (p *Publishers) Process(i int) *fleet.Process { return p.processes[i] }

// Count is the number of publishers, running or not.
func (p *Publishers) Count() int { return len(p.processes) }

// CopyState copies a publisher's log aside. The publisher must be down: a copy of a log that is being written is torn.
func (p *Publishers) CopyState(i int) error {
	to := p.copyOf(i)
	err := os.RemoveAll(to)
	if err != nil {
		return err
	}
	return os.CopyFS(to, os.DirFS(filepath.Join(p.processes[i].Dir, stateFolder)))
}

// RestoreState puts the copy in the place of a publisher's log. The publisher must be down.
func (p *Publishers) RestoreState(i int) error {
	folder := filepath.Join(p.processes[i].Dir, stateFolder)
	err := os.RemoveAll(folder)
	if err != nil {
		return err
	}
	return os.CopyFS(folder, os.DirFS(p.copyOf(i)))
}

func (p *Publishers) copyOf(i int) string { return filepath.Join(p.dir, "copy-"+publisherName(i)) }

// usage reads what each publisher has used; zero for one that is down.
func (p *Publishers) usage() (all []fleet.Usage) {
	for _, process := range p.processes {
		used, _ := process.Usage()
		all = append(all, used)
	}
	return all
}

// Close ends all processes.
func (p *Publishers) Close() {
	p.each(func(process *fleet.Process) error {
		if process.Running() {
			process.Kill()
		}
		process.Actor.Stop()
		return nil
	})
}

// Unhealthy tells which publishers printed a trace or ended by themselves.
func (p *Publishers) Unhealthy() (faults []string) {
	for _, process := range p.processes {
		if process.EventCounts()[fleet.UnnamedLine] > 0 {
			faults = append(faults, fmt.Sprintf("%s printed a trace", process.Name))
		}
		for range fleet.UnexpectedExits(process.Events()) {
			faults = append(faults, process.Name+" ended by itself")
		}
	}
	return faults
}
