package publisher

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// fleetTimeout is how long another replica is waited for.
const fleetTimeout = 2 * time.Second

// Fleet is what all replicas know together.
type Fleet struct {
	Replicas  []ReplicaStatus `json:"replicas"`
	Followers []Follower      `json:"followers"` // by member index; each as the replica tells that it follows, or followed last
}

// ReplicaStatus is a replica's status without its followers, or why it could not be had.
type ReplicaStatus struct {
	*Status
	Replica int    `json:"replica"`
	Error   string `json:"error,omitempty"`
}

// Fleet asks the other replicas.
func (p *Publisher) Fleet(ctx context.Context) *Fleet {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	answers := make([]chan ReplicaStatus, len(p.cfg.Admin))
	for i := range answers {
		answers[i] = make(chan ReplicaStatus, 1)
		go func() { answers[i] <- p.statusAt(ctx, i) }()
	}
	fleet := &Fleet{}
	for i := range answers {
		fleet.Replicas = append(fleet.Replicas, <-answers[i])
	}
	fleet.Followers = mergeFollowers(fleet.Replicas)
	return fleet
}

// statusAt gives the status of a replica.
func (p *Publisher) statusAt(ctx context.Context, replica int) ReplicaStatus {
	if replica == p.cfg.Index {
		return ReplicaStatus{Status: p.Status(), Replica: replica}
	}
	status, err := fetchStatus(ctx, "http://"+p.cfg.Admin[replica].String()+"/v1/status")
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

// mergeFollowers takes the followers out of the replicas' statuses, each gateway once: as the replica tells that is connected
// to it, or else that heard of it last.
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
	return f.SinceMessageMS < other.SinceMessageMS
}
