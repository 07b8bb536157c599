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
	pollInterval = 20 * time.Millisecond // between looks at a state that nothing announces
	shownMembers = 4                     // in an error
)

// FleetOptions describe a fleet of hollow followers.
type FleetOptions struct {
	Followers  int
	Dir        string // holds a folder for each follower
	Publishers []netip.AddrPort
}

// Fleet is many hollow followers in this process. Its methods are called by one goroutine at a time.
type Fleet struct {
	followers []*Follower
	frames    *frameSizes
}

// NewFleet returns a fleet that is not started.
func NewFleet(plan FleetOptions) (*Fleet, error) {
	file := filepath.Join(plan.Dir, "gateway.json")
	text, err := gatewayFile(plan.Publishers)
	if err != nil {
		return nil, err
	}
	err = os.WriteFile(file, text, 0o600)
	if err != nil {
		return nil, err
	}
	f := &Fleet{frames: newFrameSizes()}
	for member := range plan.Followers {
		f.followers = append(f.followers, newFollower(&plan, file, member, f.frames))
	}
	return f, nil
}

// gatewayFile returns the gateways' configuration file: that of a fleet of one without gossip. The first version
// replaces its quota plans and request classes.
func gatewayFile(publishers []netip.AddrPort) ([]byte, error) {
	var addresses []string
	for _, publisher := range publishers {
		addresses = append(addresses, publisher.String())
	}
	return json.Marshal(gatewayconfig.File{
		Listen:        "127.0.0.1:0",
		Discovery:     "127.0.0.1:1",
		Configuration: &gatewayconfig.Configuration{Publishers: addresses, Dir: diskFolder},
		Settings: gatewayconfig.Settings{
			Gateways:     1,
			Zones:        []string{"z1"},
			MachineTypes: []string{"m"},
			Limits:       gatewayconfig.Limits{RuntimeLimits: fleet.RuntimeLimits()},
			Classes:      []gatewayconfig.Class{requestClass(0)},
			QuotaPlans:   []gatewayconfig.QuotaPlan{quotaPlan(0, firstRate)},
		},
	})
}

// members returns all member indexes of the fleet.
func (f *Fleet) members() []int { return indexes(0, len(f.followers)) }

// indexes lists the member indices from one on up to another, which is left out.
func indexes(from, to int) (members []int) {
	for member := from; member < to; member++ {
		members = append(members, member)
	}
	return members
}

// Start starts some followers, all at once.
func (f *Fleet) Start(members []int) error {
	var starts errgroup.Group
	starts.SetLimit(runtime.GOMAXPROCS(0))
	for _, member := range members {
		starts.Go(f.followers[member].start)
	}
	return starts.Wait()
}

// Stop stops some followers, all at once.
func (f *Fleet) Stop(members []int) {
	var stops sync.WaitGroup
	for _, member := range members {
		stops.Go(f.followers[member].stop)
	}
	stops.Wait()
}

// Close stops all followers.
func (f *Fleet) Close() {
	var running []int
	for member, follower := range f.followers {
		if follower.subscriber != nil {
			running = append(running, member)
		}
	}
	f.Stop(running)
}

// ClearDisks removes the stored versions of some followers, which must be stopped.
func (f *Fleet) ClearDisks(members []int) error {
	for _, member := range members {
		err := f.followers[member].clearDisk()
		if err != nil {
			return err
		}
	}
	return nil
}

// WaitInForce waits until a version or a later one is in force at some followers.
func (f *Fleet) WaitInForce(ctx context.Context, version configsync.Version, members []int) error {
	for {
		late := f.behind(version, members)
		if len(late) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("version %d at %d followers, such as %v: %w", version, len(late),
				late[:min(len(late), shownMembers)], ctx.Err())
		case <-time.After(pollInterval):
		}
	}
}

// behind returns those among some followers at which neither a version nor a later one is in force.
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

// TakeApplied returns the versions that came in force at each follower since the call before, by member index.
func (f *Fleet) TakeApplied() [][]AppliedVersion {
	histories := make([][]AppliedVersion, len(f.followers))
	for member, follower := range f.followers {
		histories[member] = follower.takeApplied()
	}
	return histories
}

// Totals returns the sums of the counts of all followers.
func (f *Fleet) Totals() (all Totals) {
	for _, follower := range f.followers {
		all.add(follower.totals())
	}
	return all
}

// WaitStatus waits until the status of all followers that run shows a version, which follows its being in force by a
// moment.
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

// Violations returns the versions that came twice or backwards or that a follower could not apply, and the followers
// that run with anything but the version with a digest.
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

// Totals are counts of followers since they were created.
type Totals struct {
	BytesIn              int64
	BytesOut             int64
	AcceptedVersions     uint64 // versions put in force
	RefusedVersions      uint64
	DeferredSnapshots    uint64 // snapshots put off by a publisher
	UnsavedVersions      int    // versions that could not be kept on disk
	LostConnections      uint64 // connections that failed or were ended by the other side
	AbandonedConnections uint64 // connections that followers gave up, whatever the cause
	InvalidMessages      uint64 // malformed messages, deltas that did not fit and digests that differed
}

// addStatus adds the counts of a subscriber.
func (t *Totals) addStatus(status subscriber.Status) {
	counters := &status.Counters
	t.add(Totals{
		BytesIn:              status.BytesIn,
		BytesOut:             status.BytesOut,
		AcceptedVersions:     counters.Accepted,
		RefusedVersions:      counters.Refused,
		DeferredSnapshots:    counters.SnapshotsDeferred,
		UnsavedVersions:      status.UnsavedVersions,
		LostConnections:      counters.ConnectionsLost,
		AbandonedConnections: counters.Silent + counters.NoQuorum + counters.Stalled + counters.Behind + counters.LogMismatches,
		InvalidMessages:      counters.MalformedMessages + counters.VersionGaps + counters.DigestMismatches,
	})
}

// add adds other counts.
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

// frameSizes holds how many bytes each delta has on the wire. All followers that receive a delta receive the same
// bytes.
type frameSizes struct {
	sizes sync.Map // by span
}

// span identifies a delta by its versions.
type span struct {
	from configsync.Version
	to   configsync.Version
}

func newFrameSizes() *frameSizes { return &frameSizes{} }

// add records the size of an update's delta. Only the first one of a span is encoded.
func (s *frameSizes) add(update *configsync.Update) {
	if update.Delta == nil {
		return
	}
	key := span{update.From, update.To}
	_, known := s.sizes.Load(key)
	if !known {
		s.sizes.Store(key, len(configsync.Encode(update.Delta)))
	}
}

// bytes returns the bytes of an update on the wire; 0 for a snapshot.
func (s *frameSizes) bytes(applied *AppliedVersion) int {
	size, known := s.sizes.Load(span{applied.From, applied.To})
	if !known || applied.Snapshot {
		return 0
	}
	return size.(int)
}
