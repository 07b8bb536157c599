package config

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"ravensill/pool"
)

// Pool is the optional section on a store that all gateways share and that takes only so many connections (docs/pool.md).
type Pool struct {
	Terms    pool.Terms
	Capacity int              // connections that the store takes
	Serial   uint64           // of the capacity: the highest serial that any gateway is configured with counts
	Weight   float64          // of this gateway's quota
	Voters   []netip.AddrPort // UDP of the gateways that record the leases, as this gateway sees them
	Streams  []netip.AddrPort // TCP of the same; Voters where not given
	Seats    []int            // member indices of these gateways
	Listen   netip.AddrPort   // where a voter listens for them
	Dir      string           // what a voter keeps on disk
	Key      []byte           // all messages are signed with it
	Election time.Duration    // without contact to the leader before another is elected
	Turn     time.Duration    // the longest that a request waits for a connection
	Urgent   map[string]bool  // names of request classes that go first within the floor
}

// VoterIndex returns the index of a member among the voters, -1 if it is none.
func (p *Pool) VoterIndex(member int) int { return slices.Index(p.Seats, member) }

// poolSection is the section as it is written.
type poolSection struct {
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
}

// pool reads the section; nil where there is none.
func (c *Config) pool(raw string) (*Pool, error) {
	if raw == "" {
		return nil, nil
	}
	text := &poolSection{Serial: 1, Weight: 1, Lease: 5000, Hold: 500, Rest: 20, Election: 1000, Drift: 0.01}
	if err := strict(raw, text); err != nil {
		return nil, err
	}
	text.addDefaults(c)
	if err := text.checkNumbers(); err != nil {
		return nil, err
	}
	if err := text.checkFleet(c.Membership.Count); err != nil {
		return nil, err
	}
	p := text.pool(c)
	if err := p.readVoters(text, c); err != nil {
		return nil, err
	}
	return p, p.readUrgent(text.Urgent, c.ClassNames)
}

// addDefaults sets what follows from other keys.
func (t *poolSection) addDefaults(c *Config) {
	if t.Tell == 0 {
		t.Tell = min(t.Lease/10, 100)
	}
	if t.Turn > 0 {
		return
	}
	objective := time.Duration(math.MaxInt64)
	for i := range c.Classes {
		objective = min(objective, c.Classes[i].LatencyObjective)
	}
	quarter := objective / (4 * time.Millisecond)
	t.Turn = int(max(min(quarter, math.MaxInt32), 1))
}

// checkNumbers looks at the numbers that stand for themselves.
func (t *poolSection) checkNumbers() error {
	return checkIntegers(
		integer{"capacity", t.Capacity, 1, 1 << 20},
		integer{"reserve", t.Reserve, 0, 1 << 20},
		integer{"floor", t.Floor, 1, 1 << 16},
		integer{"lease_ms", t.Lease, 500, 60_000},
		integer{"tell_ms", t.Tell, 20, t.Lease / 5},
		integer{"hold_ms", t.Hold, 1, 60_000},
		integer{"rest_ms", t.Rest, 0, 1000},
		integer{"election_ms", t.Election, 100, 30_000},
		integer{"turn_ms", t.Turn, 1, 60_000},
	)
}

// checkFleet looks at what depends on the number of gateways and on other keys.
func (t *poolSection) checkFleet(members int) error {
	if t.Serial < 1 {
		return keyErrorf("serial", "0 is below 1")
	}
	if err := fractionError("weight", t.Weight, 0, 1000, true); err != nil {
		return err
	}
	if err := fractionError("drift", t.Drift, 0, 0.2, false); err != nil {
		return err
	}
	voters := len(t.Voters)
	switch {
	case t.Floor*members > t.Capacity-t.Reserve:
		return keyErrorf("floor", "%d for each of %d gateways is more than capacity less reserve, %d", t.Floor, members,
			t.Capacity-t.Reserve)
	case !slices.Contains([]int{1, 3, 5, 7}, voters):
		return keyErrorf("voters", "%d addresses; 1, 3, 5 or 7 wanted", voters)
	case !slices.Contains([]int{0, voters}, len(t.Streams)):
		return keyErrorf("streams", "%d addresses for %d voters", len(t.Streams), voters)
	case len(t.Seats) != voters:
		return keyErrorf("voter_seats", "%d seats for %d voters", len(t.Seats), voters)
	}
	return nil
}

// pool converts the numbers.
func (t *poolSection) pool(c *Config) *Pool {
	const ms = int64(time.Millisecond)
	longest := time.Duration(0)
	for i := range c.Classes {
		longest = max(longest, c.Classes[i].Timeout)
	}
	lease := int64(t.Lease) * ms
	return &Pool{
		Capacity: t.Capacity,
		Serial:   t.Serial,
		Weight:   t.Weight,
		Dir:      t.Dir,
		Election: time.Duration(t.Election) * time.Millisecond,
		Turn:     time.Duration(t.Turn) * time.Millisecond,
		Terms: pool.Terms{
			Members:        c.Membership.Count,
			Floor:          t.Floor,
			Reserve:        t.Reserve,
			Lease:          lease,
			Drain:          int64(longest) + lease,
			Drift:          t.Drift,
			TargetHold:     int64(t.Hold) * ms,
			ReportInterval: int64(t.Tell) * ms,
			CloseDelay:     int64(t.Rest) * ms,
		},
		Urgent: make(map[string]bool, len(t.Urgent)),
	}
}

// readVoters reads the key and the voters, and what this gateway needs if it is one.
func (p *Pool) readVoters(text *poolSection, c *Config) (err error) {
	if p.Key, err = parseSecret("key", text.Key); err != nil {
		return err
	}
	if p.Voters, err = parseAddresses("voters", text.Voters); err != nil {
		return err
	}
	p.Streams = p.Voters
	if len(text.Streams) > 0 {
		p.Streams, err = parseAddresses("streams", text.Streams)
	}
	if err != nil {
		return err
	}
	for i, member := range text.Seats {
		if member < 0 || member >= c.Membership.Count || p.VoterIndex(member) >= 0 {
			return keyErrorf(elementPath("voter_seats", i), "%d is no seat, or a second time one", member)
		}
		p.Seats = append(p.Seats, member)
	}
	if p.VoterIndex(c.Membership.Index) < 0 {
		return nil
	}
	if p.Dir == "" {
		return keyError("dir", errMissing)
	}
	p.Listen, err = netip.ParseAddrPort(text.Listen)
	return keyError("listen", err)
}

// readUrgent reads the names of the urgent request classes.
func (p *Pool) readUrgent(urgent, classes []string) error {
	known := make(map[string]bool, len(classes))
	for _, name := range classes {
		known[name] = true
	}
	for i, name := range urgent {
		if !known[name] {
			return keyErrorf(elementPath("urgent", i), "no frontend %q", name)
		}
		p.Urgent[name] = true
	}
	return nil
}
