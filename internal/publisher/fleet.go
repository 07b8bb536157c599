package publisher

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// fleetTimeout is the longest time that FleetStatus waits for the other replicas.
const fleetTimeout = 2 * time.Second

// FleetStatus is the status of all replicas and of their followers.
type FleetStatus struct {
	Replicas []ReplicaStatus `json:"replicas"`

	// Followers has each gateway once, sorted by member index. The entry is from the replica that the gateway is
	// connected to, or from the replica with its latest message if it is not connected.
	Followers []Follower `json:"followers"`
}

// ReplicaStatus is the status of a replica without its followers, or the error of the request for that status.
type ReplicaStatus struct {
	*Status        // nil: the request failed
	Replica int    `json:"replica"`         // index of the replica, set even if Status is nil
	Error   string `json:"error,omitempty"` // empty: Status is set
}

// FleetStatus returns the status of all replicas and their followers. It requests the status of the other replicas over
// HTTP and waits for them for at most fleetTimeout.
func (p *Publisher) FleetStatus(ctx context.Context) *FleetStatus {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	fleet := &FleetStatus{Replicas: make([]ReplicaStatus, len(p.cfg.AdminAddresses))}
	var requests sync.WaitGroup
	for i := range fleet.Replicas {
		requests.Go(func() { fleet.Replicas[i] = p.replicaStatus(ctx, i) })
	}
	requests.Wait()
	fleet.Followers = mergeFollowers(fleet.Replicas)
	return fleet
}

// replicaStatus returns the status of the replica with an index. It requests the status over HTTP unless the replica is
// this one.
func (p *Publisher) replicaStatus(ctx context.Context, replica int) ReplicaStatus {
	if replica == p.cfg.Index {
		return ReplicaStatus{Status: p.Status(), Replica: replica}
	}
	status, err := fetchStatus(ctx, "http://"+p.cfg.AdminAddresses[replica].String()+"/v1/status")
	if err != nil {
		return ReplicaStatus{Replica: replica, Error: err.Error()}
	}
	return ReplicaStatus{Status: status, Replica: replica}
}

func fetchStatus(ctx context.Context, url string) (*Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", response.Status)
	}
	status := &Status{}
	return status, json.NewDecoder(response.Body).Decode(status)
}

// mergeFollowers removes the followers from the replicas' statuses and returns them, each gateway once and sorted by
// member index. Several replicas may report a gateway that has reconnected; newerThan selects the entry.
func mergeFollowers(replicas []ReplicaStatus) []Follower {
	latest := map[int]Follower{}
	for _, replica := range replicas {
		if replica.Status == nil {
			continue
		}
		for _, follower := range replica.Followers {
			known, found := latest[follower.Member]
			if !found || follower.newerThan(&known) {
				latest[follower.Member] = follower
			}
		}
		replica.Followers = nil
	}
	followers := slices.Collect(maps.Values(latest))
	slices.SortFunc(followers, func(a, b Follower) int { return cmp.Compare(a.Member, b.Member) })
	return followers
}

// newerThan reports whether f supersedes another replica's entry of the same gateway: a connected entry precedes one
// that is not, and among equals the one with the later message precedes.
func (f *Follower) newerThan(other *Follower) bool {
	if f.Connected != other.Connected {
		return f.Connected
	}
	return f.SinceLastMessageMS < other.SinceLastMessageMS
}
