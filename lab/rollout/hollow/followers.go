package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"ravensill/configsync"
	"ravensill/internal/subscriber"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
)

const (
	pollInterval      = 20 * time.Millisecond // between polls of a state that is not signaled
	maxMembersInError = 4                     // members listed in an error text
)

// FleetOptions describes a fleet of simulated followers.
type FleetOptions struct {
	Followers  int
	Dir        string // holds a directory for each follower
	Publishers []netip.AddrPort
}

// Fleet is a set of simulated followers in this process. One goroutine at a time may call its methods.
type Fleet struct {
	followers  []*Follower
	deltaSizes *deltaSizes
}

// NewFleet writes the configuration file and returns a fleet whose followers have not been started.
func NewFleet(options FleetOptions) (*Fleet, error) {
	file := filepath.Join(options.Dir, "gateway.json")
	text, err := gatewayFile(options.Publishers)
	if err != nil {
		return nil, err
	}
	err = os.WriteFile(file, text, 0o600)
	if err != nil {
		return nil, err
	}
	f := &Fleet{deltaSizes: newDeltaSizes()}
	for member := range options.Followers {
		f.followers = append(f.followers, newFollower(&options, file, member, f.deltaSizes))
	}
	return f, nil
}

// gatewayFile returns the followers' configuration file: that of a single gateway without gossip. The first published
// version replaces its quota plan and request class.
func gatewayFile(publishers []netip.AddrPort) ([]byte, error) {
	var addresses []string
	for _, publisher := range publishers {
		addresses = append(addresses, publisher.String())
	}
	return json.Marshal(gatewayconfig.File{
		Listen:        "127.0.0.1:0",
		Discovery:     "127.0.0.1:1",
		Configuration: &gatewayconfig.Configuration{Publishers: addresses, Dir: storedVersionDir},
		Settings: gatewayconfig.Settings{
			Gateways:     1,
			Zones:        []string{"z1"},
			MachineTypes: []string{"m"},
			Limits:       gatewayconfig.Limits{RuntimeLimits: fleet.RuntimeLimits()},
			Classes:      []gatewayconfig.Class{requestClass(0)},
			QuotaPlans:   []gatewayconfig.QuotaPlan{quotaPlan(0, initialRate)},
		},
	})
}

// members returns the member indexes of all followers.
func (f *Fleet) members() []int { return indexes(0, len(f.followers)) }

// indexes returns the member indexes from one number up to another, which is excluded.
func indexes(from, to int) (members []int) {
	for member := from; member < to; member++ {
		members = append(members, member)
	}
	return members
}

// Start starts the followers with the given member indexes concurrently.
func (f *Fleet) Start(members []int) error {
	var starts errgroup.Group
	starts.SetLimit(runtime.GOMAXPROCS(0))
	for _, member := range members {
		starts.Go(f.followers[member].start)
	}
	return starts.Wait()
}

// Stop stops the followers with the given member indexes concurrently.
func (f *Fleet) Stop(members []int) {
	var stops sync.WaitGroup
	for _, member := range members {
		stops.Go(f.followers[member].stop)
	}
	stops.Wait()
}

// Close stops all running followers.
func (f *Fleet) Close() {
	var running []int
	for member, follower := range f.followers {
		if follower.subscriber != nil {
			running = append(running, member)
		}
	}
	f.Stop(running)
}

// ClearDisks removes the stored versions of followers, which must be stopped.
func (f *Fleet) ClearDisks(members []int) error {
	for _, member := range members {
		err := f.followers[member].clearDisk()
		if err != nil {
			return err
		}
	}
	return nil
}

// WaitInForce waits until this version or a later one is in force at the given followers.
func (f *Fleet) WaitInForce(ctx context.Context, version configsync.Version, members []int) error {
	for {
		behind := f.behind(version, members)
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("version %d is not in force at %d followers, such as %v: %w", version, len(behind),
				behind[:min(len(behind), maxMembersInError)], ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// behind returns those of the given followers at which an older version or none is in force.
func (f *Fleet) behind(version configsync.Version, members []int) (behind []int) {
	for _, member := range members {
		if f.followers[member].inForce.Load() < uint64(version) {
			behind = append(behind, member)
		}
	}
	return behind
}

// countFromDisk returns how many of the first followers started with a stored version.
func (f *Fleet) countFromDisk(followers int) (count int) {
	for _, follower := range f.followers[:followers] {
		if follower.storedVersion > 0 {
			count++
		}
	}
	return count
}

// TakeApplied returns the versions that came in force at each follower since the previous call, by member index.
func (f *Fleet) TakeApplied() [][]AppliedVersion {
	histories := make([][]AppliedVersion, len(f.followers))
	for member, follower := range f.followers {
		histories[member] = follower.takeApplied()
	}
	return histories
}

// Totals returns the sum of the counts of all followers.
func (f *Fleet) Totals() (all Totals) {
	for _, follower := range f.followers {
		all.add(follower.totals())
	}
	return all
}

// WaitStatus waits until the status of every running follower shows this version or a later one. The status shows a
// version shortly after it came in force.
func (f *Fleet) WaitStatus(ctx context.Context, version configsync.Version) error {
	for _, follower := range f.followers {
		if follower.subscriber == nil {
			continue
		}
		what := fmt.Sprintf("version %d in the status of %s", version, follower.name)
		err := fleet.WaitUntil(ctx, what, func() bool { return follower.subscriber.Status().Version >= version })
		if err != nil {
			return err
		}
	}
	return nil
}

// Violations returns the violations that followers recorded (versions that did not increase or could not be applied),
// and each running follower that does not have the given version with the given digest.
func (f *Fleet) Violations(version configsync.Version, digest string) (violations []string) {
	for _, follower := range f.followers {
		follower.mu.Lock()
		violations = append(violations, follower.violations...)
		follower.mu.Unlock()
		if follower.subscriber == nil {
			continue
		}
		status := follower.subscriber.Status()
		if status.Version != version || status.Digest.Hex() != digest {
			violations = append(violations, fmt.Sprintf("%s: has version %d with digest %x, not version %d with digest %s",
				follower.name, status.Version, status.Digest, version, digest))
		}
	}
	return violations
}

// Totals holds counts of followers since they were created.
type Totals struct {
	BytesIn              int64
	BytesOut             int64
	AcceptedVersions     uint64 // versions that came in force
	RefusedVersions      uint64
	DeferredSnapshots    uint64 // snapshots that a publisher deferred
	UnsavedVersions      int    // versions that could not be stored on disk
	LostConnections      uint64 // connections that failed or were closed by the publisher
	AbandonedConnections uint64 // connections that followers closed, for any reason
	InvalidMessages      uint64 // malformed messages, deltas from another version than that in force, digest mismatches
}

// addStatus adds the counts in a subscriber's status.
func (t *Totals) addStatus(status subscriber.Status) {
	counters := &status.Counters
	t.add(Totals{
		BytesIn:           status.BytesIn,
		BytesOut:          status.BytesOut,
		AcceptedVersions:  counters.Accepted,
		RefusedVersions:   counters.Refused,
		DeferredSnapshots: counters.SnapshotsDeferred,
		UnsavedVersions:   status.UnsavedVersions,
		LostConnections:   counters.ConnectionsLost,
		AbandonedConnections: counters.Silent + counters.NoQuorum + counters.Stalled + counters.Behind +
			counters.LogMismatches,
		InvalidMessages: counters.MalformedMessages + counters.VersionGaps + counters.DigestMismatches,
	})
}

// add adds the counts of other.
func (t *Totals) add(other Totals) {
	t.BytesIn += other.BytesIn
	t.BytesOut += other.BytesOut
	t.AcceptedVersions += other.AcceptedVersions
	t.RefusedVersions += other.RefusedVersions
	t.DeferredSnapshots += other.DeferredSnapshots
	t.UnsavedVersions += other.UnsavedVersions
	t.LostConnections += other.LostConnections
	t.AbandonedConnections += other.AbandonedConnections
	t.InvalidMessages += other.InvalidMessages
}

// deltaSizes holds the number of bytes of each delta on the wire. A delta has the same bytes for every follower that
// receives it. Its methods may be called concurrently.
type deltaSizes struct {
	sizes sync.Map // int by versionSpan
}

// versionSpan identifies a delta by the versions it leads from and to.
type versionSpan struct {
	from configsync.Version
	to   configsync.Version
}

func newDeltaSizes() *deltaSizes { return &deltaSizes{} }

// add records the size of an update's delta. A delta is encoded only the first time that its versions are seen.
func (s *deltaSizes) add(update *configsync.Update) {
	if update.Delta == nil {
		return
	}
	key := versionSpan{update.From, update.To}
	_, known := s.sizes.Load(key)
	if !known {
		s.sizes.Store(key, len(configsync.Encode(update.Delta)))
	}
}

// size returns the bytes of the applied delta on the wire, or 0 for a snapshot.
func (s *deltaSizes) size(applied *AppliedVersion) int {
	size, known := s.sizes.Load(versionSpan{applied.From, applied.To})
	if !known || applied.Snapshot {
		return 0
	}
	return size.(int)
}
