package hosts

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

var (
	errTurn   = errors.New("no connection in time") // of the quota; it never ran
	errStore  = errors.New("the store refused the connection")
	brief     = int64(time.Millisecond)      // connections of a quota are too few to rest for long
	dialAgain = int64(50 * time.Millisecond) // after a refusal, doubled up to
	dialMost  = int64(400 * time.Millisecond)
	shortest  = int64(50 * time.Millisecond) // that a client is told to stay away,
	longest   = int64(2 * time.Second)       // and the longest
)

// Gate keeps a fleet to a quota of connections, dials included, all hosts together: they are one store. A send without
// a connection waits its turn, urgent ones first while these have less than the floor. Where its turn would come too
// late it is turned away at once, with the time to come back. The store's refusal is an answer like others: the
// send waits on, and dials pause.
type Gate struct {
	fleet   *Fleet
	allowed func(now int64) int // connections that may be there now
	turned  func(long int64)    // takes in that a send was turned away, and how long it would have used a connection
	floor   int
	turn    int64   // the longest wait
	queue   []*Send // the longest waiting first
	service float64 // a send's time on a connection, on average
	urgent  int     // urgent ones on a connection
	pause   int64   // between dials, after refusals
	dialAt  int64
	armed   bool // a look at the queue is due
	back    int64

	Waited, Away, Refused, Dials int // sends that waited and were turned away, refusals and dials, since the start
}

// Limit puts a gate in front of the fleet, from the start on.
func (f *Fleet) Limit(floor int, turn time.Duration, allowed func(now int64) int, turned func(long int64)) *Gate {
	f.settle = brief
	f.gate = &Gate{fleet: f, allowed: allowed, turned: turned, floor: floor, turn: int64(turn)}
	return f.gate
}

// Urgent says that the next dispatch is of an urgent frontend, or not.
func (g *Gate) Urgent(yes bool) { g.fleet.urgent = yes }

// Back gives the time to come back while a send that was turned away reports its end; 0 at any other.
func (g *Gate) Back() int64 { return g.back }

// Use gives the connections, dials included, and the sends on one or waiting for one.
func (g *Gate) Use() (held, use int) {
	f := g.fleet
	idle := f.free.Len() + f.dialing
	return f.count, len(g.queue) + f.waiting + max(f.count-idle, 0)
}

// take has a send wait for its turn, which may be now.
func (g *Gate) take(s *Send, wait int64) {
	now := g.fleet.now()
	s.until = now + min(g.turn, wait/2)
	g.queue = append(g.queue, s)
	g.pump()
	if s.over || s.conn != nil || !slices.Contains(g.queue, s) {
		return
	}
	g.Waited++
	allowed, busy := g.allowed(now), 0
	if _, use := g.Use(); use > len(g.queue) {
		busy = use - len(g.queue)
	}
	ahead := float64(max(slices.Index(g.queue, s)+1-max(allowed-busy, 0), 0)) // of those that no connection rests for
	if now+int64(ahead*g.service/float64(max(allowed, 1))) > s.until {
		g.away(s)
		return
	}
	time.AfterFunc(time.Duration(s.until-now), func() { g.fleet.do(g.pump) })
}

// away turns a send away.
func (g *Gate) away(s *Send) {
	now := g.fleet.now()
	g.drop(s)
	g.Away++
	g.turned(int64(g.service))
	turn := int64(float64(len(g.queue)+1) * g.service / float64(max(g.allowed(now), 1)))
	g.back = min(max(turn, g.dialAt-now, shortest), longest)
	s.fail(&Failure{Connecting, errTurn})
	g.back = 0
}

func (g *Gate) drop(s *Send) {
	g.queue = slices.DeleteFunc(g.queue, func(o *Send) bool { return o == s })
}

// next gives the queue in the order of turns.
func (g *Gate) next() []*Send {
	all := slices.Clone(g.queue)
	room := g.floor - g.urgent
	first := func(s *Send) bool { return s.urgent }
	if room > 0 && slices.ContainsFunc(all, first) {
		slices.SortStableFunc(all, func(a, b *Send) int {
			switch {
			case a.urgent == b.urgent:
				return 0
			case a.urgent:
				return -1
			}
			return 1
		})
	}
	return all
}

// pump closes what is beyond the quota and carries nothing, and gives connections to those whose turn it is.
func (g *Gate) pump() {
	f := g.fleet
	now := f.now()
	allowed := g.allowed(now)
	for f.count > allowed && f.closeOldest(nil) {
	}
	if len(g.queue) == 0 {
		return
	}
	for _, s := range g.next() {
		h := s.host
		switch {
		case s.over:
			g.drop(s)
		case h.gone:
			g.drop(s)
			s.fail(&Failure{Connecting, errGone})
		case now >= s.until:
			g.away(s)
		default:
			if c := h.rested(now); c != nil {
				g.drop(s)
				c.carry(s)
			} else if now >= g.dialAt && len(h.free) == 0 && (f.count < allowed || f.count == allowed && f.closeOldest(h)) {
				g.drop(s)
				g.Dials++
				h.wait(append(h.waiting, s))
				h.dial()
			}
		}
	}
	if rest := g.resting(now); rest > 0 && !g.armed {
		g.armed = true
		time.AfterFunc(time.Duration(rest), func() {
			f.do(func() {
				g.armed = false
				g.pump()
			})
		})
	}
}

// resting gives the time until a connection that rests, or a dial that was put off, may serve the queue; 0 where
// only an answer can. Each answer has the loop look again anyhow.
func (g *Gate) resting(now int64) int64 {
	for _, s := range g.queue {
		if len(s.host.free) > 0 {
			return brief
		}
	}
	if len(g.queue) > 0 && now < g.dialAt {
		return g.dialAt - now
	}
	return 0
}

// closeOldest closes the connection that is free the longest, of a host that nobody waits for; not of this one.
func (f *Fleet) closeOldest(not *Host) bool {
	for e := f.free.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if c.host == not || not != nil && f.gate.awaited(c.host) {
			continue
		}
		c.close()
		return true
	}
	return false
}

// awaited tells whether a send to the host waits for its turn.
func (g *Gate) awaited(h *Host) bool {
	return slices.ContainsFunc(g.queue, func(s *Send) bool { return s.host == h })
}

// refused takes a send back that the store refused a connection, and tells whether it did: anything else that befell
// the dial is the host's.
func (g *Gate) refused(s *Send, err error) bool {
	if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, errStore) {
		return false
	}
	g.slow()
	s.conn, s.begun = nil, false
	if g.fleet.now() >= s.until {
		g.away(s)
	} else {
		g.queue = append([]*Send{s}, g.queue...)
		g.pump()
	}
	return true
}

// slow counts a refusal and has dials pause.
func (g *Gate) slow() {
	g.Refused++
	g.pause = min(max(2*g.pause, dialAgain), dialMost)
	g.dialAt = g.fleet.now() + g.pause
}

// rest has a new connection stay free for a moment, as one that has just carried an answer does: a store that is full may
// take a connection and end it at once, and a req written to that may have run.
func (g *Gate) rest(h *Host) {
	if len(h.waiting) > 0 {
		g.queue = append(h.waiting[:1:1], g.queue...)
		h.wait(h.waiting[1:])
	}
}

// carried and done count a send on and off a connection.
func (g *Gate) carried(s *Send) {
	if s.urgent {
		g.urgent++
	}
}

func (g *Gate) done(s *Send, well bool) {
	if s.urgent {
		g.urgent--
	}
	if well {
		g.pause = 0
		if long := float64(g.fleet.now() - s.wrote); g.service == 0 {
			g.service = long
		} else {
			g.service += (long - g.service) / 16
		}
	}
}
