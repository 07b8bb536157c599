package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"
)

const (
	leaseGateways = 5
	leaseVoters   = 3 // the gateways 0 to 2
	leaseHosts    = 9 // they share the store
	leaseCapacity = 26
	leaseReserve  = 4
	leaseFloor    = 2
	leaseWork     = 400 * time.Millisecond
	leaseWait     = 4500 * time.Millisecond // d of a request, 75% of the deadline
	leaseRunUp    = 10 * time.Second        // traffic before the disruption
	leaseDown     = time.Second             // from the kill to the new start
	leaseRest     = 15 * time.Second        // traffic after it
	leaseBusy     = 30                      // requests a second to each of the gateways 3 and 4
	leaseCalm     = 2                       // to each of the others at first
	leaseRise     = 25                      // and after the disruption
)

// playLeases runs five gateways under a connection quota, docs/pool.md. The three voters are killed at once and start
// again from nothing.
func playLeases(s *scenario) (int, error) {
	store := &storeCount{log: s.log}
	options := &fleetOptions{
		gateways: leaseGateways, hosts: leaseHosts, zone: "hall-b", kind: "small-2core", settings: joburgPanels,
		host: hostOptions{
			valueSize: 200, work: func(string) time.Duration { return leaseWork }, onOpen: store.add,
		},
	}
	var voters []string
	for range leaseVoters {
		address, err := freeAddress()
		if err != nil {
			return couldNotRun, err
		}
		voters = append(voters, address)
	}
	options.section = func(position int) map[string]any {
		section := map[string]any{
			"capacity": leaseCapacity, "serial": 1, "reserve": leaseReserve, "floor": leaseFloor, "voters": voters,
			"voter_seats": []int{0, 1, 2}, "key": "00112233445566778899aabbccddeeff",
		}
		if position < leaseVoters {
			section["listen"] = voters[position]
			section["dir"] = filepath.Join(tmpDir(s.dir, "n"+decimal(position)), "pool")
		}
		return map[string]any{"pool": section}
	}
	f, err := startFleet(s, options)
	if err != nil {
		return couldNotRun, err
	}
	defer f.end()
	time.Sleep(3 * time.Second) // the voters elect a leader
	load := newLoad(s, f)
	for i := range leaseGateways {
		rate := leaseCalm
		if i >= leaseVoters {
			rate = leaseBusy
		}
		load.start(i, rate)
	}
	time.Sleep(leaseRunUp)
	before := store.highest()
	s.log.printf("before the disruption: at most %d connections", before)
	if err := s.restartVoters(f, load); err != nil {
		return couldNotRun, err
	}
	time.Sleep(leaseRest)
	load.end()
	time.Sleep(leaseWait)
	peak := store.highest()
	s.summary("connections of all gateways to the store: at most %d before, %d in all, of a capacity of %d", before, peak,
		leaseCapacity)
	s.summary("requests %d: served %d", load.sent, load.served())
	if peak > leaseCapacity {
		return broken, nil
	}
	return held, nil
}

// restartVoters kills the three voters at once and starts them from nothing. Without the disruption they just get more
// traffic.
func (s *scenario) restartVoters(f *fleet, load *load) error {
	for i := range leaseVoters {
		load.stop(i)
	}
	if s.trouble {
		for i := range leaseVoters {
			f.gateways[i].kill()
			s.log.printf("gateway %s is killed", f.gateways[i].name)
		}
		time.Sleep(leaseDown)
		for i := range leaseVoters {
			if err := f.gateways[i].start(); err != nil {
				return err
			}
		}
		for i := range leaseVoters {
			if err := f.gateways[i].waitReady(30 * time.Second); err != nil {
				return err
			}
			s.log.printf("gateway %s is ready", f.gateways[i].name)
		}
	}
	for i := range leaseVoters {
		load.start(i, leaseRise)
	}
	return nil
}

// storeCount counts the connections that the store has open.
type storeCount struct {
	mu   sync.Mutex
	log  *record
	open int
	peak int
}

// add counts a connection that was opened, or closed if change is -1.
func (s *storeCount) add(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += change
	s.peak = max(s.peak, s.open)
	s.log.printf("the store has %d connections", s.open)
}

// highest returns the largest number of connections so far.
func (s *storeCount) highest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// load sends requests to the gateways of a fleet, each at a rate of its own.
type load struct {
	scenario *scenario
	fleet    *fleet
	stops    map[int]chan struct{}
	running  sync.WaitGroup

	mu    sync.Mutex
	sent  int
	calls []*call
}

func newLoad(s *scenario, f *fleet) *load {
	return &load{scenario: s, fleet: f, stops: map[int]chan struct{}{}}
}

// start starts the requests to a gateway.
func (l *load) start(gateway, rate int) {
	stop := make(chan struct{})
	l.stops[gateway] = stop
	l.running.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(rate))
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				l.send(gateway)
			}
		}
	})
}

// send sends the next request to a gateway, on a connection of its own.
func (l *load) send(gateway int) {
	l.mu.Lock()
	l.sent++
	number := l.sent
	l.mu.Unlock()
	client, err := dialClient(l.fleet.gateways[gateway].listen, l.scenario.log)
	if err != nil {
		return
	}
	id := fmt.Sprintf("r-%05d", number)
	list := fmt.Sprintf("c=page-fetch,t=premium,d=%d,units=1,spread=%d,first=0", leaseWait.Milliseconds(), leaseGateways)
	c, err := client.send(id, leaseWait, "CALL.GET", fmt.Sprintf("%016x", 1000+number%300), id, list)
	if err != nil {
		return
	}
	l.mu.Lock()
	l.calls = append(l.calls, c)
	l.mu.Unlock()
	time.AfterFunc(leaseWait+time.Second/2, func() { client.conn.Close() })
}

// stop ends the requests to a gateway.
func (l *load) stop(gateway int) {
	close(l.stops[gateway])
	delete(l.stops, gateway)
}

// end ends all requests.
func (l *load) end() {
	for gateway := range l.stops {
		close(l.stops[gateway])
	}
	l.running.Wait()
}

// served returns how many requests were served.
func (l *load) served() (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.calls {
		if c.kind == '$' {
			count++
		}
	}
	return count
}
