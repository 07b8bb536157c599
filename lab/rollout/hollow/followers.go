package hollow

import (
	"context"
	"encoding/hex"
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

// Plan describes a fleet of hollow followers.
type Plan struct {
	Followers  int
	Dir        string // holds a folder for each follower
	Publishers []netip.AddrPort
}

// Fleet is many hollow followers in this process. Its methods are called by one goroutine at a time.
type Fleet struct {
	followers []*Follower
	frames    *frameSizes
}

// NewFleet makes a fleet that is down.
func NewFleet(plan Plan) (*Fleet, error) {
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

// gatewayFile gives the content of the gateways' configuration file: a fleet of one each, without messages to others. Its
// quota plans and request classes are replaced by the first version.
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

// members are all member indices of the fleet.
func (f *Fleet) members() []int { return between(0, len(f.followers)) }

// between lists the member indices from one on up to another, which is left out.
func between(from, to int) (members []int) {
	for member := from; member < to; member++ {
		members = append(members, member)
	}
	return members
}

// Start begins a life of each of some followers, all at once.
func (f *Fleet) Start(members []int) error {
	var starts errgroup.Group
	starts.SetLimit(runtime.GOMAXPROCS(0))
	for _, member := range members {
		starts.Go(f.followers[member].start)
	}
	return starts.Wait()
}

// Stop ends the lives of some followers, all at once.
func (f *Fleet) Stop(members []int) {
	var stops sync.WaitGroup
	for _, member := range members {
		stops.Go(f.followers[member].stop)
	}
	stops.Wait()
}

// Close ends all lives.
func (f *Fleet) Close() {
	var running []int
	for member, follower := range f.followers {
		if follower.subscriber != nil {
			running = append(running, member)
		}
	}
	f.Stop(running)
}

// ClearDisks removes the last good versions of some followers, which must be down.
func (f *Fleet) ClearDisks(members []int) error {
	for _, member := range members {
		err := f.followers[member].clearDisk()
		if err != nil {
			return err
		}
	}
	return nil
}

// Wait waits until a version or a later one is in force at some followers.
func (f *Fleet) Wait(ctx context.Context, version configsync.Version, members []int) error {
	for {
		late := f.late(version, members)
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

// late lists those among some followers at which neither a version nor a later one is in force.
func (f *Fleet) late(version configsync.Version, members []int) (late []int) {
	for _, member := range members {
		if f.followers[member].inForce.Load() < uint64(version) {
			late = append(late, member)
		}
	}
	return late
}

// fromDisk counts those among the first followers whose present lives began with a version on disk.
func (f *Fleet) fromDisk(followers int) (count int) {
	for _, follower := range f.followers[:followers] {
		if follower.held > 0 {
			count++
		}
	}
	return count
}

// Take gives what came in force at each follower since the last call, by member index.
func (f *Fleet) Take() [][]Applied {
	histories := make([][]Applied, len(f.followers))
	for member, follower := range f.followers {
		histories[member] = follower.take()
	}
	return histories
}

// Totals sums up all followers.
func (f *Fleet) Totals() (all Totals) {
	for _, follower := range f.followers {
		all.join(follower.totals())
	}
	return all
}

// Settled waits until the subscribers of all followers that run tell of a version: they do a moment after it is in force.
func (f *Fleet) Settled(ctx context.Context, version configsync.Version) error {
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

// Faults lists the versions that came twice or backwards or that a follower could not take, and the followers that run and
// hold anything but the version with a digest.
func (f *Fleet) Faults(version configsync.Version, digest string) (faults []string) {
	for _, follower := range f.followers {
		follower.mu.Lock()
		faults = append(faults, follower.faults...)
		follower.mu.Unlock()
		if follower.subscriber == nil {
			continue
		}
		status := follower.subscriber.Status()
		if status.Version != version || hex.EncodeToString(status.Digest[:]) != digest {
			faults = append(faults, fmt.Sprintf("%s: holds version %d with digest %x, not version %d with digest %s",
				follower.name, status.Version, status.Digest, version, digest))
		}
	}
	return faults
}

// Totals are counts of followers since they were made.
type Totals struct {
	BytesIn  int64
	BytesOut int64
	Accepted uint64 // versions put in force
	Refused  uint64
	Deferred uint64 // snapshots put off by a publisher
	Unsaved  int    // versions that could not be kept on disk
	Lost     uint64 // connections that failed or were ended by the other side
	Given    uint64 // connections that followers gave up, whatever the cause
	Broken   uint64 // malformed messages, deltas that did not fit and digests that differed
}

func (t *Totals) add(status subscriber.Status) {
	counters := &status.Counters
	t.join(Totals{
		BytesIn:  status.BytesIn,
		BytesOut: status.BytesOut,
		Accepted: counters.Accepted,
		Refused:  counters.Refused,
		Deferred: counters.Deferred,
		Unsaved:  status.Unsaved,
		Lost:     counters.Lost,
		Given:    counters.Silent + counters.Stale + counters.Stalled + counters.Behind + counters.OtherLog,
		Broken:   counters.Malformed + counters.Gaps + counters.Digests,
	})
}

func (t *Totals) join(other Totals) {
	t.BytesIn += other.BytesIn
	t.BytesOut += other.BytesOut
	t.Accepted += other.Accepted
	t.Refused += other.Refused
	t.Deferred += other.Deferred
	t.Unsaved += other.Unsaved
	t.Lost += other.Lost
	t.Given += other.Given
	t.Broken += other.Broken
}

// frameSizes knows how many bytes each delta has on the wire. Followers that get the same delta get the same bytes.
type frameSizes struct {
	sizes sync.Map // by span
}

// span names a delta of a log.
type span struct{ from, to configsync.Version }

func newFrameSizes() *frameSizes { return &frameSizes{} }

// note takes in an update, encoding the first of each span alone.
func (s *frameSizes) note(update *configsync.Update) {
	if update.Delta == nil {
		return
	}
	key := span{update.From, update.To}
	_, known := s.sizes.Load(key)
	if !known {
		s.sizes.Store(key, len(configsync.Encode(update.Delta)))
	}
}

// bytes gives the bytes of an update on the wire; 0 for a snapshot.
func (s *frameSizes) bytes(applied *Applied) int {
	size, known := s.sizes.Load(span{applied.From, applied.To})
	if !known || applied.Snapshot {
		return 0
	}
	return size.(int)
}
