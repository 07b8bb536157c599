package main

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the case window: a class whose repeats the hosts drop for one second.
const (
	windowGateways = 3
	windowLength   = time.Second            // in which a repeat of a key is dropped, from its run on
	windowSlack    = 50 * time.Millisecond  // of each time limit on sockets
	windowService  = 700 * time.Millisecond // of a request that the store's death hits; of others a quarter
	windowDies     = 600 * time.Millisecond // the store's process dies so long after it began a request
	windowDown     = 1500 * time.Millisecond
	windowRounds   = 3
	windowCustomer = "00000000000000c1"
)

// keyStore is a store with two addresses. It runs a request with a key, and drops repeats of the key for a while.
type keyStore struct {
	rig   *rig
	hosts []*host

	mu     sync.Mutex
	ranAt  map[string]time.Time // latest run by key
	firsts map[string]time.Time // first attempt by the request's id
	runs   map[string]int       // by key
	begins chan string          // keys of runs
}

// answer runs a request, unless it is a repeat, and answers it.
func (s *keyStore) answer(c call, write func(string)) {
	key := ""
	for _, argument := range strings.Split(c.words[3], ",") {
		if text, found := strings.CutPrefix(argument, "k="); found {
			key = text
		}
	}
	s.mu.Lock()
	repeat := c.at.Sub(s.ranAt[key]) < windowLength
	if !repeat {
		s.ranAt[key] = c.at
		s.runs[key]++
	}
	run := s.runs[key]
	if s.firsts[c.words[2]].IsZero() {
		s.firsts[c.words[2]] = c.at
	}
	s.mu.Unlock()
	s.rig.noteAt(c.at, "store: %s with key %s, repeat dropped: %v, runs of the key: %d", c.words[2], key, repeat, run)
	select {
	case s.begins <- key:
	default:
	}
	service := windowService
	if !strings.Contains(c.words[2], "hit") {
		service /= 4
	}
	time.Sleep(service)
	write(value("for "+c.words[2], 0.3))
}

// playWindow has the store's process die while it runs a request.
func playWindow(r *rig) bool {
	s := &keyStore{rig: r, ranAt: map[string]time.Time{}, firsts: map[string]time.Time{}, runs: map[string]int{},
		begins: make(chan string, 1)}
	for range 2 {
		s.hosts = append(s.hosts, r.newHost(s.answer))
	}
	listen := r.freeAddresses(windowGateways)
	class := profile("check-in", "keyed", 2500, 5000)
	class["window_us"] = windowLength.Microseconds()
	class["group"] = "all"
	r.startFleet(listen, r.storeFiles(listen, 12, 3, r.newAgent(s.hosts...).address(), []object{class}))
	time.Sleep(3 * time.Second) // until a voter leads
	broken := false
	for round := range windowRounds {
		for n := range 8 { // usual requests before
			s.checkIn(listen[0], fmt.Sprintf("r%d-usual%d", round, n))
		}
		for len(s.begins) > 0 {
			<-s.begins
		}
		ended := make(chan bool)
		go func() { ended <- s.checkIn(listen[0], fmt.Sprintf("r%d-hit", round)) }()
		<-s.begins
		if r.trouble {
			time.Sleep(windowDies)
			s.die()
		}
		broken = <-ended || broken
	}
	return broken
}

// die resets all connections and refuses new ones for a while.
func (s *keyStore) die() {
	for _, h := range s.hosts {
		h.stop()
	}
	s.rig.note("store: its process died; connections are reset, new ones refused")
	go func() {
		time.Sleep(windowDown)
		for _, h := range s.hosts {
			s.rig.require(h.resume(), "restart of the store")
		}
		s.rig.note("store: back")
	}()
}

// checkIn sends a request with a key of its own, and again where it is refused, after the time that the gateway tells.
// It reports whether the gateway refused the request, as harmless to repeat, later than the store remembers its run, and
// the repeat ran.
func (s *keyStore) checkIn(address, name string) (broken bool) {
	key := fmt.Sprintf("%x", name)
	late := false
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		broken = late && s.runs[key] > 1
	}()
	for try := range 4 {
		id := fmt.Sprintf("%s-try%d", name, try)
		c := &keptClient{address: address}
		arguments := fmt.Sprintf("c=check-in,t=team,d=5000,k=%s,units=1,spread=%d,first=0", key, windowGateways)
		answer := c.call(6*time.Second, "CALL.POST", windowCustomer, id, arguments, "BODY")
		answered := time.Now()
		c.close()
		s.rig.note("client: %s: %s", id, answer)
		if !strings.HasPrefix(answer, "-BUSY") {
			return
		}
		s.mu.Lock()
		first := s.firsts[id]
		s.mu.Unlock()
		if !first.IsZero() && answered.Sub(first) > windowLength+windowSlack {
			s.rig.note("refused %v after its run; the store remembers that for %v", answered.Sub(first), windowLength)
			late = true
		}
		wait, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(answer, "-BUSY")))
		time.Sleep(time.Duration(wait) * time.Millisecond)
	}
	return
}

// stop ends a host as a dying process does.
func (h *host) stop() {
	h.listener.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range h.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// resume starts a host again at its address.
func (h *host) resume() error {
	listener, err := net.Listen("tcp4", h.address())
	if err != nil {
		return err
	}
	h.listener = listener
	go h.acceptFrom(listener)
	return nil
}
