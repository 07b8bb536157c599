package config

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"ravensill/pool"
)

// Pool is the optional section on a store that all gateways share and that accepts a limited number of connections. A
// few gateways, the voters, lease connections to all gateways and record the leases (docs/pool.md).
type Pool struct {
	Terms    pool.Terms
	Capacity int     // connections that the store accepts
	Serial   uint64  // version of Capacity: the capacity with the highest serial at any gateway applies
	Weight   float64 // weight of this gateway in the division of connections, relative to the others; above 0

	Voters       []netip.AddrPort // UDP, for messages from gateways, as this gateway sees the voters
	VoterStreams []netip.AddrPort // TCP, for messages between the voters; by the same index
	VoterMembers []int            // member indices of the voters; by the same index
	Listen       netip.AddrPort   // UDP and TCP, where this gateway listens if it is a voter
	Dir          string           // where a voter stores its state
	Key          []byte           // secret that signs all messages

	ElectionTimeout time.Duration   // time without contact to the leader after which the voters elect another
	MaxWait         time.Duration   // longest time that a request waits for a connection
	UrgentClasses   map[string]bool // names of the classes that get connections first, within the floor of Terms
}

// VoterIndex returns the index of a member among the voters, or -1 if the member is not a voter.
func (p *Pool) VoterIndex(member int) int { return slices.Index(p.VoterMembers, member) }

// poolSection is the JSON object at the key pool of the file, before it is checked and converted.
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

// The defaults of the report interval and of the longest wait follow from other keys.
const (
	reportsPerLease            = 10            // reports that a gateway sends by default while a lease lasts
	maxDefaultReportIntervalMS = 100           // longest default report interval
	waitsPerObjective          = 4             // the default wait is this part of the shortest latency objective
	maxDefaultWaitMS           = math.MaxInt32 // so that the conversion to int can't overflow
)

// decodePool decodes the section. It returns nil for an empty text, if the file has no such section.
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
	section.setDefaults(settings)
	if err := section.checkBounds(); err != nil {
		return nil, err
	}
	if err := section.checkConsistency(settings.Membership.Count); err != nil {
		return nil, err
	}
	p := section.newPool(settings)
	if err := p.readVoters(section, settings.Membership.Count); err != nil {
		return nil, err
	}
	if err := p.readOwnVoter(section, settings.Membership.Index); err != nil {
		return nil, err
	}
	return p, p.readUrgentClasses(section.Urgent, settings.ClassNames)
}

// setDefaults sets the report interval and the longest wait, if they are missing, by other keys.
func (s *poolSection) setDefaults(settings *Settings) {
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

// checkBounds returns an error for the first integer that is out of its bounds.
func (s *poolSection) checkBounds() error {
	return checkIntegers(
		boundedInteger{"capacity", s.Capacity, 1, 1 << 20},
		boundedInteger{"reserve", s.Reserve, 0, 1 << 20},
		boundedInteger{"floor", s.Floor, 1, 1 << 16},
		boundedInteger{"lease_ms", s.LeaseMS, 500, 60_000},
		boundedInteger{"tell_ms", s.TellMS, 20, s.LeaseMS / 5},
		boundedInteger{"hold_ms", s.HoldMS, 1, 60_000},
		boundedInteger{"rest_ms", s.RestMS, 0, 1000},
		boundedInteger{"election_ms", s.ElectionMS, 100, 30_000},
		boundedInteger{"turn_ms", s.TurnMS, 1, 60_000},
	)
}

// checkConsistency checks the other numbers of the section, and what depends on the number of gateways or on several
// keys.
func (s *poolSection) checkConsistency(members int) error {
	if s.Serial < 1 {
		return keyErrorf("serial", "0 is below 1")
	}
	if err := checkNumber("weight", s.Weight, 0, 1000, true); err != nil {
		return err
	}
	if err := checkNumber("drift", s.Drift, 0, 0.2, false); err != nil {
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

// newPool returns a Pool with the values of the section except its addresses, key and urgent request classes.
func (s *poolSection) newPool(settings *Settings) *Pool {
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

// readVoters reads the key, and the addresses and member indices of the voters.
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

// readOwnVoter reads the keys that this gateway needs if it is a voter.
func (p *Pool) readOwnVoter(section *poolSection, member int) (err error) {
	if p.VoterIndex(member) < 0 {
		return nil
	}
	if p.Dir == "" {
		return keyError("dir", errMissing)
	}
	p.Listen, err = netip.ParseAddrPort(section.Listen)
	return keyError("listen", err)
}

// readUrgentClasses reads the names of the urgent request classes, which must be names of the settings.
func (p *Pool) readUrgentClasses(names, classes []string) error {
	known := make(map[string]bool, len(classes))
	for _, name := range classes {
		known[name] = true
	}
	p.UrgentClasses = make(map[string]bool, len(names))
	for i, name := range names {
		if !known[name] {
			return keyErrorf(elementPath("urgent", i), "no frontend %q", name)
		}
		p.UrgentClasses[name] = true
	}
	return nil
}
