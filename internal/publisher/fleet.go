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

// fleetTimeout bounds the wait for the other replicas.
const fleetTimeout = 2 * time.Second

// FleetStatus is the status of all replicas and of their followers.
type FleetStatus struct {
	Replicas []ReplicaStatus `json:"replicas"`

	// Followers are sorted by member index. Each is as its present replica reports it, or the latest one.
	Followers []Follower `json:"followers"`
}

// ReplicaStatus is the status of a replica without its followers, or the error of the request for it.
type ReplicaStatus struct {
	*Status
	Replica int    `json:"replica"`
	Error   string `json:"error,omitempty"`
}

// FleetStatus returns the status of all replicas. It requests those of the others and waits for them for a short time.
func (p *Publisher) FleetStatus(ctx context.Context) *FleetStatus {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	fleet := &FleetStatus{Replicas: make([]ReplicaStatus, len(p.cfg.AdminAddresses))}
	var requests sync.WaitGroup
	for i := range fleet.Replicas {
		requests.Go(func() { fleet.Replicas[i] = p.statusAt(ctx, i) })
	}
	requests.Wait()
	fleet.Followers = mergeFollowers(fleet.Replicas)
	return fleet
}

// statusAt returns the status of a replica, which it requests unless the replica is this one.
func (p *Publisher) statusAt(ctx context.Context, replica int) ReplicaStatus {
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

// mergeFollowers moves the followers out of the statuses of the replicas, each gateway once: as reported by the
// replica that it is connected to, or otherwise by the one with its latest message.
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

func (f *Follower) newerThan(other *Follower) bool {
	if f.Connected != other.Connected {
		return f.Connected
	}
	return f.SinceLastMessageMS < other.SinceLastMessageMS
}
