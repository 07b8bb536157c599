package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"ravensill/pool"
)

// Pool is the optional section on a store that all gateways share and that takes only so many connections
// (docs/pool.md).
type Pool struct {
	Terms    pool.Terms
	Capacity int              // connections that the store takes
	Serial   uint64           // of the capacity: the highest serial that any gateway was told counts
	Weight   float64          // of this gateway's share
	Voters   []netip.AddrPort // UDP of the gateways that write down what is lent, as this gateway sees them
	Streams  []netip.AddrPort // TCP of the same; Voters where not given
	Seats    []int            // of these gateways
	Listen   netip.AddrPort   // where a voter listens for them
	Dir      string           // what a voter keeps on disk
	Key      []byte           // all messages are signed with it
	Election time.Duration    // without a word of the leader before another is elected
	Turn     time.Duration    // the longest that a req waits for a connection
	Urgent   map[string]bool  // names of request classes that go first within the floor
}

// VoterIndex returns the index of a member among the voters, -1 if it is none.
func (p *Pool) VoterIndex(member int) int {
	for i, voter := range p.Seats {
		if voter == member {
			return i
		}
	}
	return -1
}

// pool reads the section; nil where there is none.
func (c *Config) pool(raw string) (*Pool, error) {
	if raw == "" {
		return nil, nil
	}
	text := struct {
		Capacity int      `json:"capacity"`
		Serial   uint64   `json:"serial"`
		Reserve  int      `json:"reserve"`
		Floor    int      `json:"floor"`
		Weight   float64  `json:"weight"`
		Voters   []string `json:"voters"`
		Streams  []string `json:"streams"`
		Seats    []int    `json:"voter_seats"`
		Listen   string   `json:"listen"`
		Dir      string   `json:"dir"`
		Key      string   `json:"key"`
		Lease    int      `json:"lease_ms"`
		Tell     int      `json:"tell_ms"`
		Hold     int      `json:"hold_ms"`
		Rest     int      `json:"rest_ms"`
		Election int      `json:"election_ms"`
		Turn     int      `json:"turn_ms"`
		Drift    float64  `json:"drift"`
		Urgent   []string `json:"urgent"`
	}{Serial: 1, Weight: 1, Lease: 5000, Hold: 500, Rest: 20, Election: 1000, Drift: 0.01}
	if err := strict(raw, &text); err != nil {
		return nil, err
	}
	if text.Tell == 0 {
		text.Tell = min(text.Lease/10, 100)
	}
	target, longest := int64(1<<62), int64(0)
	for _, f := range c.Classes {
		target, longest = min(target, f.LatencyObjective), max(longest, f.Timeout)
	}
	if text.Turn == 0 {
		text.Turn = max(int(target/4e6), 1)
	}
	for _, n := range []struct {
		key         string
		v, from, to int
	}{{"capacity", text.Capacity, 1, 1 << 20}, {"reserve", text.Reserve, 0, 1 << 20}, {"floor", text.Floor, 1, 1 << 16},
		{"lease_ms", text.Lease, 500, 60_000}, {"tell_ms", text.Tell, 20, text.Lease / 5}, {"hold_ms", text.Hold, 1, 60_000},
		{"rest_ms", text.Rest, 0, 1000}, {"election_ms", text.Election, 100, 30_000}, {"turn_ms", text.Turn, 1, 60_000}} {
		if n.v < n.from || n.v > n.to {
			return nil, fmt.Errorf("%s: %d is not from %d to %d", n.key, n.v, n.from, n.to)
		}
	}
	const ms = int64(time.Millisecond)
	p := &Pool{Capacity: text.Capacity, Serial: text.Serial, Weight: text.Weight, Dir: text.Dir,
		Election: time.Duration(text.Election) * time.Millisecond, Turn: time.Duration(text.Turn) * time.Millisecond,
		Terms: pool.Terms{Members: c.Membership.Count, Floor: text.Floor, Reserve: text.Reserve, Lease: int64(text.Lease) * ms,
			Drain: longest + int64(text.Lease)*ms, Drift: text.Drift, TargetHold: int64(text.Hold) * ms, ReportInterval: int64(text.Tell) * ms,
			CloseDelay: int64(text.Rest) * ms},
		Urgent: make(map[string]bool, len(text.Urgent))}
	var err error
	switch {
	case text.Serial < 1:
		return nil, errors.New("serial: 0 is below 1")
	case !(text.Weight > 0 && text.Weight <= 1000):
		return nil, fmt.Errorf("weight: %g is not above 0 and up to 1000", text.Weight)
	case !(text.Drift >= 0 && text.Drift <= 0.2):
		return nil, fmt.Errorf("drift: %g is not from 0 to 0.2", text.Drift)
	case text.Floor*c.Membership.Count > text.Capacity-text.Reserve:
		return nil, fmt.Errorf("floor: %d for each of %d gateways is more than capacity less reserve, %d", text.Floor, c.Membership.Count,
			text.Capacity-text.Reserve)
	case len(text.Voters) != 1 && len(text.Voters) != 3 && len(text.Voters) != 5 && len(text.Voters) != 7:
		return nil, fmt.Errorf("voters: %d addresses; 1, 3, 5 or 7 wanted", len(text.Voters))
	case len(text.Streams) != 0 && len(text.Streams) != len(text.Voters):
		return nil, fmt.Errorf("streams: %d addresses for %d voters", len(text.Streams), len(text.Voters))
	case len(text.Seats) != len(text.Voters):
		return nil, fmt.Errorf("voter_seats: %d seats for %d voters", len(text.Seats), len(text.Voters))
	}
	if p.Key, err = hex.DecodeString(text.Key); err != nil || len(p.Key) < 16 {
		return nil, errors.New("key: 32 hex digits or more wanted")
	}
	for i, v := range text.Voters {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return nil, fmt.Errorf("voters.%d: %w", i, err)
		}
		p.Voters = append(p.Voters, a)
	}
	p.Streams = p.Voters
	if len(text.Streams) > 0 {
		p.Streams = nil
	}
	for i, v := range text.Streams {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return nil, fmt.Errorf("streams.%d: %w", i, err)
		}
		p.Streams = append(p.Streams, a)
	}
	for i, s := range text.Seats {
		if s < 0 || s >= c.Membership.Count || p.VoterIndex(s) >= 0 {
			return nil, fmt.Errorf("voter_seats.%d: %d is no seat, or a second time one", i, s)
		}
		p.Seats = append(p.Seats, s)
	}
	if p.VoterIndex(c.Membership.Index) >= 0 {
		if p.Dir == "" {
			return nil, errors.New("dir: missing")
		}
		if p.Listen, err = netip.ParseAddrPort(text.Listen); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	classes := make(map[string]bool, len(c.ClassNames))
	for _, name := range c.ClassNames {
		classes[name] = true
	}
	for i, name := range text.Urgent {
		if !classes[name] {
			return nil, fmt.Errorf("urgent.%d: no frontend %q", i, name)
		}
		p.Urgent[name] = true
	}
	return p, nil
}
