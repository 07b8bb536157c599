// Package hollow measures the distribution of the configuration to thousands of gateways: hollow followers, many in one
// process, against publishers that are processes of their own. A hollow follower runs the gateway's own code from the
// connection to a publisher to the decision module (internal/subscriber, config.Live, logic.Gateway.Reconfigure); the
// sockets to clients, hosts, discovery and other gateways are left out. docs/rollout-scale.md describes the method.
package hollow

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"ravensill/configsync"
	"ravensill/internal/config"
	"ravensill/internal/subscriber"
	"ravensill/lab/fleet"
	"ravensill/logic"
)

// diskFolder is the folder of the last good version, in a follower's own folder.
const diskFolder = "configuration"

// Applied is a version that came in force at a follower.
type Applied struct {
	From, To configsync.Version
	At       int64 // Unix time in nanoseconds
	Snapshot bool  // it came as a whole document, not as a delta
}

// Follower is one gateway without sockets to anything but publishers, in its lives. Start and stop are called by one
// goroutine at a time.
type Follower struct {
	member     int
	name       string
	dir        string // its own folder
	file       string // the gateway's configuration file
	publishers []netip.AddrPort
	frames     *frameSizes

	cfg        *config.Config // of the present life, which keeps it as the program does
	live       *config.Live
	module     *logic.Gateway
	subscriber *subscriber.Subscriber // nil: down
	held       configsync.Version     // on disk as the present life began; 0: none
	former     Totals                 // of lives that are over

	inForce atomic.Uint64 // the version; 0: the gateway goes by its own file, or is down

	mu      sync.Mutex // guards the fields below, which the subscriber's goroutine writes
	applied []Applied
	faults  []string
}

// start begins a life as the program does: from the last good version on disk, or from the configuration file.
func (f *Follower) start() error {
	file, err := f.load()
	if err != nil {
		return err
	}
	held, err := f.restore(file)
	if err != nil {
		return err
	}
	f.module = logic.New(f.cfg.Seed, f.cfg.Membership, f.cfg.Classes, f.cfg.Plans, f.cfg.Limits, f.cfg.SlowStart, f.cfg.LoadReport)
	f.held = held.Version()
	f.inForce.Store(uint64(f.held))
	f.subscriber = subscriber.Start(subscriber.Config{
		Publishers:  f.publishers,
		Dir:         file.Configuration.Dir,
		Member:      f.member,
		Name:        f.name,
		Incarnation: uint64(time.Now().UnixNano()),
		Apply:       f.apply,
	}, held)
	return nil
}

// load reads the configuration file, which all followers share but for their folders.
func (f *Follower) load() (*config.Config, error) {
	file, err := config.Load(func(name string) string {
		if name == "GW_CONFIG" {
			return f.file
		}
		return ""
	})
	if err != nil {
		return nil, err
	}
	file.Name = f.name
	file.Configuration.Dir = filepath.Join(f.dir, diskFolder)
	return file, nil
}

// restore decodes the version on disk, where there is one.
func (f *Follower) restore(file *config.Config) (*configsync.Document, error) {
	held, err := subscriber.Load(file.Configuration.Dir)
	if err != nil {
		return nil, fmt.Errorf("%s: the version on disk: %w", f.name, err)
	}
	f.cfg = file
	if held.Version() == 0 {
		f.live = config.NewLive(file)
		return held, nil
	}
	f.cfg, f.live, err = config.Restore(file, held.Changes())
	return held, err
}

// apply puts an update in force. It runs on the subscriber's goroutine, which is the only one to use the module.
func (f *Follower) apply(update *configsync.Update, whole bool) error {
	revision, err := f.live.Apply(update.Changes, whole)
	if err != nil {
		f.fault("version %d: %v", update.To, err)
		return err
	}
	f.module.Reconfigure(time.Now().UnixNano(), &revision.Update)
	now := time.Now().UnixNano()
	if before := f.inForce.Swap(uint64(update.To)); uint64(update.To) <= before {
		f.fault("version %d after %d", update.To, before)
	}
	f.frames.note(update)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = append(f.applied, Applied{From: update.From, To: update.To, At: now, Snapshot: update.Delta == nil})
	return nil
}

func (f *Follower) fault(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, f.name+": "+fmt.Sprintf(format, arguments...))
}

// stop ends the present life. What is under way of a version is done first.
func (f *Follower) stop() {
	f.subscriber.Close()
	f.former.add(f.subscriber.Status())
	f.subscriber = nil
	f.cfg = nil
	f.live = nil
	f.module = nil
	f.inForce.Store(0)
}

// clearDisk removes the last good version. The follower must be down.
func (f *Follower) clearDisk() error { return os.RemoveAll(filepath.Join(f.dir, diskFolder)) }

// take gives what came in force since the last call.
func (f *Follower) take() []Applied {
	f.mu.Lock()
	defer f.mu.Unlock()
	applied := f.applied
	f.applied = nil
	return applied
}

// totals are of all lives.
func (f *Follower) totals() Totals {
	all := f.former
	if f.subscriber != nil {
		all.add(f.subscriber.Status())
	}
	return all
}

// newFollower makes a follower that is down.
func newFollower(plan *Plan, file string, member int, frames *frameSizes) *Follower {
	name := fleet.GatewayName(member)
	return &Follower{
		member:     member,
		name:       name,
		dir:        filepath.Join(plan.Dir, name),
		file:       file,
		publishers: plan.Publishers,
		frames:     frames,
	}
}
