package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"
)

const (
	flightGateways  = 2
	flightHosts     = 8
	flightRounds    = 160
	flightSpacing   = 125 * time.Millisecond // from one round to the next
	flightEvery     = 40                     // rounds from one disrupted flight to the next
	flightCheckIns  = 20                     // check-ins that a disrupted flight brings at once
	flightUnits     = 4                      // of a check-in; the bucket of the plan basic holds 3
	flightOthers    = 4                      // requests of other airlines in each round
	flightCrossing  = 50 * time.Millisecond  // a request sent this short before the end of its connection may cross it
	flightAfterLast = 6 * time.Second
)

// flightSettings returns the settings of a gateway of east-mids-checkin.toml, with the plan basic besides standard.
func flightSettings(gateways, position int) map[string]any {
	settings := eastMids(gateways, position)
	settings["plans"] = []map[string]any{plan("standard", 5, 20, 1.3), plan("basic", 1, 3, 0.88)}
	return settings
}

// playFlights has the front of each gateway send the requests of many airlines on one connection, without waiting for
// answers. Some times, a disrupted flight brings check-ins of one airline with the plan basic. Without the disruption
// no request is written while another one is open on its connection.
func playFlights(s *scenario) (int, error) {
	f, err := startFleet(s, &fleetOptions{
		gateways: flightGateways, hosts: flightHosts, zone: "derby-dc1", kind: "std-3core", settings: flightSettings,
		host: hostOptions{valueSize: 300, work: flightWork},
	})
	if err != nil {
		return couldNotRun, err
	}
	defer f.end()
	fronts := make([]*front, flightGateways)
	for i, g := range f.gateways {
		fronts[i] = &front{scenario: s, gateway: g, index: i}
	}
	for round := range flightRounds {
		for _, p := range fronts {
			if err := p.playRound(round); err != nil {
				return couldNotRun, err
			}
		}
		time.Sleep(flightSpacing)
	}
	time.Sleep(flightAfterLast)
	return judgeFlights(s, f, fronts), nil
}

// flightWork returns the work of a request, which is exponentially distributed around the mean of its class. It depends
// on the id alone.
func flightWork(id string) time.Duration {
	mean := 80 * time.Millisecond
	if id[0] == 'c' {
		mean = 150 * time.Millisecond
	}
	hash := fnv.New64a()
	io.WriteString(hash, id)
	drawn := rand.New(rand.NewPCG(hash.Sum64(), 1)).ExpFloat64()
	return time.Duration(min(drawn, 6) * float64(mean))
}

// front is the clients' front at one gateway.
type front struct {
	scenario *scenario
	gateway  *gatewayProcess
	index    int
	conn     *clientConn // the connection that carries everything; nil before the first
	sent     int
	calls    []*call
}

// playRound sends the requests of one round.
func (p *front) playRound(round int) error {
	for i := range flightOthers {
		if err := p.send("lookup", "standard", 1, 100+(round*flightOthers+i)%60); err != nil {
			return err
		}
	}
	if round%flightEvery == flightEvery-1 {
		for range flightCheckIns {
			if err := p.send("check-in", "basic", flightUnits, 10); err != nil {
				return err
			}
		}
	}
	for i := range flightOthers {
		if err := p.send("check-in", "standard", flightUnits, 200+(round*flightOthers+i)%60); err != nil {
			return err
		}
	}
	return nil
}

// send sends a request: with the disruption on the connection that carries everything, and otherwise on one of its own.
// A connection that has ended is replaced.
func (p *front) send(class, plan string, units, airline int) error {
	p.sent++
	id := fmt.Sprintf("%c%d-%05d", class[0], p.index, p.sent)
	wait := 2 * time.Second
	words := []string{"CALL.GET", fmt.Sprintf("%016x", airline), id}
	list := fmt.Sprintf("c=%s,t=%s,d=%d,units=%d,spread=2,first=0", class, plan, wait.Milliseconds(), units)
	if class == "check-in" {
		words[0] = "CALL.POST"
		list += fmt.Sprintf(",k=%016x", p.sent*flightGateways+p.index)
	}
	words = append(words, list)
	if class == "check-in" {
		words = append(words, "BODY")
	}
	if p.scenario.trouble && p.conn != nil {
		if c, err := p.conn.send(id, wait, words...); err == nil {
			p.calls = append(p.calls, c)
			return nil
		}
	}
	conn, err := dialClient(p.gateway.listen, p.scenario.log)
	if err != nil {
		return err
	}
	p.conn = conn
	c, err := conn.send(id, wait, words...)
	if err == nil {
		p.calls = append(p.calls, c)
	}
	return err
}

// judgeFlights reports whether a gateway ended a connection without an answer to a request that it had taken. One that
// was sent just before the end, and begun by no host, isn't counted: the close may have crossed it.
func judgeFlights(s *scenario, f *fleet, fronts []*front) int {
	lost, answered, crossed, late, total := 0, 0, 0, 0, 0
	longest := time.Duration(0)
	for _, p := range fronts {
		for _, c := range p.calls {
			total++
			open := c.endedAt.Sub(c.sentAt)
			switch {
			case !c.answeredAt.IsZero() && c.answeredAt.Sub(c.sentAt) > c.wait+500*time.Millisecond:
				late++
			case !c.answeredAt.IsZero():
				answered++
			case c.end != nil && open < flightCrossing && f.runs(c.id) == 0:
				crossed++
			default:
				lost++
				longest = max(longest, open)
				s.log.printf("LOST: %s, begun by hosts %d times; its connection ended %v after it was sent, by %s", c.id,
					f.runs(c.id), open, endOf(c.end))
			}
		}
	}
	s.summary("requests %d: answered %d, over half a second late %d, crossed a close %d, lost %d", total, answered, late,
		crossed, lost)
	if lost > 0 {
		s.summary("a lost request was sent up to %v before the end of its connection", longest.Round(time.Millisecond))
		return broken
	}
	return held
}

// endOf says how a connection ended.
func endOf(err error) string {
	switch {
	case err == nil:
		return "no end at all"
	case errors.Is(err, io.EOF):
		return "an orderly close of the gateway"
	}
	return err.Error()
}
