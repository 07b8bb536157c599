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
	"ravensill/gateway"
	"ravensill/internal/config"
	"ravensill/internal/subscriber"
	"ravensill/lab/fleet"
	"ravensill/logic"
)

// diskFolder is the folder of the stored version, in a follower's folder.
const diskFolder = "configuration"

// AppliedVersion is a version that came in force at a follower.
type AppliedVersion struct {
	From     configsync.Version
	To       configsync.Version
	At       int64 // Unix time in nanoseconds
	Snapshot bool  // it came as a complete document, not as a delta
}

// Follower is one gateway, over its restarts, whose only sockets are those to publishers. Methods start and stop are
// called by one goroutine at a time.
type Follower struct {
	member     int
	name       string
	dir        string // of the follower
	file       string // configuration file, the same for all followers
	publishers []netip.AddrPort
	frames     *frameSizes

	config        *config.Config // kept in memory as the gateway keeps it
	live          *config.Live
	module        *logic.Gateway
	subscriber    *subscriber.Subscriber // nil: stopped
	storedVersion configsync.Version     // on disk at the latest start; 0: none
	endedTotals   Totals                 // of the incarnations that are over

	inForce atomic.Uint64 // version; 0: the follower uses its configuration file, or is stopped

	mu         sync.Mutex // guards the fields below, which the subscriber's goroutine writes
	applied    []AppliedVersion
	violations []string
}

// start starts the follower as the gateway starts: from the stored version, or from the configuration file.
func (f *Follower) start() error {
	file, err := f.loadFile()
	if err != nil {
		return err
	}
	stored, err := f.restore(file)
	if err != nil {
		return err
	}
	f.module = logic.New(f.config.Seed, f.config.Membership, f.config.Classes, f.config.Plans, f.config.Limits,
		f.config.SlowStart, f.config.LoadReport)
	f.storedVersion = stored.Version()
	f.inForce.Store(uint64(f.storedVersion))
	f.subscriber = subscriber.Start(subscriber.Config{
		Publishers:  f.publishers,
		Dir:         file.Configuration.Dir,
		Member:      f.member,
		Name:        f.name,
		Incarnation: uint64(time.Now().UnixNano()),
		Apply:       f.apply,
	}, stored)
	return nil
}

// loadFile reads the configuration file, which all followers share except for their folders.
func (f *Follower) loadFile() (*config.Config, error) {
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

// restore decodes the stored version, if there is one.
func (f *Follower) restore(file *config.Config) (*configsync.Document, error) {
	stored, err := subscriber.Load(file.Configuration.Dir)
	if err != nil {
		return nil, fmt.Errorf("%s: the stored version: %w", f.name, err)
	}
	f.config = file
	if stored.Version() == 0 {
		f.live = config.NewLive(file)
		return stored, nil
	}
	f.config, f.live, err = config.Restore(file, stored.Changes())
	return stored, err
}

// apply puts an update in force. It runs on the subscriber's goroutine, which is the only one to use the module.
func (f *Follower) apply(update *configsync.Update, complete bool) error {
	revision, err := f.live.Apply(update.Changes, complete)
	if err != nil {
		f.addViolation("version %d: %v", update.To, err)
		return err
	}
	f.module.Reconfigure(gateway.Time(time.Now().UnixNano()), &revision.Update)
	now := time.Now().UnixNano()
	before := f.inForce.Swap(uint64(update.To))
	if uint64(update.To) <= before {
		f.addViolation("version %d after %d", update.To, before)
	}
	f.frames.add(update)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = append(f.applied, AppliedVersion{From: update.From, To: update.To, At: now, Snapshot: update.Delta == nil})
	return nil
}

// addViolation records a violation.
func (f *Follower) addViolation(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, f.name+": "+fmt.Sprintf(format, arguments...))
}

// stop stops the follower, once an update in progress is applied.
func (f *Follower) stop() {
	f.subscriber.Close()
	f.endedTotals.addStatus(f.subscriber.Status())
	f.subscriber = nil
	f.config = nil
	f.live = nil
	f.module = nil
	f.inForce.Store(0)
}

// clearDisk removes the stored version. The follower must be stopped.
func (f *Follower) clearDisk() error { return os.RemoveAll(filepath.Join(f.dir, diskFolder)) }

// takeApplied returns the versions that came in force since the call before.
func (f *Follower) takeApplied() []AppliedVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	applied := f.applied
	f.applied = nil
	return applied
}

// totals returns the counts over all restarts.
func (f *Follower) totals() Totals {
	all := f.endedTotals
	if f.subscriber != nil {
		all.addStatus(f.subscriber.Status())
	}
	return all
}

// newFollower returns a follower that is not started.
func newFollower(plan *FleetOptions, file string, member int, frames *frameSizes) *Follower {
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
