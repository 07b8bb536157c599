// Package hollow measures how the configuration is distributed to thousands of gateways. The gateways are simulated:
// hollow followers, many in one process, follow publishers that are real processes. A hollow follower runs the
// gateway's own code from the connection to a publisher to the decision module (internal/subscriber, config.Live,
// logic.Gateway.Reconfigure) but has no sockets to clients, hosts, discovery and other gateways. docs/rollout-scale.md
// describes the method.
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

// storedVersionDir is the directory of the stored version, within a follower's directory.
const storedVersionDir = "configuration"

// AppliedVersion is a version that came in force at a follower.
type AppliedVersion struct {
	From     configsync.Version
	To       configsync.Version
	At       int64 // Unix time in nanoseconds
	Snapshot bool  // received as a complete document, not as a delta
}

// Follower simulates one gateway over its restarts; its only sockets are those to publishers. One goroutine at a time
// may call start and stop.
type Follower struct {
	member            int
	name              string
	dir               string // directory of this follower
	configurationFile string // path, the same for all followers
	publishers        []netip.AddrPort
	deltaSizes        *deltaSizes // shared by all followers

	config        *config.Config         // held because a gateway holds it in memory too
	live          *config.Live           // turns updates into changed settings
	module        *logic.Gateway         // decision module
	subscriber    *subscriber.Subscriber // nil while the follower is stopped
	storedVersion configsync.Version     // stored on disk at the latest start; 0 if none
	endedTotals   Totals                 // counts of the incarnations that have ended

	inForce atomic.Uint64 // version in force; 0 if the follower uses its configuration file or is stopped

	mu         sync.Mutex // guards the fields below, which the subscriber's goroutine writes
	applied    []AppliedVersion
	violations []string
}

// start starts the follower as a gateway starts: with the stored version, or with the configuration file if no version
// is stored.
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

// loadFile reads the configuration file and sets the follower's own name and directory in it.
func (f *Follower) loadFile() (*config.Config, error) {
	file, err := config.Load(func(name string) string {
		if name == "GW_CONFIG" {
			return f.configurationFile
		}
		return ""
	})
	if err != nil {
		return nil, err
	}
	file.Name = f.name
	file.Configuration.Dir = filepath.Join(f.dir, storedVersionDir)
	return file, nil
}

// restore loads the stored version. If there is none, the returned document has version 0 and the settings are those of
// the configuration file.
func (f *Follower) restore(file *config.Config) (*configsync.Document, error) {
	stored, err := subscriber.Load(file.Configuration.Dir)
	if err != nil {
		return nil, fmt.Errorf("%s: loading the stored version: %w", f.name, err)
	}
	f.config = file
	if stored.Version() == 0 {
		f.live = config.NewLive(file)
		return stored, nil
	}
	f.config, f.live, err = config.Restore(file, stored.Changes())
	return stored, err
}

// apply puts an update in force. It runs on the subscriber's goroutine, the only one that uses the decision module.
func (f *Follower) apply(update *configsync.Update, complete bool) error {
	revision, err := f.live.Apply(update.Changes, complete)
	if err != nil {
		f.addViolation("version %d could not be applied: %v", update.To, err)
		return err
	}
	f.module.Reconfigure(gateway.Time(time.Now().UnixNano()), &revision.Update)
	now := time.Now().UnixNano()
	before := f.inForce.Swap(uint64(update.To))
	if uint64(update.To) <= before {
		f.addViolation("version %d after %d", update.To, before)
	}
	f.deltaSizes.add(update)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = append(f.applied, AppliedVersion{From: update.From, To: update.To, At: now, Snapshot: update.Delta == nil})
	return nil
}

// addViolation records a violation, prefixed with the follower's name.
func (f *Follower) addViolation(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, f.name+": "+fmt.Sprintf(format, arguments...))
}

// stop stops the follower, after the update in progress has been applied, and releases its memory.
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
func (f *Follower) clearDisk() error { return os.RemoveAll(filepath.Join(f.dir, storedVersionDir)) }

// takeApplied returns the versions that came in force since the previous call.
func (f *Follower) takeApplied() []AppliedVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	applied := f.applied
	f.applied = nil
	return applied
}

// totals returns the counts over all incarnations.
func (f *Follower) totals() Totals {
	all := f.endedTotals
	if f.subscriber != nil {
		all.addStatus(f.subscriber.Status())
	}
	return all
}

// newFollower returns a follower that has not been started.
func newFollower(options *FleetOptions, configurationFile string, member int, deltaSizes *deltaSizes) *Follower {
	name := fleet.GatewayName(member)
	return &Follower{
		member:            member,
		name:              name,
		dir:               filepath.Join(options.Dir, name),
		configurationFile: configurationFile,
		publishers:        options.Publishers,
		deltaSizes:        deltaSizes,
	}
}
