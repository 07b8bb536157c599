package config

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"ravensill/pool"
)

// Pool is the optional section on a store that all gateways share and whose connections are limited (docs/pool.md).
type Pool struct {
	Terms    pool.Terms
	Capacity int     // connections that the store accepts
	Serial   uint64  // of the capacity: the highest serial that any gateway is configured with counts
	Weight   float64 // of this gateway's quota

	Voters       []netip.AddrPort // UDP of the gateways that record the leases, as this gateway sees them
	VoterStreams []netip.AddrPort // TCP of the same gateways
	VoterMembers []int            // member indices of the same gateways
	Listen       netip.AddrPort   // where a voter listens for them
	Dir          string           // of a voter's stored state
	Key          []byte           // signs all messages

	ElectionTimeout time.Duration   // without contact to the leader before another is elected
	MaxWait         time.Duration   // of a request for a connection
	UrgentClasses   map[string]bool // request classes that are served first within the floor, by name
}

// VoterIndex returns the index of a member among the voters, -1 if it is none.
func (p *Pool) VoterIndex(member int) int { return slices.Index(p.VoterMembers, member) }

// poolSection is the section as it is written.
type poolSection struct {
	Capacity   int      `json:"capacity"`
	Serial     uint64   `json:"serial"`
	Reserve    int      `json:"reserve"`
	Floor      int      `json:"floor"`
	Weight     float64  `json:"weight"`
	Voters     []string `json:"voters"`
	Streams    []string `json:"streams"`
	VoterSeats []int    `json:"voter_seats"`
	Listen     string   `json:"listen"`
	Dir        string   `json:"dir"`
	Key        string   `json:"key"`
	LeaseMS    int      `json:"lease_ms"`
	TellMS     int      `json:"tell_ms"`
	HoldMS     int      `json:"hold_ms"`
	RestMS     int      `json:"rest_ms"`
	ElectionMS int      `json:"election_ms"`
	TurnMS     int      `json:"turn_ms"`
	Drift      float64  `json:"drift"`
	Urgent     []string `json:"urgent"`
}

// What follows from other keys where the section doesn't set it.
const (
	reportsPerLease            = 10
	maxDefaultReportIntervalMS = 100
	waitsPerObjective          = 4 // longest waits in the shortest latency objective
	maxDefaultWaitMS           = math.MaxInt32
)

// decodePool reads the section; it returns nil where there is none.
func decodePool(raw string, settings *Settings) (*Pool, error) {
	if raw == "" {
		return nil, nil
	}
	section := &poolSection{
		Serial:     1,
		Weight:     1,
		LeaseMS:    5000,
		HoldMS:     500,
		RestMS:     20,
		ElectionMS: 1000,
		Drift:      0.01,
	}
	if err := decodeSection(raw, section); err != nil {
		return nil, err
	}
	section.addDefaults(settings)
	if err := section.checkNumbers(); err != nil {
		return nil, err
	}
	if err := section.checkFleet(settings.Membership.Count); err != nil {
		return nil, err
	}
	p := section.pool(settings)
	if err := p.readVoters(section, settings.Membership.Count); err != nil {
		return nil, err
	}
	if err := p.readVoter(section, settings.Membership.Index); err != nil {
		return nil, err
	}
	return p, p.readUrgentClasses(section.Urgent, settings.ClassNames)
}

// addDefaults sets what follows from other keys.
func (s *poolSection) addDefaults(settings *Settings) {
	if s.TellMS == 0 {
		s.TellMS = min(s.LeaseMS/reportsPerLease, maxDefaultReportIntervalMS)
	}
	if s.TurnMS > 0 {
		return
	}
	objective := time.Duration(math.MaxInt64)
	for i := range settings.Classes {
		objective = min(objective, settings.Classes[i].LatencyObjective)
	}
	wait := objective / waitsPerObjective
	s.TurnMS = int(max(min(wait.Milliseconds(), maxDefaultWaitMS), 1))
}

// checkNumbers checks each integer against its bounds.
func (s *poolSection) checkNumbers() error {
	return checkIntegers(
		integer{"capacity", s.Capacity, 1, 1 << 20},
		integer{"reserve", s.Reserve, 0, 1 << 20},
		integer{"floor", s.Floor, 1, 1 << 16},
		integer{"lease_ms", s.LeaseMS, 500, 60_000},
		integer{"tell_ms", s.TellMS, 20, s.LeaseMS / 5},
		integer{"hold_ms", s.HoldMS, 1, 60_000},
		integer{"rest_ms", s.RestMS, 0, 1000},
		integer{"election_ms", s.ElectionMS, 100, 30_000},
		integer{"turn_ms", s.TurnMS, 1, 60_000},
	)
}

// checkFleet checks what depends on the number of gateways and on other keys.
func (s *poolSection) checkFleet(members int) error {
	if s.Serial < 1 {
		return keyErrorf("serial", "0 is below 1")
	}
	if err := checkFraction("weight", s.Weight, 0, 1000, true); err != nil {
		return err
	}
	if err := checkFraction("drift", s.Drift, 0, 0.2, false); err != nil {
		return err
	}
	voters := len(s.Voters)
	available := s.Capacity - s.Reserve
	switch {
	case s.Floor*members > available:
		return keyErrorf("floor", "%d for each of %d gateways is more than capacity less reserve, %d", s.Floor, members,
			available)
	case !slices.Contains([]int{1, 3, 5, 7}, voters):
		return keyErrorf("voters", "%d addresses; 1, 3, 5 or 7 wanted", voters)
	case !slices.Contains([]int{0, voters}, len(s.Streams)):
		return keyErrorf("streams", "%d addresses for %d voters", len(s.Streams), voters)
	case len(s.VoterSeats) != voters:
		return keyErrorf("voter_seats", "%d seats for %d voters", len(s.VoterSeats), voters)
	}
	return nil
}

// pool returns the section's values but for its addresses, key and request classes.
func (s *poolSection) pool(settings *Settings) *Pool {
	longestTimeout := time.Duration(0)
	for i := range settings.Classes {
		longestTimeout = max(longestTimeout, settings.Classes[i].Timeout)
	}
	lease := milliseconds(s.LeaseMS)
	return &Pool{
		Capacity:        s.Capacity,
		Serial:          s.Serial,
		Weight:          s.Weight,
		Dir:             s.Dir,
		ElectionTimeout: milliseconds(s.ElectionMS),
		MaxWait:         milliseconds(s.TurnMS),
		Terms: pool.Terms{
			Members:        settings.Membership.Count,
			Floor:          s.Floor,
			Reserve:        s.Reserve,
			Lease:          lease,
			Drain:          longestTimeout + lease,
			Drift:          s.Drift,
			TargetHold:     milliseconds(s.HoldMS),
			ReportInterval: milliseconds(s.TellMS),
			CloseDelay:     milliseconds(s.RestMS),
		},
	}
}

// readVoters reads the key and who the voters are.
func (p *Pool) readVoters(section *poolSection, members int) (err error) {
	p.Key, err = parseSecret("key", section.Key)
	if err != nil {
		return err
	}
	p.Voters, err = parseAddresses("voters", section.Voters)
	if err != nil {
		return err
	}
	p.VoterStreams = p.Voters
	if len(section.Streams) > 0 {
		p.VoterStreams, err = parseAddresses("streams", section.Streams)
	}
	if err != nil {
		return err
	}
	for i, member := range section.VoterSeats {
		if member < 0 || member >= members || p.VoterIndex(member) >= 0 {
			return keyErrorf(elementPath("voter_seats", i), "%d is no seat, or a second time one", member)
		}
		p.VoterMembers = append(p.VoterMembers, member)
	}
	return nil
}

// readVoter reads what this gateway needs if it is a voter.
func (p *Pool) readVoter(section *poolSection, member int) (err error) {
	if p.VoterIndex(member) < 0 {
		return nil
	}
	if p.Dir == "" {
		return keyError("dir", errMissing)
	}
	p.Listen, err = netip.ParseAddrPort(section.Listen)
	return keyError("listen", err)
}

// readUrgentClasses reads the names of the urgent request classes.
func (p *Pool) readUrgentClasses(urgent, classes []string) error {
	known := make(map[string]bool, len(classes))
	for _, name := range classes {
		known[name] = true
	}
	p.UrgentClasses = make(map[string]bool, len(urgent))
	for i, name := range urgent {
		if !known[name] {
			return keyErrorf(elementPath("urgent", i), "no frontend %q", name)
		}
		p.UrgentClasses[name] = true
	}
	return nil
}
